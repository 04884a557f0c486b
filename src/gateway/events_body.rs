//! The body of a streamed answer: whole events as they come, taken up at another endpoint where the
//! route allows it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::time;

use super::attempt::Running;
use super::job::Job;
use super::{Gateway, events, http1, measures};
use crate::error;

/// A stream that ended before its end. The caller's connection has to be closed, so that the answer
/// does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("the stream broke off")]
pub struct BrokenOff;

impl std::error::Error for BrokenOff {}

/// Whole events, as a stream of bytes.
pub struct EventsBody {
    events: Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>>>>,
}

impl std::fmt::Debug for EventsBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventsBody(..)")
    }
}

impl Stream for EventsBody {
    type Item = Result<Bytes, BrokenOff>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.get_mut().events.as_mut().poll_next(context)
    }
}

/// What came of waiting for events.
#[derive(Debug)]
enum Step {
    Events(Bytes),
    End,
    /// The endpoint broke off, or is silent.
    Lost(http1::Error),
}

/// A stream under way.
struct Source {
    gateway: Rc<Gateway>,
    job: Job,
    /// None while another endpoint is sought: the former one stops its work when its connection
    /// closes.
    running: Option<Running>,
    splitter: events::Splitter,
    last_id: Option<u64>,
    pace: Pace,
    is_over: bool,
}

/// When a stream's events came, for the line that says how it went.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first_ms: Option<u64>,
    last_ms: u64,
    longest_pause_ms: u64,
    events: u64,
}

impl Pace {
    fn event(&mut self, now_ms: u64) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms);
        } else {
            self.longest_pause_ms = self.longest_pause_ms.max(now_ms - self.last_ms);
        }
        self.last_ms = now_ms;
        self.events += 1;
    }
}

/// Waits for the first events of an answer, so that a stream that breaks before them still gets a
/// status of its own.
///
/// # Errors
/// The final answer, when no endpoint delivers a first event.
pub(super) async fn open(
    gateway: &Rc<Gateway>,
    job: Job,
    running: Running,
) -> Result<(http1::Head, EventsBody), error::Refusal> {
    let last_id = job.request.after_event;
    let mut source = Source {
        gateway: Rc::clone(gateway),
        job,
        running: Some(running),
        splitter: events::Splitter::default(),
        last_id,
        pace: Pace::default(),
        is_over: false,
    };
    let first = source.first().await;
    source.is_over |= first.is_err();
    let first = first?;
    // Headers and signature are those of the endpoint whose events go out first.
    let head = source
        .running
        .as_ref()
        .map(|running| running.head.clone())
        .ok_or_else(|| gateway.given_up(&source.job, error::Kind::EndpointFailed))?;
    let rest = stream::unfold(source, async |mut source| {
        let next = source.next().await?;
        Some((next, source))
    });
    let events =
        Box::pin(stream::StreamExt::chain(stream::iter(first.into_iter().map(Ok)), Box::pin(rest)));
    Ok((head, EventsBody { events }))
}

impl Drop for Source {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let took_ms = self.gateway.now_ms() - self.job.arrived_ms;
        measures::stream_ended(&self.job.service().name, "caller_left");
        slog::info!(self.gateway.log, "caller left"; "request" => self.job.request.id.as_str(),
            "event" => self.last_id, "took_ms" => took_ms);
    }
}

impl Source {
    /// The first events; none when the stream ended without any.
    async fn first(&mut self) -> Result<Option<Bytes>, error::Refusal> {
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.learn_reading();
                    let took_ms = self.gateway.now_ms() - self.job.arrived_ms;
                    measures::first_event(&self.job.service().name, took_ms);
                    self.mark_first_event();
                    let now_ms = self.gateway.now_ms();
                    self.gateway.count(&mut self.job, now_ms);
                    return Ok(Some(bytes));
                }
                Step::End => {
                    self.finish();
                    return Ok(None);
                }
                Step::Lost(error) => {
                    self.note_lost(&error);
                    if self.gateway.now_ms() >= self.job.end_ms {
                        return Err(self
                            .gateway
                            .given_up(&self.job, error::Kind::DeadlineExceeded));
                    }
                    if !self.take_up().await {
                        return Err(self.gateway.given_up(&self.job, error::Kind::EndpointFailed));
                    }
                }
            }
        }
    }

    /// The next events; `None` when the stream is over.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.mark_first_event();
                    return Some(Ok(bytes));
                }
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Lost(error) => {
                    self.note_lost(&error);
                    if self.gateway.now_ms() >= self.job.end_ms || !self.take_up().await {
                        self.is_over = true;
                        measures::stream_ended(&self.job.service().name, "broken_off");
                        slog::info!(self.gateway.log, "stream broken off";
                            "request" => self.job.request.id.as_str(), "event" => self.last_id);
                        return Some(Err(BrokenOff));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        loop {
            let piece = match self.piece().await {
                Ok(Some(piece)) => piece,
                Ok(None) if self.splitter.is_torn() => return Step::Lost(http1::Error::Closed),
                Ok(None) => return Step::End,
                Err(error) => return Step::Lost(error),
            };
            if let Some(running) = &self.running {
                let now_ms = self.gateway.now_ms();
                self.gateway.health.borrow_mut().heard(running.endpoint.key, now_ms);
            }
            let Some(events) = self.splitter.push(&piece) else {
                return Step::Lost(http1::Error::Malformed);
            };
            if events.bytes.is_empty() {
                continue;
            }
            if let (Some(first), Some(last)) = (events.first_id, self.last_id)
                && first <= last
            {
                // Sent on, the caller would have a piece twice.
                return Step::Lost(http1::Error::Malformed);
            }
            self.last_id = events.last_id.or(self.last_id);
            self.pace.event(self.gateway.now_ms());
            return Step::Events(events.bytes);
        }
    }

    /// The next piece of the endpoint's body, for as long as there is hope.
    async fn piece(&mut self) -> Result<Option<Bytes>, http1::Error> {
        let gateway = Rc::clone(&self.gateway);
        let Some(running) = self.running.as_mut() else {
            return Err(http1::Error::Closed);
        };
        let began_ms = gateway.now_ms();
        let left_ms = self.job.left_ms(began_ms);
        let patience_ms = self.job.stream_patience_ms();
        let can_move = self.job.kind.is_repeatable() && self.job.has_attempt_left(began_ms);
        let (mut limit_ms, most_ms) = if can_move {
            ((patience_ms * 2 / 5).min(left_ms), (patience_ms * 4 / 5).min(left_ms))
        } else {
            (left_ms, left_ms)
        };
        loop {
            let now_ms = gateway.now_ms();
            let wait = Duration::from_millis((began_ms + limit_ms).saturating_sub(now_ms));
            match time::timeout(wait, running.connection.next_piece()).await {
                Ok(piece) => return piece,
                Err(_)
                    if limit_ms < most_ms && gateway.is_alive(running.endpoint.key, began_ms) =>
                {
                    limit_ms = most_ms;
                }
                Err(_) => return Err(http1::Error::TimedOut),
            }
        }
    }

    fn mark_first_event(&mut self) {
        if let Some(running) = &mut self.running {
            running.ticket.first_event();
        }
    }

    /// Learns from the first event of an answer how fast engines read.
    fn learn_reading(&self) {
        let Some(running) = &self.running else {
            return;
        };
        let took_ms = self.gateway.now_ms() - running.sent_ms;
        let service = &self.job.service().name;
        self.gateway.shared.record_prefill(service, running.ticket.before_tokens(), took_ms);
    }

    fn note_lost(&mut self, error: &http1::Error) {
        self.job.may_have_run = true;
        let Some(running) = &self.running else {
            return;
        };
        let (gateway, endpoint) = (&self.gateway, &running.endpoint);
        let now_ms = gateway.now_ms();
        let took_ms = now_ms - running.sent_ms;
        gateway.health.borrow_mut().ended(endpoint.key, false, took_ms, now_ms);
        if matches!(error, http1::Error::TimedOut) && now_ms < self.job.end_ms {
            gateway.unreachable(endpoint);
        }
        slog::info!(gateway.log, "stream lost"; "request" => self.job.request.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "event" => self.last_id,
            "detail" => error.to_string(), "attempt" => self.job.attempts);
    }

    /// Goes on at another endpoint behind the last event, if the route allows it.
    async fn take_up(&mut self) -> bool {
        if !self.job.kind.is_repeatable() || !self.job.has_attempt_left(self.gateway.now_ms()) {
            return false;
        }
        self.running = None;
        self.job.request.after_event = self.last_id;
        let Ok(running) = self.gateway.run(&mut self.job).await else {
            return false;
        };
        let is_stream = (200..300).contains(&running.head.status);
        measures::stream_ended(&self.job.service().name, "taken_up");
        slog::info!(self.gateway.log, "stream taken up"; "request" => self.job.request.id.as_str(),
            "endpoint" => running.endpoint.id.as_str(), "event" => self.last_id,
            "status" => running.head.status);
        self.running = Some(running);
        self.splitter = events::Splitter::default();
        is_stream
    }

    fn finish(&mut self) {
        self.is_over = true;
        let Some(running) = self.running.take() else {
            return;
        };
        let now_ms = self.gateway.now_ms();
        let endpoint = &running.endpoint;
        let took_ms = now_ms - running.sent_ms;
        self.gateway.health.borrow_mut().ended(endpoint.key, true, took_ms, now_ms);
        self.gateway.pool.borrow_mut().give(endpoint.addr, running.connection, now_ms);
        self.gateway.pauses.borrow_mut().ended(
            endpoint.key,
            self.pace.events,
            self.pace.longest_pause_ms,
            now_ms,
        );
        if let Some(first_ms) = self.pace.first_ms {
            let prompt = self.job.request.prompt.as_ref();
            let output_tokens = prompt.map_or(0, |prompt| prompt.max_output_tokens);
            let service = &self.job.service().name;
            self.gateway.shared.record_run(service, output_tokens, now_ms - first_ms);
        }
        measures::stream_ended(&self.job.service().name, "whole");
        slog::debug!(self.gateway.log, "stream whole"; "request" => self.job.request.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "event" => self.last_id, "took_ms" => took_ms,
            "first_ms" => self.pace.first_ms.map(|at_ms| at_ms - self.job.arrived_ms),
            "longest_pause_ms" => self.pace.longest_pause_ms);
    }
}
