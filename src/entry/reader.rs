//! Reads the answer of one request from its stream and resumes it after a lost link.
//!
//! After the first byte a request is never started again: the entry asks the same side for the same run
//! from the byte after the last one received. So an answer is complete or ends with an error.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time;

use super::{Worker, links};
use crate::{error, placement, wire};

/// Initial flow control credit of a stream, and the number of bytes received before more is granted.
const INITIAL_CREDIT_BYTES: u32 = 32 << 10;
const CREDIT_STEP_BYTES: u32 = 8 << 10;
/// Attempts to resume a run after its link was lost, and the base of the exponential backoff between them.
const RESUME_ATTEMPTS: u32 = 6;
const RESUME_BACKOFF_MS: u64 = 60;
/// Time limit for a side to report whether a request with a withdrawn key has run.
const REVOKE_TIMEOUT_MS: u64 = 1_000;

type Resumption = Pin<Box<dyn Future<Output = Result<links::Stream, error::Refusal>>>>;

enum Source {
    Open(links::Stream),
    Resuming(Resumption),
    Ended,
}

/// Reads the answer of one request from one side.
pub(super) struct Reader {
    worker: Rc<Worker>,
    target: placement::Target,
    /// The request as submitted, but without its body, to resume the run.
    resubmit: Rc<wire::Submit>,
    source: Source,
    head_seen: bool,
    /// Number of body bytes received.
    pub(super) received_bytes: u64,
    /// Number of bytes received for which no new credit has been granted yet.
    uncredited_bytes: u32,
    keys_revision: u64,
    /// Completes when the key table has changed.
    keys_changed: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// Timeout of a revocation sent to the side.
    revoke_timeout: Option<Pin<Box<time::Sleep>>>,
}

impl std::fmt::Debug for Reader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reader")
            .field("received_bytes", &self.received_bytes)
            .finish_non_exhaustive()
    }
}

/// The next part of an answer.
#[derive(Debug)]
pub(super) enum Next {
    Head(wire::Head),
    Chunk(Vec<u8>),
    /// The answer is complete.
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
        submit.credit_bytes = INITIAL_CREDIT_BYTES;
        let frame = wire::ToSide::Submit(Box::new(submit));
        if !stream.send(&frame) {
            return Err(error::Refusal::not_run(error::Kind::LinkLost));
        }
        let wire::ToSide::Submit(mut resubmit) = frame else { unreachable!("built above") };
        resubmit.call.body = Vec::new();
        Ok(Self {
            worker: Rc::clone(worker),
            target,
            resubmit: Rc::new(*resubmit),
            source: Source::Open(stream),
            head_seen: false,
            received_bytes: 0,
            uncredited_bytes: 0,
            keys_revision: 0,
            keys_changed: None,
            revoke_timeout: None,
        })
    }

    /// Returns the next part of the answer, `None` after its end.
    pub(super) async fn next(&mut self) -> Option<Result<Next, error::Refusal>> {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Polls for the next part of the answer; `None` after its end.
    pub(super) fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Next, error::Refusal>>> {
        if let Some(refusal) = self.poll_withdrawal(context) {
            self.source = Source::Ended;
            return Poll::Ready(Some(Err(refusal)));
        }
        loop {
            let event = match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Resuming(resumption) => match resumption.as_mut().poll(context) {
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
            if let Some(next) = self.handle_event(event) {
                return Poll::Ready(Some(next));
            }
        }
    }

    fn handle_event(&mut self, event: links::Event) -> Option<Result<Next, error::Refusal>> {
        match event {
            links::Event::Head(head) => {
                let first = !std::mem::replace(&mut self.head_seen, true);
                first.then_some(Ok(Next::Head(head)))
            }
            links::Event::Data(data) => self.handle_data(data),
            links::Event::End(end) => {
                if end.length != self.received_bytes {
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
                self.source = Source::Resuming(Box::pin(resume(
                    Rc::clone(&self.worker),
                    self.target,
                    Rc::clone(&self.resubmit),
                    self.received_bytes,
                )));
                None
            }
        }
    }

    fn handle_data(&mut self, data: wire::Data) -> Option<Result<Next, error::Refusal>> {
        // After a run is resumed, frames may repeat or overlap bytes already received. Only the bytes
        // that directly follow those received are passed on, so none is duplicated or missing.
        let Some(skip) = self.received_bytes.checked_sub(data.offset) else {
            return Some(Err(self.fail("The answer has a gap.")));
        };
        let fresh = data.bytes.get(skip as usize..).unwrap_or(&[]);
        if fresh.is_empty() {
            return None;
        }
        let bytes = if skip == 0 { data.bytes } else { fresh.to_vec() };
        self.received_bytes += bytes.len() as u64;
        self.grant_credit(bytes.len() as u32);
        Some(Ok(Next::Chunk(bytes)))
    }

    fn grant_credit(&mut self, bytes: u32) {
        self.uncredited_bytes += bytes;
        if self.uncredited_bytes < CREDIT_STEP_BYTES {
            return;
        }
        if let Source::Open(stream) = &self.source {
            let credit = wire::Credit { stream: stream.id, bytes: self.uncredited_bytes };
            stream.send(&wire::ToSide::Credit(credit));
            self.uncredited_bytes = 0;
        }
    }

    fn fail(&mut self, detail: &str) -> error::Refusal {
        self.source = Source::Ended;
        error::Refusal::unknown(error::Kind::Internal).detail(detail)
    }

    /// Gives up the rest of the answer, because this process is about to exit.
    pub(super) fn interrupt(&mut self) -> error::Refusal {
        self.source = Source::Ended;
        error::Refusal::unknown(error::Kind::Interrupted)
    }

    fn end(&mut self) {
        if let Source::Open(stream) = &mut self.source {
            stream.ended = true;
        }
        self.source = Source::Ended;
    }

    /// Tells the side to end the stream, because only the side knows whether the request has run.
    fn revoke(&mut self) {
        if let (Source::Open(stream), None) = (&self.source, &self.revoke_timeout) {
            stream.send(&wire::ToSide::Revoke(stream.id));
        }
        let limit = Duration::from_millis(REVOKE_TIMEOUT_MS);
        self.revoke_timeout.get_or_insert_with(|| Box::pin(time::sleep(limit)));
    }

    /// Revokes the stream when its key has been withdrawn, and returns the refusal when the side does
    /// not end the stream in time. Otherwise registers to be woken when keys change.
    fn poll_withdrawal(&mut self, context: &mut Context<'_>) -> Option<error::Refusal> {
        loop {
            if let Some(timeout) = &mut self.revoke_timeout {
                let expired = timeout.as_mut().poll(context).is_ready();
                return expired.then(|| error::Refusal::unknown(error::Kind::KeyWithdrawn));
            }
            let revision = self.worker.keys_revision.get();
            if self.keys_revision != revision {
                self.keys_revision = revision;
                let snapshot = self.worker.common.hub.snapshot.load();
                if snapshot.keys.is_withdrawn(&self.resubmit.key) {
                    drop(snapshot);
                    self.revoke();
                }
            }
            let worker = Rc::clone(&self.worker);
            let changed = self.keys_changed.get_or_insert_with(|| {
                Box::pin(async move { worker.keys_changed.notified().await })
            });
            match changed.as_mut().poll(context) {
                Poll::Pending => return None,
                Poll::Ready(()) => self.keys_changed = None,
            }
        }
    }
}

/// Asks the same side for the rest of the same run, starting at an offset.
async fn resume(
    worker: Rc<Worker>,
    target: placement::Target,
    resubmit: Rc<wire::Submit>,
    from_offset: u64,
) -> Result<links::Stream, error::Refusal> {
    let mut last_error = String::new();
    for attempt in 0..RESUME_ATTEMPTS {
        if attempt > 0 {
            let backoff_ms = RESUME_BACKOFF_MS << attempt;
            time::sleep(Duration::from_millis(backoff_ms)).await;
        }
        let link = match worker.links.get(target.work_addr).await {
            Ok(link) => link,
            Err(error) => {
                last_error = error.to_string();
                if error.kind() == std::io::ErrorKind::ConnectionRefused {
                    // Nothing listens at the address: the process has exited and its runs are lost.
                    break;
                }
                continue;
            }
        };
        let stream = link.open_stream();
        let mut submit = (*resubmit).clone();
        submit.stream = stream.id;
        submit.from_offset = from_offset;
        submit.resume = true;
        if stream.send(&wire::ToSide::Submit(Box::new(submit))) {
            metrics::counter!("briarwinch_streams_taken_up_total").increment(1);
            return Ok(stream);
        }
    }
    Err(error::Refusal::unknown(error::Kind::LinkLost).detail(last_error))
}
