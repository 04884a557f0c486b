//! Runs: a run is a request at this side from its submission to the end of its answer.
//!
//! A run belongs to the side, not to the link that submitted it. After a lost link the run continues for
//! the linger time, and an entry that submits the same request again resumes reading its answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::task;

use super::{RunKey, Side, endpoint};
use crate::{answer, error, link, queue, trace, wire};

mod call;

/// Number of unread body bytes above which the side stops reading from the endpoint.
const MAX_UNREAD_BYTES: u64 = 1 << 20;
/// Number of sent body bytes kept for a reader without an idempotency key. It is above the credit of a
/// stream, so that all bytes that a lost link may have dropped can be sent again.
const RESEND_BYTES: u64 = 48 << 10;
/// Upper limit of a run's deadline, even when the caller's deadline is longer.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The state of a run.
#[derive(Debug)]
pub(super) enum Phase {
    Queued(queue::Ticket),
    Running,
    Ended,
}

/// The stream of an entry that reads a run's answer.
#[derive(Debug)]
pub(super) struct Subscriber {
    pub(super) outbox: link::Outbox,
    pub(super) reader: answer::Reader,
}

impl Subscriber {
    pub(super) fn is_stream(&self, stream: wire::StreamId, outbox: &link::Outbox) -> bool {
        self.reader.stream == stream && self.outbox.is_same(outbox)
    }
}

/// A request held by this side.
#[derive(Debug)]
pub struct Run {
    pub(super) key: RunKey,
    pub(super) submit: wire::Submit,
    pub(super) phase: RefCell<Phase>,
    pub(super) answer: RefCell<answer::Answer>,
    pub(super) subscriber: RefCell<Option<Subscriber>>,
    /// Wakes the run's task when the run was stopped or its reader may have caught up.
    pub(super) wake: Notify,
    stopped: RefCell<Option<error::Refusal>>,
    arrived_ms: u64,
    pub(super) deadline_ms: u64,
    /// When the run lost its reader or ended.
    pub(super) detached_since_ms: Cell<Option<u64>>,
    /// Whether bytes of the call may have reached the endpoint.
    pub(super) sent: Cell<bool>,
    queue_span: RefCell<Option<trace::Span>>,
}

impl Run {
    /// Returns whether the run has ended and its reader, if any, has received the whole answer.
    pub(super) fn is_delivered(&self) -> bool {
        let ended = matches!(*self.phase.borrow(), Phase::Ended);
        let is_read = self.subscriber.borrow().as_ref().is_none_or(|s| s.reader.is_done());
        ended && is_read
    }

    fn account(&self) -> &CompactString {
        &self.submit.account
    }

    /// Sends the reader the available part of the answer, up to its credit.
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
            // Without an idempotency key only the entry that reads the answer can resume it, and only
            // from the bytes that a lost link has dropped, whose number is bounded by its credit.
            let keep_from = subscriber.reader.offset.saturating_sub(RESEND_BYTES);
            self.answer.borrow_mut().discard_before(keep_from);
        }
    }

    /// Returns whether the reader is too far behind to read more from the endpoint.
    fn is_behind(&self) -> bool {
        let subscriber = self.subscriber.borrow();
        let Some(subscriber) = subscriber.as_ref() else {
            return false;
        };
        let unread = self.answer.borrow().length().saturating_sub(subscriber.reader.offset);
        unread > MAX_UNREAD_BYTES
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
    /// Starts a run for a request, or resumes the run that exists for it.
    pub(super) fn submit(self: &Rc<Self>, submit: wire::Submit, outbox: &link::Outbox) {
        if let Some(run) = self.find_run(&submit) {
            return self.resume(&run, &submit, outbox);
        }
        let stream = submit.stream;
        if submit.resume {
            let refusal = error::Refusal::unknown(error::Kind::LinkLost);
            return send_refusal(outbox, stream, refusal.detail("The run is no longer held."));
        }
        if let Err(refusal) = self.start(submit, outbox) {
            send_refusal(outbox, stream, refusal);
        }
    }

    /// Finds the run of a request by request identifier or idempotency key.
    fn find_run(&self, submit: &wire::Submit) -> Option<Rc<Run>> {
        let by_request = self.by_request.borrow().get(&submit.request).copied();
        let by_idempotency = || {
            let digest = submit.idempotency?;
            self.by_idempotency.borrow().get(&digest).copied()
        };
        let key = by_request.or_else(by_idempotency)?;
        self.runs.borrow().get(key).cloned()
    }

    /// Attaches a stream to a run and detaches the former reader.
    fn resume(&self, run: &Rc<Run>, submit: &wire::Submit, outbox: &link::Outbox) {
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
        let subscriber = Subscriber { outbox: outbox.clone(), reader };
        let previous = run.subscriber.replace(Some(subscriber));
        run.detached_since_ms.set(None);
        if let Some(previous) = previous.filter(|previous| !previous.reader.is_done()) {
            let refusal = error::Refusal::unknown(error::Kind::Superseded);
            send_refusal(&previous.outbox, previous.reader.stream, refusal);
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
        self.apply_config(endpoint);
        let snapshot = self.hub.snapshot.load();
        if self.is_withdrawn(&submit.key) {
            return Err(refuse(error::Kind::KeyWithdrawn));
        }
        let active_config =
            snapshot.config.as_ref().ok_or_else(|| refuse(error::Kind::NotReady))?;
        let config = &active_config.model;
        // The entry's configuration may be newer, because configurations take time to spread. Another
        // side may already have it.
        let class = config.class(&submit.class).ok_or_else(|| refuse(error::Kind::NotReady))?;
        let now_ms = self.now_ms();
        let share = config.share_of(&submit.account);
        let expected_ms = endpoint.first_token_ms(class, &submit.account, share, now_ms);
        let max_wait_ms = config.class_at(class).spec.longest_wait_ms();
        if let Some(max_ms) = max_wait_ms.filter(|max_ms| u64::from(expected_ms) > *max_ms) {
            let refusal = refuse(error::Kind::TooLate);
            return Err(refusal.retry_after_ms(expected_ms.saturating_sub(max_ms as u32).max(1)));
        }
        let run = self.insert(submit, outbox, now_ms);
        let expires_at_ms =
            max_wait_ms.map_or(run.deadline_ms, |max_ms| run.deadline_ms.min(now_ms + max_ms));
        let output_tokens = endpoint.latency.borrow().output_tokens(run.submit.max_tokens);
        let job = queue::Job {
            id: slotmap::Key::data(&run.key).as_ffi(),
            class,
            account: run.account().clone(),
            share,
            estimate_tokens: u64::from(run.submit.prompt_tokens) + output_tokens,
            target_at_ms: now_ms + u64::from(run.submit.target_ms),
            expires_at_ms,
        };
        self.enqueue(endpoint, &run, job);
        self.start_queued(endpoint);
        Ok(())
    }

    fn insert(&self, submit: wire::Submit, outbox: &link::Outbox, now_ms: u64) -> Rc<Run> {
        let reader = answer::Reader::new(submit.stream, 0, submit.credit_bytes.into());
        let subscriber = Subscriber { outbox: outbox.clone(), reader };
        let (request, idempotency) = (submit.request.clone(), submit.idempotency);
        let deadline_ms = now_ms + u64::from(submit.deadline_ms).min(MAX_DEADLINE_MS);
        let span = trace::Span::start("queue", submit.trace);
        let mut inserted = None;
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
                detached_since_ms: Cell::new(None),
                sent: Cell::new(false),
                queue_span: RefCell::new(Some(span)),
            });
            inserted = Some(Rc::clone(&run));
            run
        });
        self.by_request.borrow_mut().insert(request, key);
        if let Some(digest) = idempotency {
            self.by_idempotency.borrow_mut().insert(digest, key);
        }
        inserted.expect("insert_with_key calls its closure")
    }

    /// Queues a job; refuses it when the queue is full, or the job that it displaces.
    fn enqueue(&self, endpoint: &endpoint::Endpoint, run: &Run, job: queue::Job) {
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

    /// Refuses a job that is no longer queued, and tells its caller when to retry.
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

    /// Updates an endpoint's queue to the active configuration.
    pub(super) fn apply_config(&self, endpoint: &endpoint::Endpoint) {
        let snapshot = self.hub.snapshot.load();
        let Some((jobs, config)) = endpoint.apply_config(&snapshot) else {
            return;
        };
        for mut job in jobs {
            let Some(run) = self.run_of(&job) else {
                continue;
            };
            match config.class(&run.submit.class) {
                Some(class) => {
                    job.class = class;
                    self.enqueue(endpoint, &run, job);
                }
                None => self.finish(
                    &run,
                    answer::Ending::Refused(error::Refusal::not_run(error::Kind::UnknownClass)),
                ),
            }
        }
    }

    /// Refuses expired jobs, then starts queued ones while slots are free.
    pub(super) fn start_queued(self: &Rc<Self>, endpoint: &endpoint::Endpoint) {
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
            endpoint.prefixes.borrow_mut().record(run.submit.prefix);
            if let Some(span) = run.queue_span.borrow_mut().take() {
                span.end(&self.spans, &run.submit.request);
            }
            task::spawn_local(call::run(Rc::clone(self), run, started));
        }
    }

    /// Ends a run whose call is over or was never started. A run with an idempotency key that has reached
    /// the endpoint stays, so that its answer can be replayed.
    pub(super) fn finish(&self, run: &Rc<Run>, ending: answer::Ending) {
        run.end(ending);
        let is_replayable = run.submit.idempotency.is_some() && run.sent.get();
        if !is_replayable && run.is_delivered() {
            self.remove_run(run);
        } else if run.detached_since_ms.get().is_none() {
            run.detached_since_ms.set(Some(self.now_ms()));
        }
    }

    pub(super) fn remove_run(&self, run: &Run) {
        self.runs.borrow_mut().remove(run.key);
        self.by_request.borrow_mut().remove(&run.submit.request);
        if let Some(digest) = run.submit.idempotency {
            let mut by_idempotency = self.by_idempotency.borrow_mut();
            if by_idempotency.get(&digest) == Some(&run.key) {
                by_idempotency.remove(&digest);
            }
        }
    }

    /// Stops a run for a reason that doesn't come from the endpoint. A call that may not be repeated
    /// continues once it has been sent.
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
            // The call has been sent and cannot be undone, so the run continues and its outcome is kept.
            // Only the caller is informed of the withdrawn key.
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
