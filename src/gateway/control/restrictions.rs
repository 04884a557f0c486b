//! What forbids or bounds sends to endpoints, as the control thread keeps it: evacuated zones, cold endpoints,
//! and what endpoints say of themselves.

use crate::gateway::control::Control;
use crate::gateway::policy::{limits, warmup};
use crate::gateway::{departures, directory, evacuation, request_log, route};

impl<P> Control<P> {
    /// Runs a change on the evacuated zones and publishes the outcome if it brought anything new.
    pub(in crate::gateway) fn change_evacuations(
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
        // The other entries send there until they know.
        self.shared.urgent_update.notify_one();
    }

    fn log_evacuations(&self, before: &evacuation::Evacuations, source: &'static str) {
        let now = self.evacuations.borrow();
        for zone in now.zones().filter(|zone| !before.contains(zone)) {
            slog::info!(self.log, "zone evacuated"; "zone" => zone.as_str(),
                "revision" => now.revision(), "source" => source);
        }
        for zone in before.zones().filter(|zone| !now.contains(zone)) {
            self.taken_back.borrow_mut().insert(zone.clone(), self.now_ms());
            slog::info!(self.log, "zone taken back"; "zone" => zone.as_str(),
                "revision" => now.revision(), "source" => source);
        }
    }

    /// Publishes anew if other endpoints are cold now, or others are this entry's to keep.
    pub(in crate::gateway) fn update_warming(&self) {
        let now_ms = self.now_ms();
        self.taken_back.borrow_mut().retain(|_, at_ms| now_ms < *at_ms + warmup::TAKEN_BACK_MS);
        let known = self.shared.snapshot.load();
        let warming = self.warming(known.table.as_deref(), &self.directory.borrow(), now_ms);
        if warming != known.warming {
            self.publish();
        }
    }

    /// Takes what a peer tells of the limits that endpoints have named.
    pub(in crate::gateway) fn take_limits(&self, told: &[limits::Told], now_ms: u64) {
        let directory = self.directory.borrow();
        let mut limits = self.shared.limits();
        for one in told {
            let change = limits.adopt(*one, now_ms);
            if let (Some(change), Some(endpoint)) = (change, directory.find(one.endpoint)) {
                request_log::log_endpoint_limit(&self.log, &endpoint.id, change, "peer");
            }
        }
    }

    /// Takes what a peer tells of endpoints that have said that they leave.
    pub(in crate::gateway) fn take_departures(&self, told: &[departures::Departure], now_ms: u64) {
        let directory = self.directory.borrow();
        let mut departures = self.shared.departures();
        for departure in told {
            let is_new = departures.record(*departure, now_ms);
            if let Some(endpoint) = directory.find(departure.endpoint).filter(|_| is_new) {
                request_log::log_endpoint_leaving(&self.log, endpoint, "peer");
            }
        }
    }

    /// Deals this entry's shares of the limits that endpoints have named.
    pub(in crate::gateway) fn share_limits(&self) {
        let exchange = self.exchange.borrow();
        let directory = self.directory.borrow();
        self.shared.limits().set_shares(self.now_ms(), |key, rate| {
            let endpoint = directory.find(key);
            let standing = endpoint.and_then(|one| exchange.standing(key, &one.zone));
            limits::share(rate, standing)
        });
    }

    /// The endpoints that are cold or may be, with what this entry may send to each.
    pub(super) fn warming(
        &self,
        table: Option<&route::Table>,
        directory: &directory::Directory,
        now_ms: u64,
    ) -> warmup::Warming {
        let mut warming = warmup::Warming::default();
        let (Some(table), Some(rate)) = (table, self.shared.settings.cold_rate) else {
            return warming;
        };
        let taken_back = self.taken_back.borrow();
        // This runs at each tick, and mostly no endpoint is cold.
        if taken_back.is_empty() && !directory.has_cold(now_ms) {
            return warming;
        }
        let exchange = self.exchange.borrow();
        for service in table.services() {
            let Some(warm_up) = service.warm_up else { continue };
            let most_per_s = warmup::most_per_s(warm_up.requests_per_s, rate.factor, rate.extra);
            for endpoint in directory.accepting(&service.name) {
                let back_ms =
                    taken_back.get(&endpoint.zone).map(|at_ms| at_ms + warmup::TAKEN_BACK_MS);
                let Some(until_ms) = directory.cold_until_ms(endpoint.key, now_ms).max(back_ms)
                else {
                    continue;
                };
                let keeps = exchange.keeps(endpoint.key, &endpoint.zone);
                let allowed =
                    warmup::Allowed { until_ms, most_per_s: if keeps { most_per_s } else { 0 } };
                warming.endpoints.insert(endpoint.key, allowed);
            }
        }
        warming
    }
}
