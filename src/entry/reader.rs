//! Reads one request's answer off its stream, and takes it up again when the link is lost.
//!
//! After the first byte a stream is never started anew: the side is asked for the same run from
//! the byte after the last one received, so an answer is whole or says that it is not.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time;

use super::{Worker, links};
use crate::{error, placement, wire};

/// Credit a stream starts with, and how much is gathered before more is given.
const CREDIT_BYTES: u32 = 32 << 10;
const CREDIT_STEP_BYTES: u32 = 8 << 10;
/// Tries to take up a run whose link was lost, and the pause before each.
const TAKE_UP_TRIES: u32 = 6;
const TAKE_UP_PAUSE_MS: u64 = 60;
/// How long a side has to say whether a request ran whose key was withdrawn.
const REVOKE_MS: u64 = 1_000;

type TakingUp = Pin<Box<dyn Future<Output = Result<links::Stream, error::Refusal>>>>;

enum Source {
    Open(links::Stream),
    TakingUp(TakingUp),
    Ended,
}

/// Reads the answer of one request from one side.
pub(super) struct Reader {
    worker: Rc<Worker>,
    target: placement::Target,
    /// The request as submitted, without its body, to take the run up again.
    again: Rc<wire::Submit>,
    source: Source,
    top_seen: bool,
    /// Body bytes received.
    pub(super) received: u64,
    uncredited: u32,
    keys_revision: u64,
    key_wait: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// Runs out when the side has not answered a revocation.
    revoked: Option<Pin<Box<time::Sleep>>>,
}

impl std::fmt::Debug for Reader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reader").field("received", &self.received).finish_non_exhaustive()
    }
}

/// What a reader gives next.
#[derive(Debug)]
pub(super) enum Next {
    Top(wire::Head),
    Piece(Vec<u8>),
    /// The answer is whole.
    End(wire::End),
}

impl Reader {
    /// Submits a request to a side.
    pub(super) async fn submit(
        worker: &Rc<Worker>,
        target: placement::Target,
        mut submit: wire::Submit,
    ) -> Result<Self, error::Refusal> {
        let link = worker.links.get(target.work_addr).await.map_err(|error| {
            error::Refusal::not_run(error::Kind::LinkLost).detail(error.to_string())
        })?;
        let stream = link.open_stream();
        submit.stream = stream.id;
        submit.credit_bytes = CREDIT_BYTES;
        let frame = wire::ToSide::Submit(Box::new(submit));
        if !stream.send(&frame) {
            return Err(error::Refusal::not_run(error::Kind::LinkLost));
        }
        let wire::ToSide::Submit(mut again) = frame else { unreachable!("built above") };
        again.call.body = Vec::new();
        Ok(Self {
            worker: Rc::clone(worker),
            target,
            again: Rc::new(*again),
            source: Source::Open(stream),
            top_seen: false,
            received: 0,
            uncredited: 0,
            keys_revision: 0,
            key_wait: None,
            revoked: None,
        })
    }

    /// The next part of the answer.
    pub(super) async fn next(&mut self) -> Option<Result<Next, error::Refusal>> {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// The next part of the answer; `None` after its end.
    pub(super) fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Next, error::Refusal>>> {
        if let Some(refusal) = self.key_withdrawn(context) {
            self.source = Source::Ended;
            return Poll::Ready(Some(Err(refusal)));
        }
        loop {
            let event = match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::TakingUp(taking_up) => match taking_up.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Ok(stream)) => {
                        self.source = Source::Open(stream);
                        continue;
                    }
                    Poll::Ready(Err(refusal)) => links::Event::Refused(refusal),
                },
                Source::Open(stream) => match stream.events.poll_recv(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(event) => event.unwrap_or(links::Event::Lost),
                },
            };
            if let Some(next) = self.take(event) {
                return Poll::Ready(Some(next));
            }
        }
    }

    fn take(&mut self, event: links::Event) -> Option<Result<Next, error::Refusal>> {
        match event {
            links::Event::Head(head) => {
                let first = !std::mem::replace(&mut self.top_seen, true);
                first.then_some(Ok(Next::Top(head)))
            }
            links::Event::Data(data) => self.take_data(data),
            links::Event::End(end) => {
                if end.length != self.received {
                    return Some(Err(self.fail("The answer has a gap.")));
                }
                self.end();
                Some(Ok(Next::End(end)))
            }
            links::Event::Refused(refusal) => {
                self.end();
                Some(Err(refusal))
            }
            links::Event::Lost => {
                self.end();
                self.source = Source::TakingUp(Box::pin(take_up(
                    Rc::clone(&self.worker),
                    self.target,
                    Rc::clone(&self.again),
                    self.received,
                )));
                None
            }
        }
    }

    fn take_data(&mut self, data: wire::Data) -> Option<Result<Next, error::Refusal>> {
        // After a run is taken up, frames may come twice or begin earlier; only what directly
        // follows the bytes received is passed on, so nothing doubles and nothing is left out.
        let Some(skip) = self.received.checked_sub(data.offset) else {
            return Some(Err(self.fail("The answer has a gap.")));
        };
        let fresh = data.bytes.get(skip as usize..).unwrap_or(&[]);
        if fresh.is_empty() {
            return None;
        }
        let bytes = if skip == 0 { data.bytes } else { fresh.to_vec() };
        self.received += bytes.len() as u64;
        self.give_credit(bytes.len() as u32);
        Some(Ok(Next::Piece(bytes)))
    }

    fn give_credit(&mut self, bytes: u32) {
        self.uncredited += bytes;
        if self.uncredited < CREDIT_STEP_BYTES {
            return;
        }
        if let Source::Open(stream) = &self.source {
            let credit = wire::Credit { stream: stream.id, bytes: self.uncredited };
            stream.send(&wire::ToSide::Credit(credit));
            self.uncredited = 0;
        }
    }

    fn fail(&mut self, sentence: &str) -> error::Refusal {
        self.source = Source::Ended;
        error::Refusal::unknown(error::Kind::Internal).detail(sentence)
    }

    fn end(&mut self) {
        if let Source::Open(stream) = &mut self.source {
            stream.ended = true;
        }
        self.source = Source::Ended;
    }

    /// Has the side end the stream: only the side knows whether the request has run.
    fn revoke(&mut self) {
        if let (Source::Open(stream), None) = (&self.source, &self.revoked) {
            stream.send(&wire::ToSide::Revoke(stream.id));
        }
        let limit = Duration::from_millis(REVOKE_MS);
        self.revoked.get_or_insert_with(|| Box::pin(time::sleep(limit)));
    }

    /// Ends the stream when its key has been withdrawn and the side does not end it in time;
    /// otherwise sees to it that the stream is woken when keys change.
    fn key_withdrawn(&mut self, context: &mut Context<'_>) -> Option<error::Refusal> {
        loop {
            if let Some(limit) = &mut self.revoked {
                let late = limit.as_mut().poll(context).is_ready();
                return late.then(|| error::Refusal::unknown(error::Kind::KeyWithdrawn));
            }
            let revision = self.worker.keys_revision.get();
            if self.keys_revision != revision {
                self.keys_revision = revision;
                let snapshot = self.worker.common.hub.snapshot.load();
                if snapshot.keys.is_withdrawn(&self.again.key) {
                    drop(snapshot);
                    self.revoke();
                }
            }
            let worker = Rc::clone(&self.worker);
            let wait = self.key_wait.get_or_insert_with(|| {
                Box::pin(async move { worker.keys_changed.notified().await })
            });
            match wait.as_mut().poll(context) {
                Poll::Pending => return None,
                Poll::Ready(()) => self.key_wait = None,
            }
        }
    }
}

/// Asks the same side for the same run from an offset on.
async fn take_up(
    worker: Rc<Worker>,
    target: placement::Target,
    again: Rc<wire::Submit>,
    from_offset: u64,
) -> Result<links::Stream, error::Refusal> {
    let mut last = String::new();
    for attempt in 0..TAKE_UP_TRIES {
        if attempt > 0 {
            let pause_ms = TAKE_UP_PAUSE_MS << attempt;
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let link = match worker.links.get(target.work_addr).await {
            Ok(link) => link,
            Err(error) => {
                last = error.to_string();
                if error.kind() == std::io::ErrorKind::ConnectionRefused {
                    // Nobody listens there any more: the process has gone and its runs with it.
                    break;
                }
                continue;
            }
        };
        let stream = link.open_stream();
        let mut submit = (*again).clone();
        submit.stream = stream.id;
        submit.from_offset = from_offset;
        submit.resume = true;
        if stream.send(&wire::ToSide::Submit(Box::new(submit))) {
            metrics::counter!("briarwinch_streams_taken_up_total").increment(1);
            return Ok(stream);
        }
    }
    Err(error::Refusal::unknown(error::Kind::LinkLost).detail(last))
}
