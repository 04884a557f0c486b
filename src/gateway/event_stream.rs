//! Body of a streamed response: forwards complete events as they arrive and resumes the stream at
//! another endpoint if the route allows it.

mod handover;

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::time;

use super::attempt::OpenResponse;
use super::job::Job;
use super::policy::health;
use super::{
    Gateway, buffer_allowance, directory, event_splitter, event_timing, http1, metrics, request,
};
use crate::{drain, error};

/// The stream ended before it was complete. The caller's connection has to be closed, so that the
/// response does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("event stream interrupted")]
pub struct StreamInterrupted;

impl std::error::Error for StreamInterrupted {}

/// A stream of bytes that yields complete events.
pub struct EventStream {
    events: Pin<Box<dyn Stream<Item = Result<Bytes, StreamInterrupted>>>>,
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventStream(..)")
    }
}

impl Stream for EventStream {
    type Item = Result<Bytes, StreamInterrupted>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.get_mut().events.as_mut().poll_next(context)
    }
}

/// Result of waiting for events.
#[derive(Debug)]
enum Step {
    Events(Bytes),
    End,
    /// The connection to the endpoint failed, or the endpoint stopped sending.
    Lost(http1::Error),
}

/// An open stream with its request.
struct EventSource {
    gateway: Rc<Gateway>,
    job: Job,
    /// `None` while the stream is moved to another endpoint: closing the connection makes the previous
    /// endpoint stop its work.
    response: Option<OpenResponse>,
    splitter: event_splitter::EventSplitter,
    /// For the incomplete event in the splitter.
    reservation: buffer_allowance::Reservation,
    last_event_id: Option<u64>,
    /// Whether the version of the endpoint that sends the response now was checked.
    is_bound: bool,
    /// When this stream's endpoint last sent a piece of it; `None` before the first.
    last_piece_ms: Option<u64>,
    timing: event_timing::EventTiming,
    answering: event_timing::Answering,
    /// Whether the response has the stream's events from the first one on.
    is_from_start: bool,
    has_ended: bool,
}

/// Opens a stream and waits for its first events. A stream that fails before them can thus still be
/// answered with an error status.
///
/// # Errors
/// The refusal for the caller, if no endpoint delivers a first event.
pub(super) async fn open(
    gateway: &Rc<Gateway>,
    job: Job,
    response: OpenResponse,
) -> Result<(http1::Head, EventStream), error::Refusal> {
    let last_event_id = job.request.last_event_id;
    let mut source = EventSource {
        reservation: buffer_allowance::Reservation::new(&gateway.shared.buffer_allowance),
        gateway: Rc::clone(gateway),
        job,
        response: Some(response),
        splitter: event_splitter::EventSplitter::default(),
        last_event_id,
        is_bound: false,
        last_piece_ms: None,
        timing: event_timing::EventTiming::default(),
        answering: event_timing::Answering::default(),
        is_from_start: last_event_id.is_none_or(|event| event == 0),
        has_ended: false,
    };
    let first = gateway.shared.stop.until(drain::Phase::FinalAnswers, source.first_events()).await;
    let first = first.unwrap_or_else(|| Err(gateway.interrupt(&mut source.job)));
    source.has_ended |= first.is_err();
    let first = first?;
    // Headers and signature are those of the endpoint whose events are sent first.
    let head = source
        .response
        .as_ref()
        .map(|response| response.head.clone())
        .ok_or_else(|| gateway.final_refusal(&source.job, error::Kind::EndpointFailed))?;
    let rest = stream::unfold(source, async |mut source| {
        let shared = Arc::clone(&source.gateway.shared);
        let next = shared.stop.until(drain::Phase::EndStreams, source.next_events()).await;
        let next = next.unwrap_or_else(|| Some(source.break_off(handover::BreakCause::Exit)))?;
        Some((next, source))
    });
    let events =
        Box::pin(stream::StreamExt::chain(stream::iter(first.into_iter().map(Ok)), Box::pin(rest)));
    Ok((head, EventStream { events }))
}

impl Drop for EventSource {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        if let Some(response) = &self.response {
            let answered_ms = self.answering.total_ms();
            self.gateway.record_abandoned_request(&self.job, &response.endpoint, answered_ms);
        }
        let took_ms = self.gateway.now_ms() - self.job.arrived_ms;
        metrics::stream_ended(&self.job.service().name, "caller_left");
        slog::info!(self.gateway.log, "caller left"; "request" => self.job.request.id.as_str(),
            "event" => self.last_event_id, "took_ms" => took_ms);
    }
}

impl EventSource {
    /// Waits for the first events; `None` if the stream ended without any.
    async fn first_events(&mut self) -> Result<Option<Bytes>, error::Refusal> {
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.learn_prefill_rate();
                    let took_ms = self.gateway.now_ms() - self.job.arrived_ms;
                    metrics::first_event(&self.job.service().name, took_ms);
                    self.mark_prefill_done();
                    let now_ms = self.gateway.now_ms();
                    self.gateway.bill(&mut self.job, now_ms);
                    return Ok(Some(bytes));
                }
                Step::End => {
                    self.finish();
                    return Ok(None);
                }
                Step::Lost(error) => {
                    if let Err(cause) = self.go_on_after(&error).await {
                        let kind = match cause {
                            handover::BreakCause::Deadline => error::Kind::DeadlineExceeded,
                            _ => error::Kind::EndpointFailed,
                        };
                        return Err(self.gateway.final_refusal(&self.job, kind));
                    }
                }
            }
        }
    }

    /// Waits for the next events; `None` if the stream has ended.
    async fn next_events(&mut self) -> Option<Result<Bytes, StreamInterrupted>> {
        if self.has_ended {
            return None;
        }
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.mark_prefill_done();
                    return Some(Ok(bytes));
                }
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Lost(error) => {
                    if let Err(cause) = self.go_on_after(&error).await {
                        return Some(self.break_off(cause));
                    }
                }
            }
        }
    }

    /// Ends the stream without its last events.
    fn break_off(&mut self, cause: handover::BreakCause) -> Result<Bytes, StreamInterrupted> {
        self.has_ended = true;
        self.response = None;
        metrics::stream_ended(&self.job.service().name, "broken_off");
        slog::info!(self.gateway.log, "stream broken off"; "request" => self.job.request.id.as_str(),
            "event" => self.last_event_id, "output_tokens" => self.job.request.output_tokens(),
            "cause" => cause.to_string(), "version" => self.job.table.version(),
            "took_ms" => self.gateway.now_ms() - self.job.arrived_ms,
            "stopping_ms" => self.gateway.shared.stop.stopping_ms());
        Err(StreamInterrupted)
    }

    /// Reads from the endpoint until complete events, the end of the stream or a failure.
    async fn step(&mut self) -> Step {
        let began_ms = self.gateway.now_ms();
        loop {
            let piece = match self.next_piece(began_ms).await {
                Ok(Some(piece)) => piece,
                Ok(None) if self.splitter.has_partial_event() => {
                    return Step::Lost(http1::Error::Closed);
                }
                Ok(None) => return Step::End,
                Err(error) => return Step::Lost(error),
            };
            if let Some(response) = &self.response {
                let now_ms = self.gateway.now_ms();
                self.last_piece_ms = Some(now_ms);
                self.gateway.health.borrow_mut().record_bytes(response.endpoint.key, now_ms);
            }
            let Some(events) = self.splitter.push(&piece) else {
                return Step::Lost(http1::Error::Malformed);
            };
            if !self.gateway.reserve(&mut self.reservation, self.splitter.pending_bytes()) {
                return Step::Lost(http1::Error::Malformed);
            }
            if events.bytes.is_empty() {
                continue;
            }
            if let (Some(first), Some(last)) = (events.first_id, self.last_event_id)
                && first <= last
            {
                // Forwarding these events would send the caller data that it already has.
                return Step::Lost(http1::Error::Malformed);
            }
            if !self.is_bound && !self.bind_version() {
                return Step::Lost(http1::Error::Malformed);
            }
            self.is_bound = true;
            self.last_event_id = events.last_id.or(self.last_event_id);
            let now_ms = self.gateway.now_ms();
            self.timing.event(now_ms);
            if let Some(answered_ms) = self.answering.event(now_ms) {
                self.gateway.record_progress(&self.job, answered_ms);
            }
            return Step::Events(events.bytes);
        }
    }

    /// Reads the next piece of the endpoint's body. `began_ms` is when the wait for the next event began.
    ///
    /// While another endpoint can take the stream, the wait ends before the caller's own time limit: at 2/5 of
    /// it if the endpoint has sent nothing on any connection, else at 4/5.
    async fn next_piece(&mut self, began_ms: u64) -> Result<Option<Bytes>, http1::Error> {
        let gateway = Rc::clone(&self.gateway);
        let Some(response) = self.response.as_mut() else {
            return Err(http1::Error::Closed);
        };
        let left_ms = self.job.left_ms(began_ms);
        let timeout_ms = self.job.stream_timeout_ms();
        let max_ms = timeout_ms * 4 / 5;
        let mut limit_ms = match self.job.kind.is_repeatable() {
            true => (timeout_ms * 2 / 5).min(left_ms),
            false => left_ms,
        };
        loop {
            let now_ms = gateway.now_ms();
            let wait = Duration::from_millis((began_ms + limit_ms).saturating_sub(now_ms));
            if let Ok(piece) = time::timeout(wait, response.connection.next_piece()).await {
                return piece;
            }
            let is_alive = gateway.is_alive(response.endpoint.key, began_ms);
            let is_over = limit_ms >= max_ms || !is_alive;
            if limit_ms >= left_ms || (is_over && gateway.can_retry(&self.job)) {
                return Err(http1::Error::TimedOut);
            }
            let next_ms = if is_over { limit_ms + health::ALIVE_MS } else { max_ms };
            limit_ms = next_ms.min(left_ms);
        }
    }

    /// Binds the stream to the version of the endpoint that has sent its first events. Returns false if it is
    /// bound to another version already.
    fn bind_version(&mut self) -> bool {
        let Some(endpoint) = self.response.as_ref().map(|response| &response.endpoint) else {
            return false;
        };
        // The endpoint may have started again, with another version, between the choice and the send. The
        // process that sends events is the latest one.
        let snapshot = self.gateway.shared.snapshot.load();
        let sender = snapshot.directory.find(endpoint.key).unwrap_or(endpoint);
        let version = match self.gateway.may_have_restarted(endpoint.key) {
            true => directory::VersionKey::unknown(endpoint.key),
            false => sender.version_key(),
        };
        if self.job.version.is_some_and(|bound| bound != version) {
            slog::info!(self.gateway.log, "stream at another version";
                "request" => self.job.request.id.as_str(), "endpoint" => sender.id.as_str(),
                "endpoint_version" => sender.version.as_str(), "event" => self.last_event_id);
            return false;
        }
        if self.timing.first_ms.is_none() {
            self.gateway.record_stream_version(&self.job, version);
        }
        self.job.version = Some(version);
        true
    }

    /// Removes the prompt's tokens from the endpoint's load.
    fn mark_prefill_done(&mut self) {
        if let Some(response) = &mut self.response {
            response.load_guard.prefill_done();
        }
    }

    /// Updates the estimate of the prefill rate from the time to the first event.
    fn learn_prefill_rate(&self) {
        let Some(response) = &self.response else {
            return;
        };
        self.gateway.learn_first_event(&self.job.service().name, response);
    }

    /// Records that the endpoint of the stream failed.
    fn record_loss(&mut self, error: &http1::Error) {
        self.job.may_have_run = true;
        let Some(response) = &self.response else {
            return;
        };
        let (gateway, endpoint) = (&self.gateway, &response.endpoint);
        let now_ms = gateway.now_ms();
        let took_ms = now_ms - response.sent_ms;
        gateway.record_response_time(endpoint, false, took_ms, now_ms);
        let answered_ms = self.answering.total_ms();
        gateway.record_lost_request(&self.job, endpoint, error, true, answered_ms);
        if matches!(error, http1::Error::TimedOut) && now_ms < self.job.deadline_ms {
            gateway.mark_unreachable(endpoint);
        }
        // A request that had begun to be answered shows by its parts what the endpoint was working on.
        let prompt = self.job.request.prompt.as_ref();
        slog::info!(gateway.log, "stream lost"; "request" => self.job.request.id.as_str(),
            "endpoint" => endpoint.id.as_str(),
            "endpoint_version" => endpoint.version.as_str(), "event" => self.last_event_id,
            "detail" => error.to_string(), "attempt" => self.job.attempts,
            "silent_ms" => now_ms - self.last_piece_ms.unwrap_or(response.sent_ms),
            "quiet_ms" => gateway.quiet_ms(endpoint.key),
            "fingerprint" => self.job.fingerprint().to_string(),
            "parts" => prompt.map(request::Prompt::shared_part_ids));
    }

    /// Records a completed stream and returns its connection to the pool.
    fn finish(&mut self) {
        self.has_ended = true;
        if self.is_from_start && self.timing.events > 0 {
            self.gateway.record_success(&self.job);
        }
        let Some(response) = self.response.take() else {
            return;
        };
        let now_ms = self.gateway.now_ms();
        let endpoint = &response.endpoint;
        let took_ms = now_ms - response.sent_ms;
        self.gateway.record_response_time(endpoint, true, took_ms, now_ms);
        self.gateway.pool.borrow_mut().put(endpoint.addr, response.connection, now_ms);
        self.gateway.event_gaps.borrow_mut().record_stream(
            endpoint.key,
            self.timing.events,
            self.timing.longest_gap_ms,
            now_ms,
        );
        let output_tokens = self.job.request.output_tokens();
        if let Some(first_ms) = self.timing.first_ms {
            let output_tokens = output_tokens.unwrap_or(0);
            let service = &self.job.service().name;
            let requests = response.load_guard.requests_at_send();
            self.gateway.learn_run(service, endpoint, output_tokens, requests, now_ms - first_ms);
            self.gateway.shared.durations.observe(service, now_ms - self.job.arrived_ms);
        }
        metrics::stream_ended(&self.job.service().name, "whole");
        slog::debug!(self.gateway.log, "stream whole"; "request" => self.job.request.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "event" => self.last_event_id, "took_ms" => took_ms,
            "first_ms" => self.timing.first_ms.map(|at_ms| at_ms - self.job.arrived_ms),
            "longest_pause_ms" => self.timing.longest_gap_ms, "output_tokens" => output_tokens);
    }
}
