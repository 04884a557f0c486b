//! Runs: a request from its submit to the end of its answer.
//!
//! A run belongs to the side, not to the link it came by. When the link is lost the run goes on for
//! a while, and whoever submits the same request again reads on where the answer stopped.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::task;

use super::{RunKey, Side, endpoint};
use crate::{answer, error, link, queue, trace, wire};

mod call;

/// Body bytes a reader may be behind before the endpoint is no longer read.
const MAX_BEHIND_BYTES: u64 = 1 << 20;
/// Body bytes kept behind a reader who has no idempotency key: above the credit of a stream.
const KEPT_BEHIND_BYTES: u64 = 48 << 10;
/// Longest time a run of this side lasts, whatever its caller said.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Where a run is.
#[derive(Debug)]
pub(super) enum Phase {
    Queued(queue::Ticket),
    Running,
    Ended,
}

/// Who reads a run's answer.
#[derive(Debug)]
pub(super) struct Subscriber {
    pub(super) outbox: link::Outbox,
    pub(super) reader: answer::Reader,
}

impl Subscriber {
    pub(super) fn is(&self, stream: wire::StreamId, outbox: &link::Outbox) -> bool {
        self.reader.stream == stream && self.outbox.is_same(outbox)
    }
}

/// One request held by this side.
#[derive(Debug)]
pub struct Run {
    pub(super) key: RunKey,
    pub(super) submit: wire::Submit,
    pub(super) phase: RefCell<Phase>,
    pub(super) answer: RefCell<answer::Answer>,
    pub(super) subscriber: RefCell<Option<Subscriber>>,
    /// Wakes the run's task: it was stopped, or its reader has caught up.
    pub(super) wake: Notify,
    stopped: RefCell<Option<error::Refusal>>,
    arrived_ms: u64,
    pub(super) deadline_ms: u64,
    /// Since when nobody reads it.
    pub(super) alone_since_ms: Cell<Option<u64>>,
    /// Bytes of the call have left for the endpoint.
    pub(super) sent: Cell<bool>,
    queue_span: RefCell<Option<trace::Span>>,
}

impl Run {
    /// Nothing is left to be sent to its caller.
    pub(super) fn is_delivered(&self) -> bool {
        let ended = matches!(*self.phase.borrow(), Phase::Ended);
        let read = self.subscriber.borrow().as_ref().is_none_or(|s| s.reader.is_done());
        ended && read
    }

    fn account(&self) -> &CompactString {
        &self.submit.account
    }

    /// Sends the reader all that is there and its credit allows.
    pub(super) fn flush(&self) {
        let mut subscriber = self.subscriber.borrow_mut();
        let Some(subscriber) = subscriber.as_mut() else {
            return;
        };
        let answer = self.answer.borrow();
        while let Some(frame) = subscriber.reader.next(&answer) {
            if !subscriber.outbox.send(&frame) {
                return;
            }
        }
        drop(answer);
        if self.submit.idempotency.is_none() {
            // Nobody can come back for it but the entry that reads it, and that one only for what
            // a lost link swallowed, which its credit bounds.
            let keep_from = subscriber.reader.offset.saturating_sub(KEPT_BEHIND_BYTES);
            self.answer.borrow_mut().discard_before(keep_from);
        }
    }

    /// The reader is so far behind that the endpoint should not be read on.
    fn is_behind(&self) -> bool {
        let subscriber = self.subscriber.borrow();
        let Some(subscriber) = subscriber.as_ref() else {
            return false;
        };
        let ahead = self.answer.borrow().length().saturating_sub(subscriber.reader.offset);
        ahead > MAX_BEHIND_BYTES
    }

    pub(super) fn end(&self, ending: answer::Ending) {
        *self.phase.borrow_mut() = Phase::Ended;
        let mut answer = self.answer.borrow_mut();
        if answer.ending.is_none() {
            answer.ending = Some(ending);
        }
        drop(answer);
        self.flush();
    }
}

pub(super) fn send_refusal(outbox: &link::Outbox, stream: wire::StreamId, refusal: error::Refusal) {
    let code = refusal.kind.answer().code;
    metrics::counter!("briarwinch_side_refusals_total", "kind" => code).increment(1);
    outbox.send(&wire::ToEntry::Refused(wire::Refused { stream, refusal }));
}

impl Side {
    /// Takes in a request, or takes up a run again.
    pub(super) fn submit(self: &Rc<Self>, submit: wire::Submit, outbox: &link::Outbox) {
        if let Some(run) = self.known_run(&submit) {
            return self.take_up(&run, &submit, outbox);
        }
        let stream = submit.stream;
        if submit.take_up {
            let refusal = error::Refusal::unknown(error::Kind::LinkLost);
            return send_refusal(outbox, stream, refusal.detail("The run is no longer held."));
        }
        if let Err(refusal) = self.start(submit, outbox) {
            send_refusal(outbox, stream, refusal);
        }
    }

    fn known_run(&self, submit: &wire::Submit) -> Option<Rc<Run>> {
        let by_request = self.by_request.borrow().get(&submit.request).copied();
        let by_idempotency = || {
            let digest = submit.idempotency?;
            self.by_idempotency.borrow().get(&digest).copied()
        };
        let key = by_request.or_else(by_idempotency)?;
        self.runs.borrow().get(key).cloned()
    }

    fn take_up(&self, run: &Rc<Run>, submit: &wire::Submit, outbox: &link::Outbox) {
        let stream = submit.stream;
        if run.submit.account != submit.account
            || run.submit.request_digest != submit.request_digest
        {
            let refusal = error::Refusal::not_run(error::Kind::IdempotencyMismatch);
            return send_refusal(outbox, stream, refusal);
        }
        if !run.answer.borrow().is_available_from(submit.from_offset) {
            let refusal = error::Refusal::unknown(error::Kind::LinkLost);
            return send_refusal(outbox, stream, refusal.detail("The answer is no longer held."));
        }
        run.answer.borrow_mut().replayed |= submit.request != run.submit.request;
        let reader = answer::Reader::new(stream, submit.from_offset, submit.credit_bytes.into());
        let new = Subscriber { outbox: outbox.clone(), reader };
        let former = run.subscriber.replace(Some(new));
        run.alone_since_ms.set(None);
        if let Some(former) = former.filter(|former| !former.reader.is_done()) {
            let refusal = error::Refusal::unknown(error::Kind::Superseded);
            send_refusal(&former.outbox, former.reader.stream, refusal);
        }
        metrics::counter!("briarwinch_runs_taken_up_total").increment(1);
        run.flush();
        run.wake.notify_waiters();
    }

    fn start(
        self: &Rc<Self>,
        submit: wire::Submit,
        outbox: &link::Outbox,
    ) -> Result<(), error::Refusal> {
        let refuse = error::Refusal::not_run;
        let endpoint =
            self.endpoint(submit.endpoint).ok_or_else(|| refuse(error::Kind::NoEndpoint))?;
        if endpoint.service != submit.service {
            return Err(refuse(error::Kind::NoEndpoint));
        }
        if self.is_leaving(endpoint) {
            return Err(refuse(error::Kind::Draining));
        }
        self.follow_config(endpoint);
        let snapshot = self.hub.snapshot.load();
        if self.is_withdrawn(&submit.key) {
            return Err(refuse(error::Kind::KeyWithdrawn));
        }
        let in_force = snapshot.config.as_ref().ok_or_else(|| refuse(error::Kind::NotReady))?;
        let config = &in_force.model;
        // The entry's configuration may be newer by the time it takes to spread; another side may
        // have it already.
        let class = config.class(&submit.class).ok_or_else(|| refuse(error::Kind::NotReady))?;
        let now_ms = self.now_ms();
        let share = config.share_of(&submit.account);
        let expected_ms = endpoint.first_token_ms(class, &submit.account, share, now_ms);
        let longest_wait_ms = config.class_at(class).spec.longest_wait_ms();
        if let Some(longest_ms) = longest_wait_ms.filter(|most| u64::from(expected_ms) > *most) {
            let refusal = refuse(error::Kind::TooLate);
            return Err(
                refusal.retry_after_ms(expected_ms.saturating_sub(longest_ms as u32).max(1))
            );
        }
        let run = self.insert(submit, outbox, now_ms);
        let expires_at_ms =
            longest_wait_ms.map_or(run.deadline_ms, |most| run.deadline_ms.min(now_ms + most));
        let output = endpoint.latency.borrow().output_tokens(run.submit.max_tokens);
        let job = queue::Job {
            id: slotmap::Key::data(&run.key).as_ffi(),
            class,
            account: run.account().clone(),
            share,
            estimate_tokens: u64::from(run.submit.prompt_tokens) + output,
            target_at_ms: now_ms + u64::from(run.submit.target_ms),
            expires_at_ms,
        };
        self.place(endpoint, &run, job);
        self.pump(endpoint);
        Ok(())
    }

    fn insert(&self, submit: wire::Submit, outbox: &link::Outbox, now_ms: u64) -> Rc<Run> {
        let reader = answer::Reader::new(submit.stream, 0, submit.credit_bytes.into());
        let subscriber = Subscriber { outbox: outbox.clone(), reader };
        let (request, idempotency) = (submit.request.clone(), submit.idempotency);
        let deadline_ms = now_ms + u64::from(submit.deadline_ms).min(MAX_DEADLINE_MS);
        let span = trace::Span::start("queue", submit.trace);
        let mut made = None;
        let key = self.runs.borrow_mut().insert_with_key(|key| {
            let run = Rc::new(Run {
                key,
                submit,
                phase: RefCell::new(Phase::Running),
                answer: RefCell::default(),
                subscriber: RefCell::new(Some(subscriber)),
                wake: Notify::new(),
                stopped: RefCell::default(),
                arrived_ms: now_ms,
                deadline_ms,
                alone_since_ms: Cell::new(None),
                sent: Cell::new(false),
                queue_span: RefCell::new(Some(span)),
            });
            made = Some(Rc::clone(&run));
            run
        });
        self.by_request.borrow_mut().insert(request, key);
        if let Some(digest) = idempotency {
            self.by_idempotency.borrow_mut().insert(digest, key);
        }
        made.expect("insert_with_key calls its closure")
    }

    /// Puts a job into the queue; refuses it, or the one it displaces.
    fn place(&self, endpoint: &endpoint::Endpoint, run: &Run, job: queue::Job) {
        let pushed = endpoint.queue.borrow_mut().push(job);
        match pushed {
            queue::PushOutcome::Queued(ticket) => *run.phase.borrow_mut() = Phase::Queued(ticket),
            queue::PushOutcome::QueuedEvicting(ticket, evicted) => {
                *run.phase.borrow_mut() = Phase::Queued(ticket);
                self.refuse_job(endpoint, &evicted, error::Kind::QueueFull);
            }
            queue::PushOutcome::Refused(job) => {
                self.refuse_job(endpoint, &job, error::Kind::QueueFull);
            }
        }
    }

    /// Gives a job that is no longer queued its final answer, with when to come back.
    fn refuse_job(&self, endpoint: &endpoint::Endpoint, job: &queue::Job, kind: error::Kind) {
        let Some(run) = self.run_of(job) else { return };
        let retry_after_ms =
            endpoint.first_token_ms(job.class, &job.account, job.share, self.now_ms()).max(1);
        let refusal = error::Refusal::not_run(kind).retry_after_ms(retry_after_ms);
        self.finish(&run, answer::Ending::Refused(refusal));
    }

    fn run_of(&self, job: &queue::Job) -> Option<Rc<Run>> {
        let key = RunKey::from(slotmap::KeyData::from_ffi(job.id));
        self.runs.borrow().get(key).cloned()
    }

    /// Brings an endpoint's queue to the configuration in force.
    pub(super) fn follow_config(&self, endpoint: &endpoint::Endpoint) {
        let snapshot = self.hub.snapshot.load();
        let Some((jobs, config)) = endpoint.follow(&snapshot) else {
            return;
        };
        for mut job in jobs {
            let Some(run) = self.run_of(&job) else {
                continue;
            };
            match config.class(&run.submit.class) {
                Some(class) => {
                    job.class = class;
                    self.place(endpoint, &run, job);
                }
                None => self.finish(
                    &run,
                    answer::Ending::Refused(error::Refusal::not_run(error::Kind::UnknownClass)),
                ),
            }
        }
    }

    /// Starts requests while slots are free.
    pub(super) fn pump(self: &Rc<Self>, endpoint: &endpoint::Endpoint) {
        let expired = endpoint.queue.borrow_mut().expire(self.now_ms());
        for job in expired {
            self.refuse_job(endpoint, &job, error::Kind::TooLate);
        }
        loop {
            let (running, slots) = (endpoint.running.get(), endpoint.slots());
            let Some(started) = endpoint.queue.borrow_mut().pop(running, slots) else {
                break;
            };
            let Some(run) = self.run_of(&started.job) else {
                continue;
            };
            *run.phase.borrow_mut() = Phase::Running;
            endpoint.running.set(endpoint.running.get() + 1);
            endpoint.prefixes.borrow_mut().note(run.submit.prefix);
            if let Some(span) = run.queue_span.borrow_mut().take() {
                span.end(&self.spans, &run.submit.request);
            }
            task::spawn_local(call::run(Rc::clone(self), run, started));
        }
    }

    /// Ends a run that is not running any more.
    pub(super) fn finish(&self, run: &Rc<Run>, ending: answer::Ending) {
        run.end(ending);
        let keep = run.submit.idempotency.is_some() && run.sent.get();
        if !keep && run.is_delivered() {
            self.forget(run);
        } else if run.alone_since_ms.get().is_none() {
            run.alone_since_ms.set(Some(self.now_ms()));
        }
    }

    pub(super) fn forget(&self, run: &Run) {
        self.runs.borrow_mut().remove(run.key);
        self.by_request.borrow_mut().remove(&run.submit.request);
        if let Some(digest) = run.submit.idempotency {
            let mut by_idempotency = self.by_idempotency.borrow_mut();
            if by_idempotency.get(&digest) == Some(&run.key) {
                by_idempotency.remove(&digest);
            }
        }
    }

    /// Stops a run for a reason of the router's own.
    pub(super) fn stop(self: &Rc<Self>, run: &Rc<Run>, kind: error::Kind) {
        let queued = match *run.phase.borrow() {
            Phase::Queued(ticket) => Some(ticket),
            Phase::Running => None,
            Phase::Ended => return,
        };
        if let Some(ticket) = queued {
            if let Some(endpoint) = self.endpoint(run.submit.endpoint) {
                endpoint.queue.borrow_mut().remove(ticket);
            }
            return self.finish(run, answer::Ending::Refused(error::Refusal::not_run(kind)));
        }
        if run.sent.get() && !run.submit.repeatable {
            // The call is out and cannot be taken back: its outcome is awaited and kept, whoever
            // still wants it. Only the caller is told.
            if kind == error::Kind::KeyWithdrawn {
                let refusal = error::Refusal::unknown(kind);
                if let Some(subscriber) = run.subscriber.borrow_mut().take() {
                    send_refusal(&subscriber.outbox, subscriber.reader.stream, refusal);
                }
            }
            return;
        }
        *run.stopped.borrow_mut() = Some(error::Refusal::unknown(kind));
        run.wake.notify_waiters();
    }
}
