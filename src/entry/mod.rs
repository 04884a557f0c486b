//! The entry: the process that callers connect to. It checks the API key, resolves class and account,
//! selects an endpoint, submits the request to that endpoint's side and streams the answer back.
//!
//! Each traffic thread has its own links, asks and budgets. The threads share only `Common`; the
//! control thread publishes snapshots to them through the hub.

mod asks;
mod intake;
mod links;
mod reader;
mod relay;
mod respond;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive};
use ntex::server::ServerBuilder;
use ntex::time::Seconds;
use ntex::web::{self, App};
use tokio::{task, time};

use crate::body_allowance::BodyAllowance;
use crate::caller_connections::{self, BoundedConnections};
use crate::{
    admin, admission, clock, control, drain, durations, error, explain, gossip, hub, logging,
    membership, metric, placement, retry, seal, settings, sockets, trace,
};

/// How long an idle caller connection is kept open.
const KEEP_ALIVE_S: u16 = 75;
/// Interval at which withdrawn keys and unanswered asks are checked.
const SWEEP_MS: u64 = 100;

/// Number of times that a request's body is held: as the caller sent it, and as a message to a side.
const BODY_COPIES: usize = 3;

/// State shared by all traffic threads of an entry.
#[derive(Debug)]
struct Common {
    settings: settings::Entry,
    hub: Arc<hub::Hub>,
    log: slog::Logger,
    secret: seal::Secret,
    spans: trace::Sink,
    history: Arc<explain::RequestHistory>,
    /// Requests in flight and the progress of a stop.
    stop: drain::Progress,
    durations: durations::ByService,
    /// Bounds the memory of callers' request bodies.
    body_allowance: Arc<BodyAllowance>,
}

/// State of one traffic thread.
#[derive(Debug)]
struct Worker {
    common: Arc<Common>,
    links: links::Links,
    asks: asks::Asks,
    backoffs: RefCell<placement::Backoffs>,
    retry_budget: RefCell<retry::Budget>,
    /// Token budgets of the accounts that have a token rate limit.
    token_budgets: RefCell<admission::Budgets>,
    /// Number of requests in progress, by account.
    active_by_account: RefCell<HashMap<CompactString, u32>>,
    /// Revision of the key table at the last sweep.
    keys_revision: Cell<u64>,
    /// Wakes all streams when the key table has changed, so that they check for withdrawn keys.
    keys_changed: tokio::sync::Notify,
}

/// Runs an entry until it receives a stop signal and has drained.
///
/// # Errors
/// Returns an error when an address cannot be bound.
pub async fn run(mut settings: settings::Entry, log: slog::Logger) -> anyhow::Result<()> {
    let stop = logging::stop_signal();
    let hub = Arc::new(hub::Hub::default());
    let metrics = metric::install()?;
    let history = Arc::new(explain::RequestHistory::default());
    let identity = control::Identity {
        role: membership::Role::Entry,
        work_addr: None,
        endpoints: Vec::new(),
        boot: rand::random(),
    };
    let listener = std::net::TcpListener::bind(settings.listen_addr)?;
    settings.listen_addr = listener.local_addr()?;
    let sockets = sockets::DaemonSockets::bind(&mut settings.daemon)?;
    let daemon = settings.daemon.clone();
    admin::spawn(&daemon, Arc::clone(&hub), Some(Arc::clone(&history)), metrics, sockets.admin)?;
    control::spawn(daemon, identity, Arc::clone(&hub), log.clone(), sockets.peer)?;
    sockets::announce(&settings.daemon, settings.listen_addr);
    let common = Arc::new(Common {
        secret: seal::Secret::fleet(&settings.daemon.fleet_secret),
        spans: logging::span_sink(&settings.daemon),
        body_allowance: BodyAllowance::new(settings.caller_limits(), BODY_COPIES),
        settings,
        hub,
        log,
        history,
        stop: drain::Progress::default(),
        durations: durations::ByService::default(),
    });
    let server = serve(&common, listener)?;
    stop.await;
    drain_requests(&common).await;
    server.stop(true).await;
    Ok(())
}

fn serve(
    common: &Arc<Common>,
    listener: std::net::TcpListener,
) -> anyhow::Result<ntex::server::Server> {
    let workers = common.settings.workers;
    let client_timeout_s = Seconds((common.settings.request_arrival_ms / 1000).max(1) as u16);
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(Seconds(KEEP_ALIVE_S)))
        .set_client_timeout(client_timeout_s);
    let config: SharedCfg =
        SharedCfg::new("entry").add(http).add(caller_connections::io_config()).into();
    let limits = common.settings.caller_limits().of_thread(workers);
    let shared = Arc::clone(common);
    caller_connections::bound_kernel_buffers(&listener)?;
    let server = ServerBuilder::new()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .listen("entry", listener, async move |server_config| {
            server_config.config(config.clone());
            let worker = Worker::start(Arc::clone(&shared)).await;
            let app = App::new().state(worker).default_service(web::route().to(intake::handle));
            BoundedConnections::new(limits, HttpService::new(app))
        })?
        .run();
    Ok(server)
}

/// Reports not ready, so that the load balancer stops sending requests, then serves those that still come as long as
/// their answers fit, and returns when the process may exit. No request is without an answer then.
async fn drain_requests(common: &Common) {
    common.hub.draining.store(true, Ordering::Release);
    let limit_ms = common.settings.daemon.drain_ms;
    let limit_s = limit_ms as f64 / 1_000.0;
    let stop = drain::Stop::begin(clock::boot_ms(), limit_s, drain::Others::default());
    common.stop.begin(stop.deadlines);
    slog::info!(common.log, "draining"; "limit_ms" => limit_ms);
    let left = common.stop.finish(stop, &common.log).await;
    slog::info!(common.log, "drained"; "left" => left);
}

impl Worker {
    async fn start(common: Arc<Common>) -> Rc<Self> {
        let asks = asks::Asks::bind(common.settings.daemon.peer_addr.ip()).await;
        let worker = Rc::new(Self {
            links: links::Links::new(&common),
            asks,
            common,
            backoffs: RefCell::default(),
            retry_budget: RefCell::default(),
            active_by_account: RefCell::default(),
            token_budgets: RefCell::default(),
            keys_revision: Cell::new(0),
            keys_changed: tokio::sync::Notify::new(),
        });
        task::spawn_local(asks::receive(Rc::clone(&worker)));
        task::spawn_local(sweep(Rc::clone(&worker)));
        worker
    }

    fn snapshot(&self) -> Arc<gossip::Snapshot> {
        self.common.hub.snapshot.load_full()
    }

    fn now_ms(&self) -> u64 {
        self.common.hub.now_ms()
    }

    /// Refuses a request whose answer does not fit into the rest of a stop. A stream counts as a call does, because
    /// the stop of this entry waits for it.
    fn check_time_left(&self, service: &str, latency_target_ms: u32) -> Result<(), error::Refusal> {
        let stop = &self.common.stop;
        let Some(deadlines) = stop.deadlines() else {
            return Ok(());
        };
        let durations = self.common.durations.of(service);
        let target_ms = u64::from(latency_target_ms);
        let now_ms = clock::boot_ms();
        if stop.is_admission_closed() || !deadlines.admits_call(&durations, target_ms, now_ms) {
            return Err(drain::refusal());
        }
        stop.record_admission(now_ms);
        Ok(())
    }
}

/// Periodically wakes streams after a change of keys and records endpoints that did not answer an ask.
async fn sweep(worker: Rc<Worker>) {
    loop {
        time::sleep(Duration::from_millis(SWEEP_MS)).await;
        let revision = worker.common.hub.snapshot.load().keys.revision();
        if worker.keys_revision.replace(revision) != revision {
            worker.keys_changed.notify_waiters();
        }
        worker.expire_asks();
    }
}
