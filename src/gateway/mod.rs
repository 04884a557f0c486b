//! Entries that forward requests directly to endpoints, without a side process.
//!
//! They serve platforms on which each endpoint queues and batches its own requests. The entry selects
//! the route, the client account and the endpoint, sends the request over HTTP/1.1 and streams the
//! response back. A control thread watches the platform's store, exchanges state with the other
//! entries and competes for the duties' leases. Platform-specific protocols are adapters that
//! implement [`request::EndpointProtocol`] and [`control::Platform`].

pub mod admit;
pub mod attempt;
pub mod buffer_allowance;
mod call_admission;
pub mod caller_buffers;
mod continuation;
pub mod control;
mod crash_check;
pub mod departures;
pub mod directory;
pub mod duties;
mod eligibility;
pub mod evacuation;
pub mod event_stream;
mod event_timing;
pub mod fingerprint;
pub mod fleet;
pub mod framing;
pub mod graceful_stop;
pub mod http1;
pub mod job;
pub mod metrics;
mod overlap;
pub mod policy;
pub mod pool;
pub mod relay;
pub mod reload;
pub mod request;
mod request_log;
mod restarts;
pub mod route;
pub mod sent_request;
pub mod served_versions;
pub mod settings;
pub mod shared;
mod silence_check;
pub mod silences;
pub mod stream_versions;
pub mod watch;
mod whole_response;
mod work_times;

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::{task, time};

use self::policy::{backoff, budget, event_gaps, health, warmup};
use crate::clock;
pub use crate::event_splitter;

/// Interval at which idle connections and outdated state are removed.
const SWEEP_MS: u64 = 500;

/// State of one traffic thread of an entry.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<shared::Shared>,
    protocol: Box<dyn request::EndpointProtocol>,
    pool: RefCell<pool::Pool>,
    health: RefCell<health::Health>,
    event_gaps: RefCell<event_gaps::EventGaps>,
    caller_buffers: caller_buffers::CallerBuffers,
    budgets: RefCell<budget::RetryBudgets>,
    cold_sends: RefCell<warmup::ColdSends>,
    backoff: RefCell<backoff::Backoff>,
    call_queues: RefCell<call_admission::Queues>,
    /// Endpoints that may have ended, with what was lost with them.
    crash_checks: RefCell<HashMap<directory::EndpointKey, crash_check::Losses>>,
    /// When a connection to each endpoint was last lost or refused.
    lost_connections_ms: RefCell<HashMap<directory::EndpointKey, u64>>,
    /// Endpoints that are being asked whether they are alive, and since when.
    silence_checks: RefCell<HashMap<directory::EndpointKey, u64>>,
    /// Requests that were sent and have not ended.
    open_sends: RefCell<slab::Slab<attempt::OpenSend>>,
    /// Requests that endpoints may still be at work on although this entry no longer waits for them.
    abandoned: RefCell<HashMap<directory::EndpointKey, VecDeque<crash_check::Abandoned>>>,
    restarts: RefCell<restarts::Restarts>,
    log: slog::Logger,
}

impl Gateway {
    /// Creates the gateway of the current traffic thread and starts its periodic sweep.
    #[must_use]
    pub fn start(
        shared: Arc<shared::Shared>,
        protocol: Box<dyn request::EndpointProtocol>,
        log: slog::Logger,
    ) -> Rc<Self> {
        let gateway = Rc::new(Self {
            budgets: RefCell::new(budget::RetryBudgets::new(
                shared.settings.retries.budget_config(),
            )),
            shared,
            protocol,
            pool: RefCell::default(),
            health: RefCell::default(),
            event_gaps: RefCell::default(),
            caller_buffers: caller_buffers::CallerBuffers::default(),
            cold_sends: RefCell::default(),
            backoff: RefCell::default(),
            call_queues: RefCell::default(),
            crash_checks: RefCell::default(),
            lost_connections_ms: RefCell::default(),
            silence_checks: RefCell::default(),
            open_sends: RefCell::default(),
            abandoned: RefCell::default(),
            restarts: RefCell::default(),
            log,
        });
        task::spawn_local(sweep(Rc::clone(&gateway)));
        task::spawn_local(silence_check::run(Rc::clone(&gateway)));
        if gateway.shared.settings.overload_control {
            task::spawn_local(caller_buffers::watch(Rc::clone(&gateway)));
        }
        gateway
    }

    /// State that the threads of this entry share.
    #[must_use]
    pub fn shared(&self) -> &Arc<shared::Shared> {
        &self.shared
    }

    fn now_ms(&self) -> u64 {
        clock::boot_ms()
    }
}

async fn sweep(gateway: Rc<Gateway>) {
    let mut listed = Arc::clone(&gateway.shared.snapshot.load().directory);
    loop {
        time::sleep(Duration::from_millis(SWEEP_MS)).await;
        let now_ms = gateway.now_ms();
        gateway.pool.borrow_mut().sweep(now_ms);
        gateway.shared.load_table().sweep(now_ms);
        gateway.budgets.borrow_mut().set(gateway.shared.retries().budget_config());
        let snapshot = gateway.shared.snapshot.load();
        let before = std::mem::replace(&mut listed, Arc::clone(&snapshot.directory));
        if !Arc::ptr_eq(&before, &listed) {
            gateway.log_requests_at_removed_endpoints(&before, &listed);
            gateway.record_restarts(&before, &listed);
        }
        let is_known = |endpoint| snapshot.directory.find(endpoint).is_some();
        gateway.health.borrow_mut().retain(is_known);
        gateway.event_gaps.borrow_mut().retain(is_known);
        gateway.lost_connections_ms.borrow_mut().retain(|endpoint, _| is_known(*endpoint));
        gateway.shared.work_durations().retain(is_known);
        gateway.cold_sends.borrow_mut().sweep(now_ms);
        gateway.backoff.borrow_mut().sweep(now_ms);
        gateway.sweep_abandoned(now_ms);
        gateway.restarts.borrow_mut().sweep(now_ms);
        gateway.shared.limits().sweep(now_ms, is_known);
        gateway.shared.departures().sweep(now_ms);
        gateway.shared.silences().sweep(now_ms);
        gateway.shared.stream_versions().sweep(now_ms);
        let changes = gateway.shared.quarantine().sweep(now_ms);
        request_log::log_quarantine(&gateway.log, &changes, "own");
    }
}
