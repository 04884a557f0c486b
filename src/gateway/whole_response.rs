//! Responses with a single body: they are read whole before the caller gets them, so that a request whose endpoint fails
//! in the middle can still be retried.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use super::attempt::OpenResponse;
use super::job::Job;
use super::{Gateway, buffer_allowance, http1};
use crate::error;

/// Maximum size of a response body that is buffered before it is sent to the caller, in bytes.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Interval at which a body of stated length asks for room in the allowance.
const ALLOWANCE_POLL: Duration = Duration::from_millis(10);

/// What an endpoint answered.
pub(super) enum Answer {
    Final(http1::Head, bytes::Bytes),
    /// The endpoint failed and the request is to be retried; its answer, if it is whole.
    Failed(Option<(http1::Head, bytes::Bytes)>),
}

impl Gateway {
    /// Reads a complete response.
    pub(super) async fn read_complete(
        self: &Rc<Self>,
        job: &mut Job,
        mut response: OpenResponse,
    ) -> Result<Answer, error::Refusal> {
        // An error status with the endpoint's signature says that the endpoint ran the request; one without may come
        // from something else at its address, which has begun no stream.
        if !job.kind.is_stream() || response.info.is_signed {
            self.bill(job, response.sent_ms);
        }
        let left = Duration::from_millis(job.left_ms(self.now_ms()));
        let read = time::timeout(left, self.read_body(job, &mut response)).await;
        let now_ms = self.now_ms();
        let took_ms = now_ms - response.sent_ms;
        // Passed on, it would let the caller send again what may run only once, though the endpoint has not said that
        // it did not run it.
        let is_withheld = !job.kind.is_repeatable() && error::states_not_run(response.head.status);
        let is_failure = response.head.status >= 500 || is_withheld;
        let body = match read {
            Err(_) => {
                job.may_have_run = true;
                self.record_abandoned_request(job, &response.endpoint, 0);
                return Err(self.final_refusal(job, error::Kind::DeadlineExceeded));
            }
            Ok(Err(error)) => {
                self.record_lost_request(job, &response.endpoint, &error, true, 0);
                None
            }
            Ok(Ok(_)) if !response.info.is_signed => None,
            Ok(Ok(body)) => Some(body),
        };
        let is_success = body.is_some() && !is_failure;
        if is_success {
            self.record_response_time(&response.endpoint, true, took_ms, now_ms);
        } else {
            self.record_failed_response(job, &response, body.is_some());
        }
        match body {
            Some(body) if is_success => {
                self.record_success(job);
                self.shared.durations.observe(&job.service().name, now_ms - job.arrived_ms);
                self.pool.borrow_mut().put(response.endpoint.addr, response.connection, now_ms);
                Ok(Answer::Final(response.head, body))
            }
            Some(body) => {
                self.pool.borrow_mut().put(response.endpoint.addr, response.connection, now_ms);
                if job.kind.is_repeatable() && self.can_retry(job) {
                    return Ok(Answer::Failed(Some((response.head, body))));
                }
                if is_withheld {
                    return Err(self.final_refusal(job, error::Kind::EndpointFailed));
                }
                Ok(Answer::Final(response.head, body))
            }
            None if job.kind.is_repeatable() && self.can_retry(job) => Ok(Answer::Failed(None)),
            None => Err(self.final_refusal(job, error::Kind::EndpointFailed)),
        }
    }

    /// Records that a response is a failure, was cut or does not have the endpoint's signature.
    pub(super) fn record_failed_response(
        &self,
        job: &mut Job,
        response: &OpenResponse,
        is_whole: bool,
    ) {
        let now_ms = self.now_ms();
        self.record_response_time(&response.endpoint, false, now_ms - response.sent_ms, now_ms);
        job.may_have_run = true;
        slog::info!(self.log, "endpoint failed"; "request" => job.request.id.as_str(),
            "endpoint" => response.endpoint.id.as_str(), "status" => response.head.status,
            "whole" => is_whole, "signed" => response.info.is_signed, "attempt" => job.attempts);
    }

    /// Reads the body of a response. A body of stated length waits until the allowance has room for all of it. A long
    /// one without is given up at half of the time left if another endpoint may answer the request, since it may have
    /// no end.
    async fn read_body(
        &self,
        job: &Job,
        response: &mut OpenResponse,
    ) -> Result<bytes::Bytes, http1::Error> {
        let mut reservation = buffer_allowance::Reservation::new(&self.shared.buffer_allowance);
        let now_ms = self.now_ms();
        let half_ms = now_ms + job.left_ms(now_ms) / 2;
        let length = response.head.header("content-length");
        let stated_bytes: usize = length.and_then(|value| value.trim().parse().ok()).unwrap_or(0);
        while stated_bytes <= MAX_BUFFERED_BYTES
            && !self.reserve_whole(&mut reservation, stated_bytes)
        {
            time::sleep(ALLOWANCE_POLL).await;
        }
        let may_buffer = |body_bytes: usize| {
            let gives_up = stated_bytes == 0
                && body_bytes > buffer_allowance::FREE_BYTES
                && self.now_ms() >= half_ms
                && job.kind.is_repeatable()
                && self.can_retry(job);
            !gives_up && self.reserve(&mut reservation, body_bytes.max(stated_bytes))
        };
        response.connection.read_body_while(MAX_BUFFERED_BYTES, may_buffer).await
    }
}
