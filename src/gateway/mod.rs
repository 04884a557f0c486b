//! Entries that forward requests straight to endpoints, without a side process.
//!
//! For platforms on which each endpoint queues and batches by itself: the entry finds the route, the
//! client account and the endpoint, sends the request over HTTP/1.1 and streams the answer back. A
//! control thread follows the platform's store, exchanges state with the other entries and
//! contends for the duties. What speaks a platform's own form is an adapter behind the ports
//! [`request::EndpointForm`] and [`control::Platform`].

pub mod attempt;
pub mod control;
pub mod departures;
pub mod directory;
pub mod drain;
pub mod duties;
mod eligibility;
pub mod evacuation;
pub mod events;
pub mod events_body;
pub mod fleet;
pub mod http1;
pub mod job;
mod lines;
pub mod measures;
pub mod policy;
pub mod pool;
pub mod relay;
pub mod reload;
pub mod request;
pub mod route;
pub mod settings;
pub mod shared;
pub mod watch;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::{task, time};

use self::policy::{backoff, budget, health, pauses, warmup};
use crate::clock;

/// How often idle connections and old knowledge are looked over.
const SWEEP_MS: u64 = 500;

/// One traffic thread of an entry.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<shared::Shared>,
    form: Box<dyn request::EndpointForm>,
    pool: RefCell<pool::Pool>,
    health: RefCell<health::Health>,
    pauses: RefCell<pauses::Pauses>,
    budgets: RefCell<budget::Budgets>,
    cold_sends: RefCell<warmup::Sends>,
    backoff: RefCell<backoff::Backoff>,
    log: slog::Logger,
}

impl Gateway {
    /// Starts a traffic thread's part on the current thread.
    #[must_use]
    pub fn open(
        shared: Arc<shared::Shared>,
        form: Box<dyn request::EndpointForm>,
        log: slog::Logger,
    ) -> Rc<Self> {
        let gateway = Rc::new(Self {
            budgets: RefCell::new(budget::Budgets::new(shared.settings.retries.allowed())),
            shared,
            form,
            pool: RefCell::default(),
            health: RefCell::default(),
            pauses: RefCell::default(),
            cold_sends: RefCell::default(),
            backoff: RefCell::default(),
            log,
        });
        task::spawn_local(sweep(Rc::clone(&gateway)));
        gateway
    }

    /// What this entry's threads share.
    #[must_use]
    pub fn shared(&self) -> &Arc<shared::Shared> {
        &self.shared
    }

    fn now_ms(&self) -> u64 {
        clock::boot_ms()
    }
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        time::sleep(Duration::from_millis(SWEEP_MS)).await;
        let now_ms = gateway.now_ms();
        gateway.pool.borrow_mut().sweep(now_ms);
        gateway.shared.load_table().sweep(now_ms);
        gateway.budgets.borrow_mut().set(gateway.shared.retries().allowed());
        let snapshot = gateway.shared.snapshot.load();
        let is_known = |endpoint| snapshot.directory.find(endpoint).is_some();
        gateway.health.borrow_mut().retain(is_known);
        gateway.pauses.borrow_mut().retain(is_known);
        gateway.cold_sends.borrow_mut().sweep(now_ms);
        gateway.backoff.borrow_mut().sweep(now_ms);
        gateway.shared.limits().sweep(now_ms, is_known);
        gateway.shared.departures().sweep(now_ms);
    }
}
