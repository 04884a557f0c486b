//! What becomes of a stream whose endpoint has failed or fallen silent: it goes on at another endpoint, stays where it
//! is, or is broken off.

use std::rc::Rc;

use super::EventSource;
use crate::gateway::attempt::OpenResponse;
use crate::gateway::{event_splitter, http1, metrics, overlap};

/// Why a stream is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum BreakCause {
    /// The time of the caller or of the route has passed.
    #[display("deadline")]
    Deadline,
    /// The route does not allow it to be resumed.
    #[display("not_resumable")]
    NotResumable,
    /// No attempt is left, or not enough time for one.
    #[display("no_attempt_left")]
    NoAttemptLeft,
    /// No other endpoint took it: none is eligible, the retry budget is used up, or it is in quarantine.
    #[display("not_taken")]
    NotTaken,
    /// The endpoint that was to go on with it answered with an error status.
    #[display("error_status")]
    ErrorStatus,
    /// This process is about to exit.
    #[display("exit")]
    Exit,
}

impl EventSource {
    /// Goes on with the stream after a failure: at another endpoint, or where it is if that endpoint was only silent
    /// and no other takes the stream.
    pub(super) async fn go_on_after(&mut self, error: &http1::Error) -> Result<(), BreakCause> {
        self.record_loss(error);
        if self.gateway.now_ms() >= self.job.deadline_ms {
            return Err(BreakCause::Deadline);
        }
        let lost = self.response.take();
        let endpoint = lost.as_ref().map(|response| response.endpoint.key);
        let mut silent = lost.filter(|_| matches!(error, http1::Error::TimedOut));
        if let Some(endpoint) = endpoint {
            self.gateway.await_crash_check(&self.job, endpoint).await;
        }
        let resumed = self.resume(&mut silent).await;
        match (resumed, silent) {
            (Err(cause), Some(response)) => {
                slog::info!(self.gateway.log, "stream kept"; "request" => self.job.request.id.as_str(),
                    "endpoint" => response.endpoint.id.as_str(), "event" => self.last_event_id,
                    "cause" => cause.to_string());
                self.response = Some(response);
                Ok(())
            }
            (resumed, _) => resumed,
        }
    }

    /// Sends the request for the rest of the stream until an endpoint begins to answer it.
    async fn send_continuation(
        &mut self,
        silent: &mut Option<OpenResponse>,
    ) -> Result<OpenResponse, BreakCause> {
        self.job.request.last_event_id = self.last_event_id;
        let gateway = Rc::clone(&self.gateway);
        loop {
            let lost_sends = self.job.lost_sends;
            let sent_ms = Rc::clone(&self.job.at_endpoint_since_ms);
            sent_ms.set(None);
            let send = gateway.send(&mut self.job);
            let has_responded = |one: &OpenResponse| one.connection.has_unread_bytes();
            let now = || gateway.now_ms();
            let sent = overlap::send_beside(silent, &sent_ms, now, has_responded, send).await;
            if self.job.lost_sends > lost_sends {
                // Another endpoint may still be at work on the stream.
                *silent = None;
            }
            let Some(Ok(response)) = sent else {
                return Err(BreakCause::NotTaken);
            };
            if !response.is_success() {
                return Err(BreakCause::ErrorStatus);
            }
            if response.info.is_signed {
                return Ok(response);
            }
            *silent = None;
            gateway.record_failed_response(&mut self.job, &response, false);
            if !self.job.has_attempt_left(gateway.now_ms()) {
                return Err(BreakCause::NoAttemptLeft);
            }
        }
    }

    /// Resumes the stream after the last event at another endpoint, if the route allows it. The response of a silent
    /// endpoint is closed once the other one has accepted the stream.
    async fn resume(&mut self, silent: &mut Option<OpenResponse>) -> Result<(), BreakCause> {
        if !self.job.kind.is_repeatable() {
            return Err(BreakCause::NotResumable);
        }
        if !self.job.has_attempt_left(self.gateway.now_ms()) {
            return Err(BreakCause::NoAttemptLeft);
        }
        let response = self.send_continuation(silent).await?;
        *silent = None;
        self.answering.move_on();
        self.is_from_start &= self.last_event_id.is_none();
        metrics::stream_ended(&self.job.service().name, "taken_up");
        slog::info!(self.gateway.log, "stream taken up"; "request" => self.job.request.id.as_str(),
            "endpoint" => response.endpoint.id.as_str(),
            "endpoint_version" => response.endpoint.version.as_str(),
            "event" => self.last_event_id, "status" => response.head.status);
        self.response = Some(response);
        self.last_piece_ms = None;
        self.is_bound = false;
        self.splitter = event_splitter::EventSplitter::default();
        Ok(())
    }
}
