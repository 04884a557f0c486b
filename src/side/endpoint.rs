//! An endpoint of this side: its queue, running requests, latency estimates and recent prompt prefixes.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;

use crate::{config, gossip, latency, lease, orders, queue, settings};

/// Number of recent requests whose prompt prefix is remembered.
const MAX_RECENT_PREFIXES: usize = 1024;

/// Prompt prefixes that an endpoint has served recently and may still have in its prefix cache.
#[derive(Debug, Default)]
pub struct RecentPrefixes {
    /// Number of occurrences in `order`, by prefix.
    counts: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl RecentPrefixes {
    pub fn record(&mut self, prefix: u64) {
        *self.counts.entry(prefix).or_default() += 1;
        self.order.push_back(prefix);
        if self.order.len() > MAX_RECENT_PREFIXES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(count) = self.counts.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&oldest);
                }
            }
        }
    }

    #[must_use]
    pub fn contains(&self, prefix: u64) -> bool {
        self.counts.contains_key(&prefix)
    }
}

/// An endpoint with its queued and running requests.
#[derive(Debug)]
pub struct Endpoint {
    pub id: CompactString,
    pub service: CompactString,
    pub url: String,
    pub queue: RefCell<queue::Queue>,
    /// Version of the configuration that the queue was created from.
    config_version: Cell<u64>,
    slots: Cell<usize>,
    pub running: Cell<usize>,
    pub latency: RefCell<latency::LatencyEstimator>,
    pub prefixes: RefCell<RecentPrefixes>,
    fence: RefCell<orders::Fence>,
    /// End of an ordered drain, until when the endpoint accepts no new requests. A drain order expires
    /// unless it is repeated, so that a duty holder that dies between drain and stop does not leave
    /// the endpoint idle forever.
    draining_until_ms: Cell<u64>,
}

/// Time after which a drain order expires.
const DRAIN_ORDER_MS: u64 = 30_000;

impl Endpoint {
    #[must_use]
    pub fn new(settings: &settings::SideEndpoint) -> Self {
        Self {
            id: settings.id.clone(),
            service: settings.service.clone(),
            url: settings.url.trim_end_matches('/').to_owned(),
            queue: RefCell::new(queue::Queue::new(0, Vec::new(), 0)),
            config_version: Cell::new(0),
            slots: Cell::new(1),
            running: Cell::new(0),
            latency: RefCell::default(),
            prefixes: RefCell::default(),
            fence: RefCell::default(),
            draining_until_ms: Cell::new(0),
        }
    }

    /// Applies a drain order, unless an order with a later epoch has been received.
    pub fn drain(&self, epoch: lease::Epoch, now_ms: u64) {
        if self.fence.borrow_mut().admit(epoch) {
            self.draining_until_ms.set(now_ms + DRAIN_ORDER_MS);
        }
    }

    #[must_use]
    pub fn is_draining(&self, now_ms: u64) -> bool {
        now_ms < self.draining_until_ms.get()
    }

    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots.get()
    }

    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config_version.get()
    }

    /// Replaces the queue when the configuration has changed. Returns the jobs that have to be queued
    /// again and the configuration that is now active.
    pub fn apply_config(
        &self,
        snapshot: &gossip::Snapshot,
    ) -> Option<(Vec<queue::Job>, Arc<config::Config>)> {
        let active_config = snapshot.config.as_ref()?;
        if active_config.version == self.config_version.get() {
            return None;
        }
        self.config_version.set(active_config.version);
        let service = active_config.model.service(&self.service);
        let text = service.map(|key| &active_config.model.service_at(key).spec);
        self.slots.set(text.map_or(1, |text| text.slots as usize));
        let max_queue = text.map_or(0, |text| text.max_queue as usize);
        let rules = queue::ClassRule::of(&active_config.model);
        let mut old =
            self.queue.replace(queue::Queue::new(active_config.version, rules, max_queue));
        Some((old.drain(), Arc::clone(&active_config.model)))
    }

    /// Returns the expected time to first token of a request of this class and account that arrives now.
    #[must_use]
    pub fn first_token_ms(
        &self,
        class: config::ClassKey,
        account: &str,
        share: u32,
        now_ms: u64,
    ) -> u32 {
        let ahead = self.queue.borrow().jobs_ahead(class, account, share);
        let latency = self.latency.borrow();
        latency
            .wait_ms(ahead, self.running.get(), self.slots())
            .saturating_add(latency.start_ms(now_ms))
    }
}
