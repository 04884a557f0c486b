//! Events on the streams that entries read: cancellation, revocation, credit and lost links.

use std::rc::Rc;

use super::Side;
use super::run::{Phase, Run};
use crate::{error, link, wire};

impl Side {
    /// Handles the disconnect of a caller.
    pub(super) fn cancel(self: &Rc<Self>, stream: wire::StreamId, outbox: &link::Outbox) {
        let Some(run) = self.run_of_stream(stream, outbox) else {
            return;
        };
        *run.subscriber.borrow_mut() = None;
        if run.submit.idempotency.is_some() {
            // With an idempotency key the caller may reconnect through another entry.
            run.detached_since_ms.set(Some(self.now_ms()));
            return;
        }
        self.stop(&run, error::Kind::Superseded);
        if matches!(*run.phase.borrow(), Phase::Ended) {
            self.remove_run(&run);
        }
    }

    /// Handles a withdrawn key that an entry reports, possibly before this side's key table has it.
    pub(super) fn revoke(self: &Rc<Self>, stream: wire::StreamId, outbox: &link::Outbox) {
        let Some(run) = self.run_of_stream(stream, outbox) else {
            return;
        };
        self.revoked.borrow_mut().insert(run.submit.key.clone());
        self.stop_withdrawn();
    }

    /// Stops all runs whose key is withdrawn. Queued runs are stopped first, because otherwise one of
    /// them would start in the slot that a stopped one frees.
    pub(super) fn stop_withdrawn(self: &Rc<Self>) {
        let mut runs: Vec<Rc<Run>> = self.runs.borrow().values().cloned().collect();
        runs.retain(|run| self.is_withdrawn(&run.submit.key));
        runs.sort_by_key(|run| !matches!(*run.phase.borrow(), Phase::Queued(_)));
        for run in runs {
            self.stop(&run, error::Kind::KeyWithdrawn);
        }
    }

    /// Adds credit that the entry grants after it has read bytes from its stream.
    pub(super) fn credit(&self, credit: wire::Credit, outbox: &link::Outbox) {
        let Some(run) = self.run_of_stream(credit.stream, outbox) else {
            return;
        };
        if let Some(subscriber) = run.subscriber.borrow_mut().as_mut() {
            subscriber.reader.credit_bytes += u64::from(credit.bytes);
        }
        run.flush();
        run.wake.notify_waiters();
        if run.is_delivered() && run.submit.idempotency.is_none() {
            self.remove_run(&run);
        }
    }

    fn run_of_stream(&self, stream: wire::StreamId, outbox: &link::Outbox) -> Option<Rc<Run>> {
        let is_reader = |run: &&Rc<Run>| {
            run.subscriber.borrow().as_ref().is_some_and(|reader| reader.is_stream(stream, outbox))
        };
        self.runs.borrow().values().find(is_reader).cloned()
    }

    /// Detaches the runs read over a lost link; they continue for the linger time.
    pub(super) fn link_lost(&self, outbox: &link::Outbox) {
        let now_ms = self.now_ms();
        for run in self.runs.borrow().values() {
            let mut subscriber = run.subscriber.borrow_mut();
            if subscriber.as_ref().is_some_and(|reader| reader.outbox.is_same(outbox)) {
                *subscriber = None;
                run.detached_since_ms.set(Some(now_ms));
            }
        }
    }
}
