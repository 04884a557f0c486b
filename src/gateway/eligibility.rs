//! Decides which endpoints may receive another request from this entry now, independent of their cost.

use std::cell::Ref;
use std::sync::MutexGuard;

use super::policy::{backoff, limits, warmup};
use super::{Gateway, departures, directory, job, shared};

/// All restrictions on sends to endpoints, as of one point in time.
pub(super) struct Eligibility<'a> {
    snapshot: &'a shared::Snapshot,
    cold_sends: Ref<'a, warmup::Sends>,
    limits: MutexGuard<'a, limits::Limits>,
    departures: MutexGuard<'a, departures::Departures>,
    backoff: Ref<'a, backoff::Backoff>,
    now_ms: u64,
}

impl Eligibility<'_> {
    pub(super) fn allows(&self, endpoint: &directory::Endpoint) -> bool {
        let key = endpoint.key;
        self.cold_sends.has_room(key, &self.snapshot.warming, self.now_ms)
            && self.limits.has_room(key, self.now_ms)
            && !self.departures.contains(endpoint)
            && self.backoff.left_ms(endpoint, self.now_ms) == 0
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
            backoff: self.backoff.borrow(),
            now_ms,
        }
    }

    /// Remaining time until the first endpoint of the request's service is out of backoff; zero if one is
    /// not in backoff or none accepts requests.
    pub(super) fn min_backoff_ms(&self, job: &job::Job) -> u64 {
        let now_ms = self.now_ms();
        let snapshot = self.shared.snapshot.load();
        let backoff = self.backoff.borrow();
        let endpoints = snapshot.accepting(&job.service().name, job.evacuation_key(), now_ms);
        endpoints.map(|endpoint| backoff.left_ms(endpoint, now_ms)).min().unwrap_or(0)
    }
}
