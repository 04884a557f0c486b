//! The process that callers reach: checks the key, names class and account, chooses an endpoint,
//! submits, and streams the answer back.
//!
//! Each traffic thread has its own links, asks and budgets and shares nothing with the others but
//! the hub; the control thread hands all of them snapshots.

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
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use compact_str::CompactString;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use tokio::{task, time};

use crate::{
    admin, admission, control, explain, hub, logging, membership, metric, placement, retry, seal,
    settings, sockets, spread, trace,
};

/// How long an idle connection of a caller is kept.
const KEEP_ALIVE_S: u16 = 75;
/// How often a drain looks whether all is done.
const DRAIN_POLL_MS: u64 = 20;
/// How long after the last request a drain waits for one that the balancer still sends.
const DRAIN_QUIET_MS: u64 = 600;
/// How often streams are looked over for withdrawn keys.
const SWEEP_MS: u64 = 100;

/// What all traffic threads of an entry share.
#[derive(Debug)]
struct Common {
    settings: settings::Entry,
    hub: Arc<hub::Hub>,
    log: slog::Logger,
    secret: seal::Secret,
    spans: trace::Sink,
    ring: Arc<explain::RequestHistory>,
    active: AtomicUsize,
}

/// State of one traffic thread.
#[derive(Debug)]
struct Worker {
    common: Arc<Common>,
    links: links::Links,
    asks: asks::Asks,
    silent: RefCell<placement::Backoffs>,
    budget: RefCell<retry::Budget>,
    /// Token budgets of the accounts that have one.
    budgets: RefCell<admission::Budgets>,
    /// Requests under way, by account.
    accounts: RefCell<HashMap<CompactString, u32>>,
    /// Wakes streams when keys were withdrawn.
    keys_revision: Cell<u64>,
    keys_changed: tokio::sync::Notify,
}

/// Runs an entry until it is told to stop and has drained.
///
/// # Errors
/// When an address cannot be bound.
pub async fn run(mut settings: settings::Entry, log: slog::Logger) -> anyhow::Result<()> {
    let stop = logging::stop_signal();
    let hub = Arc::new(hub::Hub::default());
    let metrics = metric::install()?;
    let ring = Arc::new(explain::RequestHistory::default());
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
    admin::spawn(&daemon, Arc::clone(&hub), Some(Arc::clone(&ring)), metrics, sockets.admin)?;
    control::spawn(daemon, identity, Arc::clone(&hub), log.clone(), sockets.peer)?;
    sockets::announce(&settings.daemon, settings.listen_addr);
    let common = Arc::new(Common {
        secret: seal::Secret::fleet(&settings.daemon.fleet_secret),
        spans: logging::span_sink(&settings.daemon),
        settings,
        hub,
        log,
        ring,
        active: AtomicUsize::new(0),
    });
    let server = serve(&common, listener)?;
    stop.await;
    drain(&common).await;
    server.stop(true).await;
    Ok(())
}

fn serve(
    common: &Arc<Common>,
    listener: std::net::TcpListener,
) -> anyhow::Result<ntex::server::Server> {
    let workers = common.settings.workers;
    let arrival_s = Seconds((common.settings.request_arrival_ms / 1000).max(1) as u16);
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(Seconds(KEEP_ALIVE_S)))
        .set_client_timeout(arrival_s);
    let shared = Arc::clone(common);
    let server = HttpServer::new(async move || {
        let worker = Worker::open(Arc::clone(&shared)).await;
        App::new().state(worker).default_service(web::route().to(intake::handle))
    })
    .workers(workers)
    .disable_signals()
    .shutdown_timeout(Seconds(1))
    .config(ntex::SharedCfg::new("entry").add(http))
    .listen(listener)?
    .run();
    Ok(server)
}

/// Says it is not ready first, so that the balancer turns away, then waits for all that runs.
async fn drain(common: &Common) {
    let hub = &common.hub;
    hub.draining.store(true, Ordering::Release);
    let limit_ms = common.settings.daemon.drain_ms;
    slog::info!(common.log, "draining"; "limit_ms" => limit_ms);
    let end_ms = hub.now_ms() + limit_ms;
    let mut quiet_since_ms = hub.now_ms();
    loop {
        let now_ms = hub.now_ms();
        if common.active.load(Ordering::Acquire) > 0 {
            quiet_since_ms = now_ms;
        }
        if now_ms >= end_ms || now_ms - quiet_since_ms >= DRAIN_QUIET_MS {
            break;
        }
        time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    slog::info!(common.log, "drained"; "left" => common.active.load(Ordering::Acquire));
}

impl Worker {
    async fn open(common: Arc<Common>) -> Rc<Self> {
        let asks = asks::Asks::bind(common.settings.daemon.peer_addr.ip()).await;
        let worker = Rc::new(Self {
            links: links::Links::new(&common),
            asks,
            common,
            silent: RefCell::default(),
            budget: RefCell::default(),
            accounts: RefCell::default(),
            budgets: RefCell::default(),
            keys_revision: Cell::new(0),
            keys_changed: tokio::sync::Notify::new(),
        });
        task::spawn_local(asks::receive(Rc::clone(&worker)));
        task::spawn_local(sweep(Rc::clone(&worker)));
        worker
    }

    fn snapshot(&self) -> Arc<spread::Snapshot> {
        self.common.hub.snapshot.load_full()
    }

    fn now_ms(&self) -> u64 {
        self.common.hub.now_ms()
    }
}

/// Wakes streams after keys have changed, and notes endpoints that did not answer.
async fn sweep(worker: Rc<Worker>) {
    loop {
        time::sleep(Duration::from_millis(SWEEP_MS)).await;
        let revision = worker.common.hub.snapshot.load().keys.revision();
        if worker.keys_revision.replace(revision) != revision {
            worker.keys_changed.notify_waiters();
        }
        worker.note_silent();
    }
}
