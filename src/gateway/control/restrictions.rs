//! The control thread's restrictions on sends to endpoints: evacuated zones, cold endpoints, and the limits
//! and departures that endpoints announce.

use crate::gateway::control::Control;
use crate::gateway::fleet::exchange;
use crate::gateway::policy::{limits, quarantine, warmup};
use crate::gateway::{departures, directory, evacuation, request_log, route, silences};

/// What this entry's shares of endpoints' limits are based on, and whether it has any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct ShareBasis {
    view: exchange::FleetView,
    has_limited: bool,
    has_without_share: bool,
}

impl<P> Control<P> {
    /// Applies a change to the evacuated zones, and publishes the result if it differs.
    pub(in crate::gateway) fn update_evacuations(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut evacuation::Evacuations) -> bool,
    ) {
        let before = self.evacuations.borrow().clone();
        if !change(&mut self.evacuations.borrow_mut()) {
            return;
        }
        self.log_evacuations(&before, source);
        self.publish();
        // The other entries send to an evacuated zone until they are informed.
        self.shared.urgent_update.notify_one();
    }

    fn log_evacuations(&self, before: &evacuation::Evacuations, source: &'static str) {
        let now = self.evacuations.borrow();
        for zone in now.zones().filter(|zone| !before.contains(zone)) {
            slog::info!(self.log, "zone evacuated"; "zone" => zone.as_str(),
                "revision" => now.revision(), "source" => source);
        }
        for zone in before.zones().filter(|zone| !now.contains(zone)) {
            self.restored_at_ms.borrow_mut().insert(zone.clone(), self.now_ms());
            slog::info!(self.log, "zone taken back"; "zone" => zone.as_str(),
                "revision" => now.revision(), "source" => source);
        }
    }

    /// Publishes a new snapshot if the cold endpoints or this entry's assignment of them have changed.
    pub(in crate::gateway) fn update_cold_endpoints(&self) {
        let now_ms = self.now_ms();
        self.restored_at_ms.borrow_mut().retain(|_, at_ms| now_ms < *at_ms + warmup::RESTORED_MS);
        let known = self.shared.snapshot.load();
        let cold_endpoints =
            self.cold_endpoints(known.table.as_deref(), &self.directory.borrow(), now_ms);
        if cold_endpoints != known.cold_endpoints {
            self.publish();
        }
    }

    /// Applies endpoint limits received from a peer.
    pub(in crate::gateway) fn apply_peer_limits(
        &self,
        received: &[limits::LimitUpdate],
        now_ms: u64,
    ) {
        let directory = self.directory.borrow();
        let mut limits = self.shared.limits();
        for one in received {
            let change = limits.apply_update(*one, now_ms);
            if let (Some(change), Some(endpoint)) = (change, directory.find(one.endpoint)) {
                request_log::log_endpoint_limit(&self.log, &endpoint.id, change, "peer");
            }
        }
    }

    /// Applies departures of endpoints received from a peer.
    pub(in crate::gateway) fn apply_peer_departures(
        &self,
        received: &[departures::Departure],
        now_ms: u64,
    ) {
        let directory = self.directory.borrow();
        let mut departures = self.shared.departures();
        for departure in received {
            let is_new = departures.record(*departure, now_ms);
            if let Some(endpoint) = directory.find(departure.endpoint).filter(|_| is_new) {
                request_log::log_endpoint_leaving(&self.log, endpoint, "peer");
            }
        }
    }

    /// Applies silences of endpoints received from a peer.
    pub(in crate::gateway) fn apply_peer_silences(
        &self,
        received: &[silences::Silence],
        now_ms: u64,
    ) {
        let directory = self.directory.borrow();
        let mut silences = self.shared.silences();
        for silence in received {
            let is_new = silences.record(*silence, now_ms);
            if let Some(endpoint) = directory.find(silence.endpoint).filter(|_| is_new) {
                slog::info!(self.log, "endpoint silent elsewhere";
                    "endpoint" => endpoint.id.as_str(), "age_ms" => silence.age_ms);
            }
        }
    }

    /// Applies suspected requests and prompt parts received from a peer.
    pub(in crate::gateway) fn apply_suspicions(
        &self,
        received: &[quarantine::Suspicion],
        now_ms: u64,
    ) {
        let changes = self.shared.quarantine().merge(received, now_ms);
        request_log::log_quarantine(&self.log, &changes, "peer");
    }

    /// Determines what is in quarantine of which this entry, and no other, sends a request as a trial.
    pub(in crate::gateway) fn update_quarantine_trials(&self) {
        let now_ms = self.now_ms();
        let peers = &self.exchange.borrow().peers;
        let mut quarantine = self.shared.quarantine();
        let is_own = |key: &quarantine::Key| {
            peers.is_settled(now_ms) && peers.is_first_for(key.seed(), now_ms)
        };
        let keys: Vec<quarantine::Key> = quarantine.keys().filter(is_own).collect();
        quarantine.set_trial_keys(&keys);
    }

    /// Recomputes this entry's shares of the limits that endpoints have announced.
    pub(in crate::gateway) fn update_limit_shares(&self) {
        let exchange = self.exchange.borrow();
        let directory = self.directory.borrow();
        let now_ms = self.now_ms();
        let mut limits = self.shared.limits();
        limits.set_shares(now_ms, |key| exchange.position(key, &directory.find(key)?.zone));
        let counts = limits.counts();
        drop(limits);
        let basis = ShareBasis {
            view: exchange.fleet_view(now_ms),
            has_limited: counts.limited > 0,
            has_without_share: counts.without_share > 0,
        };
        if self.share_basis.replace(Some(basis)) != Some(basis) {
            slog::info!(self.log, "endpoint limits shared"; "fleet" => basis.view.to_string(),
                "peers" => exchange.peers.live_count(now_ms), "limited" => counts.limited,
                "without_share" => counts.without_share);
        }
    }

    /// Returns the endpoints that are cold or may be, with the rate that this entry may send to each.
    pub(super) fn cold_endpoints(
        &self,
        table: Option<&route::Table>,
        directory: &directory::Directory,
        now_ms: u64,
    ) -> warmup::ColdEndpoints {
        let mut cold_endpoints = warmup::ColdEndpoints::default();
        let (Some(table), Some(rate)) = (table, self.shared.settings.cold_rate) else {
            return cold_endpoints;
        };
        let restored_at_ms = self.restored_at_ms.borrow();
        // Fast path: this runs on each tick, and usually no endpoint is cold.
        if restored_at_ms.is_empty() && !directory.has_cold(now_ms) {
            return cold_endpoints;
        }
        let exchange = self.exchange.borrow();
        for service in table.services() {
            let Some(warm_up) = service.warm_up else { continue };
            let max_per_s =
                warmup::max_per_s_per_sender(warm_up.requests_per_s, rate.factor, rate.extra);
            for endpoint in directory.accepting(&service.name) {
                let restored_until_ms =
                    restored_at_ms.get(&endpoint.zone).map(|at_ms| at_ms + warmup::RESTORED_MS);
                let Some(until_ms) =
                    directory.cold_until_ms(endpoint.key, now_ms).max(restored_until_ms)
                else {
                    continue;
                };
                let is_designated = exchange.is_designated_sender(endpoint.key, &endpoint.zone);
                let limit = warmup::ColdLimit {
                    until_ms,
                    max_per_s: if is_designated { max_per_s } else { 0 },
                };
                cold_endpoints.endpoints.insert(endpoint.key, limit);
            }
        }
        cold_endpoints
    }
}
