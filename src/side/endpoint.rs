//! One endpoint: its queue, how many requests run there, how fast it works, what it served lately.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;

use crate::{config, latency, lease, orders, queue, settings, spread};

/// Prompt heads remembered as served lately.
const PREFIXES: usize = 1024;

/// Prompt heads that an endpoint served lately and may still have cached.
#[derive(Debug, Default)]
pub struct Prefixes {
    seen: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl Prefixes {
    pub fn note(&mut self, prefix: u64) {
        *self.seen.entry(prefix).or_default() += 1;
        self.order.push_back(prefix);
        if self.order.len() > PREFIXES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(count) = self.seen.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.seen.remove(&oldest);
                }
            }
        }
    }

    #[must_use]
    pub fn knows(&self, prefix: u64) -> bool {
        self.seen.contains_key(&prefix)
    }
}

/// An endpoint and what waits and runs there.
#[derive(Debug)]
pub struct Endpoint {
    pub id: CompactString,
    pub service: CompactString,
    pub url: String,
    pub queue: RefCell<queue::Queue>,
    /// Configuration by which the queue was made.
    version: Cell<u64>,
    slots: Cell<usize>,
    pub running: Cell<usize>,
    pub latency: RefCell<latency::LatencyEstimator>,
    pub prefixes: RefCell<Prefixes>,
    fence: RefCell<orders::Fence>,
    /// Until when it takes no new work, by order; an order that is not repeated runs out, so that
    /// a holder that dies between drain and stop does not leave the endpoint idle for ever.
    drains_until_ms: Cell<u64>,
}

/// How long an order to drain lasts.
const DRAIN_MS: u64 = 30_000;

impl Endpoint {
    #[must_use]
    pub fn new(settings: &settings::SideEndpoint) -> Self {
        Self {
            id: settings.id.clone(),
            service: settings.service.clone(),
            url: settings.url.trim_end_matches('/').to_owned(),
            queue: RefCell::new(queue::Queue::new(0, Vec::new(), 0)),
            version: Cell::new(0),
            slots: Cell::new(1),
            running: Cell::new(0),
            latency: RefCell::default(),
            prefixes: RefCell::default(),
            fence: RefCell::default(),
            drains_until_ms: Cell::new(0),
        }
    }

    /// Takes an order to drain, unless a later holder has ordered here.
    pub fn drain(&self, epoch: lease::Epoch, now_ms: u64) {
        if self.fence.borrow_mut().admit(epoch) {
            self.drains_until_ms.set(now_ms + DRAIN_MS);
        }
    }

    #[must_use]
    pub fn is_draining(&self, now_ms: u64) -> bool {
        now_ms < self.drains_until_ms.get()
    }

    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots.get()
    }

    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Makes the queue anew when the configuration has changed. Gives the jobs that have to be
    /// placed again, with the model that is now in force.
    pub fn follow(
        &self,
        snapshot: &spread::Snapshot,
    ) -> Option<(Vec<queue::Job>, Arc<config::Config>)> {
        let in_force = snapshot.config.as_ref()?;
        if in_force.version == self.version.get() {
            return None;
        }
        self.version.set(in_force.version);
        let service = in_force.model.service(&self.service);
        let text = service.map(|key| &in_force.model.service_at(key).spec);
        self.slots.set(text.map_or(1, |text| text.slots as usize));
        let places = text.map_or(0, |text| text.max_queue as usize);
        let rules = queue::ClassRule::of(&in_force.model);
        let mut old = self.queue.replace(queue::Queue::new(in_force.version, rules, places));
        Some((old.drain(), Arc::clone(&in_force.model)))
    }

    /// Expected time to the first token for a request of this class and account that comes now.
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
