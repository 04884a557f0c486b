//! Which endpoints may get one more request from this entry now, whatever they would cost.

use std::cell::Ref;
use std::sync::MutexGuard;

use super::policy::{limits, warmup};
use super::{Gateway, departures, directory, shared};

/// What forbids sends to endpoints, as of one moment.
pub(super) struct Eligibility<'a> {
    snapshot: &'a shared::Snapshot,
    cold_sends: Ref<'a, warmup::Sends>,
    limits: MutexGuard<'a, limits::Limits>,
    departures: MutexGuard<'a, departures::Departures>,
    now_ms: u64,
}

impl Eligibility<'_> {
    pub(super) fn takes(&self, endpoint: &directory::Endpoint) -> bool {
        let key = endpoint.key;
        self.cold_sends.has_room(key, &self.snapshot.warming, self.now_ms)
            && self.limits.has_room(key, self.now_ms)
            && !self.departures.has(endpoint)
    }
}

impl Gateway {
    pub(super) fn eligibility<'a>(
        &'a self,
        snapshot: &'a shared::Snapshot,
        now_ms: u64,
    ) -> Eligibility<'a> {
        Eligibility {
            snapshot,
            cold_sends: self.cold_sends.borrow(),
            limits: self.shared.limits(),
            departures: self.shared.departures(),
            now_ms,
        }
    }
}
