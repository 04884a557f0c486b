//! Admission of calls to plain services: a call waits for a place among the calls in progress before its
//! first send.
//!
//! [`call_queue::CallQueue`] decides. This module wakes the waiting requests and removes those whose
//! futures are dropped. It is in use where the settings have `overload_control`.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::oneshot;
use tokio::time;

use super::job::Job;
use super::policy::call_limit::{Answer, Capacity, Change};
use super::policy::call_queue::{self, CallQueue, Decision, Reason, Refused, Ticket};
use super::{Gateway, directory, metrics, request};
use crate::{drain, error};

/// Queue of one service and the requests that wait for its decisions.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    queue: CallQueue,
    waiters: HashMap<Ticket, oneshot::Sender<Decision>>,
}

impl ServiceQueue {
    fn step(&mut self, service: &str, now_ms: u64) {
        for (ticket, decision) in self.queue.step(now_ms) {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // Without a receiver the request is being dropped, and its place removes the call.
                let _ = waiter.send(decision);
            }
        }
        let limit = self.queue.limit().calls();
        metrics::call_queue(service, self.queue.waiting(), self.queue.in_progress(), limit);
    }
}

/// Queues by service.
pub(super) type Queues = HashMap<CompactString, ServiceQueue>;

/// Place of a call in the queue and among the calls in progress. The drop frees it, also when the caller has
/// disconnected.
#[derive(Debug)]
pub(super) struct Place {
    gateway: Rc<Gateway>,
    service: CompactString,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        if let Some(service) = self.gateway.call_queues.borrow_mut().get_mut(&self.service) {
            service.waiters.remove(&self.ticket);
            service.queue.leave(self.ticket);
            service.step(&self.service, now_ms);
        }
    }
}

/// Why a waiting call ended without a place.
enum Ended {
    Refused(Refused),
    Stopping,
}

impl Gateway {
    /// Waits until a call to a plain service may be sent. Other requests do not wait.
    pub(super) async fn await_place(self: &Rc<Self>, job: &mut Job) -> Result<(), error::Refusal> {
        let is_call = !job.kind.is_stream() && job.service().engine.is_none();
        if !self.shared.settings.overload_control || !is_call {
            return Ok(());
        }
        let capacity = self.call_capacity(job);
        if capacity.endpoints == 0 {
            // Nothing could be sent, so the call is refused as it is without a queue.
            return Ok(());
        }
        let (place, mut decision) = self.join_queue(job, capacity);
        // The queue usually has a place at once.
        let waited = match decision.try_recv() {
            Ok(Decision::Start) => {
                job.place = Some(place);
                return Ok(());
            }
            Ok(Decision::Refuse(refused)) => Err(Ended::Refused(refused)),
            Err(_) => self.wait_in_queue(&place, decision).await,
        };
        let waited_ms = self.now_ms().saturating_sub(job.arrived_ms);
        match waited {
            Ok(()) => {
                metrics::call_waited(&place.service, waited_ms);
                self.log_call_dispatched(job, waited_ms);
                job.place = Some(place);
                Ok(())
            }
            Err(Ended::Stopping) => {
                metrics::call_refused(&place.service, "stop");
                Err(drain::refusal())
            }
            Err(Ended::Refused(refused)) => Err(self.refuse_call(job, refused, waited_ms)),
        }
    }

    /// Endpoints of the call's service that accept calls.
    fn call_capacity(&self, job: &Job) -> Capacity {
        let snapshot = self.shared.snapshot.load();
        let service = &job.service().name;
        let accepting = snapshot.accepting(service, job.evacuation_key(), self.now_ms());
        accepting.fold(Capacity::default(), |sum, endpoint| Capacity {
            endpoints: sum.endpoints + 1,
            slots: sum.slots + endpoint.slots,
        })
    }

    fn join_queue(
        self: &Rc<Self>,
        job: &Job,
        capacity: Capacity,
    ) -> (Place, oneshot::Receiver<Decision>) {
        let name = &job.service().name;
        let mut queues = self.call_queues.borrow_mut();
        let service = queues.entry(name.clone()).or_default();
        service.queue.set_capacity(capacity);
        let ticket = service.queue.arrive(call_queue::Call {
            account: job.account.clone().unwrap_or_default(),
            priority: job.priority,
            arrived_ms: job.arrived_ms,
            latency_target_ms: job.route().latency_target_ms,
            deadline_ms: job.deadline_ms,
        });
        let (sender, receiver) = oneshot::channel();
        service.waiters.insert(ticket, sender);
        service.step(name, self.now_ms());
        (Place { gateway: Rc::clone(self), service: name.clone(), ticket }, receiver)
    }

    async fn wait_in_queue(
        &self,
        place: &Place,
        mut decision: oneshot::Receiver<Decision>,
    ) -> Result<(), Ended> {
        loop {
            tokio::select! {
                biased;
                decided = &mut decision => return match decided {
                    Ok(Decision::Start) => Ok(()),
                    Ok(Decision::Refuse(refused)) => Err(Ended::Refused(refused)),
                    // The queue keeps the sender of each waiting call.
                    Err(_) => Err(Ended::Stopping),
                },
                () = self.shared.stop.phase_reached(drain::Phase::Draining) => {
                    return Err(Ended::Stopping);
                }
                () = self.next_queue_step(&place.service) => {
                    if let Some(service) = self.call_queues.borrow_mut().get_mut(&place.service) {
                        service.step(&place.service, self.now_ms());
                    }
                }
            }
        }
    }

    /// Waits until the queue has to decide again although no call has arrived or ended.
    async fn next_queue_step(&self, service: &str) {
        let now_ms = self.now_ms();
        let next_ms = |one: &ServiceQueue| one.queue.next_step_ms();
        let next_ms = self.call_queues.borrow().get(service).and_then(next_ms);
        let wait_ms =
            next_ms.map_or(call_queue::SILENT_MS, |at_ms| at_ms.saturating_sub(now_ms)).max(1);
        time::sleep(Duration::from_millis(wait_ms)).await;
    }

    fn refuse_call(&self, job: &Job, refused: Refused, waited_ms: u64) -> error::Refusal {
        let now_ms = self.now_ms();
        let service = &job.service().name;
        let label = match refused.reason {
            Reason::QueueLong => "queue_long",
            Reason::WaitLimit => "wait_limit",
            Reason::Deadline => "deadline",
        };
        metrics::call_refused(service, label);
        // Endpoints are ordered for the refused calls as well.
        self.shared.rejections().record(service, now_ms);
        let left_ms = job.left_ms(now_ms);
        // While all endpoints are in backoff a retry would fail, so this time is added.
        let expected_ms = refused.expected_ms + self.min_backoff_ms(job) as f64;
        let retry_ms =
            call_queue::retry_after_ms(expected_ms, job.priority, left_ms, &mut rand::rng());
        let queues = self.call_queues.borrow();
        let queue = queues.get(service).map(|one| &one.queue);
        slog::info!(self.log, "call refused in queue"; "request" => job.request.id.as_str(),
            "account" => job.account.as_deref(), "route" => job.route().name.as_str(),
            "version" => job.table.version(), "priority" => job.priority, "reason" => label,
            "ahead" => refused.ahead, "expected_ms" => refused.expected_ms as u64,
            "waited_ms" => waited_ms, "waiting" => queue.map(CallQueue::waiting),
            "in_progress" => queue.map(CallQueue::in_progress),
            "limit" => queue.map(|one| one.limit().calls()),
            "response_ms" => queue.map(|one| one.limit().response_ms() as u64),
            "answer_age_ms" => queue.and_then(|one| one.limit().answer_age_ms(now_ms)),
            "left_ms" => left_ms, "retry_after_ms" => retry_ms);
        error::Refusal::not_run(error::Kind::TooLate).retry_after_ms(retry_ms)
    }

    fn log_call_dispatched(&self, job: &Job, waited_ms: u64) {
        let queues = self.call_queues.borrow();
        let queue = queues.get(&job.service().name).map(|one| &one.queue);
        slog::debug!(self.log, "call dispatched"; "request" => job.request.id.as_str(),
            "account" => job.account.as_deref(), "priority" => job.priority,
            "waited_ms" => waited_ms, "waiting" => queue.map(CallQueue::waiting),
            "in_progress" => queue.map(CallQueue::in_progress),
            "limit" => queue.map(|one| one.limit().calls()),
            "answer_age_ms" => queue.and_then(|one| one.limit().answer_age_ms(self.now_ms())));
    }

    /// Records what an endpoint's answer to a call says about the load of its service.
    pub(super) fn record_call_answer(
        &self,
        endpoint: &directory::Endpoint,
        info: &request::ResponseInfo,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let mut queues = self.call_queues.borrow_mut();
        let Some(service) = queues.get_mut(&endpoint.service) else {
            return;
        };
        let answer = Answer {
            is_not_run: info.not_run,
            waiting: info.load.map(|load| load.waiting),
            slots: endpoint.slots,
            took_ms: now_ms.saturating_sub(sent_ms),
        };
        let change = service.queue.record_answer(answer, now_ms);
        if let Some(Change { before, now }) = change {
            slog::debug!(self.log, "call limit"; "service" => endpoint.service.as_str(),
                "before" => before, "now" => now, "endpoint" => endpoint.id.as_str(),
                "not_run" => answer.is_not_run, "endpoint_waiting" => answer.waiting);
            service.step(&endpoint.service, now_ms);
        }
    }
}
