//! What entries say of the streams they read: hung up, withdrawn, more credit, link lost.

use std::rc::Rc;

use super::Side;
use super::run::{Phase, Run};
use crate::{error, link, wire};

impl Side {
    /// The caller has hung up.
    pub(super) fn cancel(self: &Rc<Self>, stream: wire::StreamId, outbox: &link::Outbox) {
        let Some(run) = self.run_read_by(stream, outbox) else {
            return;
        };
        *run.subscriber.borrow_mut() = None;
        if run.submit.idempotency.is_some() {
            // With an idempotency key the caller may be on its way back through another entry.
            run.alone_since_ms.set(Some(self.now_ms()));
            return;
        }
        self.stop(&run, error::Kind::Superseded);
        if matches!(*run.phase.borrow(), Phase::Ended) {
            self.forget(&run);
        }
    }

    /// The entry knows that the key has been withdrawn, perhaps before this side does.
    pub(super) fn revoke(self: &Rc<Self>, stream: wire::StreamId, outbox: &link::Outbox) {
        let Some(run) = self.run_read_by(stream, outbox) else {
            return;
        };
        self.revoked.borrow_mut().insert(run.submit.key.clone());
        self.stop_withdrawn();
    }

    /// Stops all runs whose key is withdrawn; those that wait first, else one of them would take
    /// the slot that a running one leaves, and run.
    pub(super) fn stop_withdrawn(self: &Rc<Self>) {
        let mut runs: Vec<Rc<Run>> = self.runs.borrow().values().cloned().collect();
        runs.retain(|run| self.is_withdrawn(&run.submit.key));
        runs.sort_by_key(|run| !matches!(*run.phase.borrow(), Phase::Queued(_)));
        for run in runs {
            self.stop(&run, error::Kind::KeyWithdrawn);
        }
    }

    /// The reader has taken bytes off its stream.
    pub(super) fn credit(&self, credit: wire::Credit, outbox: &link::Outbox) {
        let Some(run) = self.run_read_by(credit.stream, outbox) else {
            return;
        };
        if let Some(subscriber) = run.subscriber.borrow_mut().as_mut() {
            subscriber.reader.credit_bytes += u64::from(credit.bytes);
        }
        run.flush();
        run.wake.notify_waiters();
        if run.is_delivered() && run.submit.idempotency.is_none() {
            self.forget(&run);
        }
    }

    fn run_read_by(&self, stream: wire::StreamId, outbox: &link::Outbox) -> Option<Rc<Run>> {
        let reads = |run: &&Rc<Run>| {
            run.subscriber.borrow().as_ref().is_some_and(|reader| reader.is(stream, outbox))
        };
        self.runs.borrow().values().find(reads).cloned()
    }

    /// A link is gone: its runs go on alone for a while.
    pub(super) fn link_lost(&self, outbox: &link::Outbox) {
        let now_ms = self.now_ms();
        for run in self.runs.borrow().values() {
            let mut subscriber = run.subscriber.borrow_mut();
            if subscriber.as_ref().is_some_and(|reader| reader.outbox.is_same(outbox)) {
                *subscriber = None;
                run.alone_since_ms.set(Some(now_ms));
            }
        }
    }
}
