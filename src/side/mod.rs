//! The side: a process that runs beside an instance and is the only access to its endpoints.
//!
//! Entries send asks over UDP and submit requests over TCP. Requests wait in the endpoint's queue, run
//! at the endpoint over HTTP, and their answers are streamed back to the entry. One thread handles all
//! traffic, so its state needs no locks; the control thread publishes snapshots to it through the hub.

mod asks;
mod endpoint;
mod entries;
mod readers;
mod run;
mod sweep;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use ntex::client;
use ntex::time::Millis;
use slotmap::SlotMap;
use tokio::net::{TcpListener, UdpSocket};
use tokio::{task, time};

use crate::{
    admin, claims, control, error, hub, logging, membership, metric, platform, seal, settings,
    sockets, trace, wire,
};

/// Maximum number of connections to an endpoint, which is above any number of slots.
const MAX_CONNECTIONS: usize = 4096;
/// Interval at which a drain checks whether all answers are delivered.
const DRAIN_POLL_MS: u64 = 20;

slotmap::new_key_type! {
    /// A run held by this side.
    pub struct RunKey;
}

/// State of the traffic thread.
#[derive(Debug)]
pub struct Side {
    settings: settings::Side,
    hub: Arc<hub::Hub>,
    log: slog::Logger,
    secret: seal::Secret,
    boot: u64,
    spans: trace::Sink,
    http: client::Client,
    /// For calls that may not be repeated. Each call uses a new connection, see `run::call`.
    http_no_reuse: client::Client,
    platform: platform::Platform,
    endpoints: Vec<endpoint::Endpoint>,
    runs: RefCell<SlotMap<RunKey, Rc<run::Run>>>,
    by_request: RefCell<HashMap<CompactString, RunKey>>,
    by_idempotency: RefCell<HashMap<wire::IdempotencyDigest, RunKey>>,
    keys_revision: Cell<u64>,
    /// Keys that an entry has reported as withdrawn. The key table of this side may still lack the change.
    revoked: RefCell<HashSet<CompactString>>,
}

/// Runs a side until it receives a stop signal and has drained.
///
/// # Errors
/// Returns an error when an address cannot be bound or an HTTP client cannot be created.
pub async fn run(mut settings: settings::Side, log: slog::Logger) -> anyhow::Result<()> {
    let stop = logging::stop_signal();
    let hub = Arc::new(hub::Hub::default());
    let metrics = metric::install()?;
    let work = sockets::TcpUdpPair::bind(&mut settings.work_addr)?;
    let sockets = sockets::DaemonSockets::bind(&mut settings.daemon)?;
    let boot = rand::random();
    let identity = control::Identity {
        role: membership::Role::Side,
        work_addr: Some(settings.work_addr),
        endpoints: settings
            .endpoints
            .iter()
            .map(|endpoint| membership::Endpoint {
                id: endpoint.id.clone(),
                service: endpoint.service.clone(),
            })
            .collect(),
        boot,
    };
    let daemon = settings.daemon.clone();
    admin::spawn(&daemon, Arc::clone(&hub), None, metrics, sockets.admin)?;
    control::spawn(daemon, identity, Arc::clone(&hub), log.clone(), sockets.peer)?;
    sockets::announce(&settings.daemon, settings.work_addr);
    let side = open(settings, Arc::clone(&hub), log, boot).await?;
    task::spawn_local(asks::serve(Rc::clone(&side), UdpSocket::from_std(work.udp)?));
    task::spawn_local(entries::serve(Rc::clone(&side), TcpListener::from_std(work.tcp)?));
    task::spawn_local(sweep::run(Rc::clone(&side)));
    stop.await;
    side.drain().await;
    Ok(())
}

async fn open(
    settings: settings::Side,
    hub: Arc<hub::Hub>,
    log: slog::Logger,
    boot: u64,
) -> anyhow::Result<Rc<Side>> {
    let endpoints = settings.endpoints.iter().map(endpoint::Endpoint::new).collect();
    Ok(Rc::new(Side {
        secret: seal::Secret::fleet(&settings.daemon.fleet_secret),
        spans: logging::span_sink(&settings.daemon),
        platform: platform::Platform::open(&settings.daemon.platform_url)
            .await?
            .with_log(log.clone()),
        settings,
        hub,
        log,
        boot,
        http: http_client().await?,
        http_no_reuse: http_client().await?,
        endpoints,
        runs: RefCell::default(),
        by_request: RefCell::default(),
        by_idempotency: RefCell::default(),
        keys_revision: Cell::new(0),
        revoked: RefCell::default(),
    }))
}

async fn http_client() -> anyhow::Result<client::Client> {
    client::ClientBuilder::new()
        .connector::<()>(client::Connector::new().limit(MAX_CONNECTIONS))
        .no_default_headers()
        .disable_redirects()
        .response_timeout(Millis::ZERO)
        .build(ntex::SharedCfg::default())
        .await
        .map_err(|error| anyhow::anyhow!("cannot create an HTTP client: {error:?}"))
}

impl Side {
    fn now_ms(&self) -> u64 {
        self.hub.now_ms()
    }

    fn endpoint(&self, index: wire::EndpointIndex) -> Option<&endpoint::Endpoint> {
        self.endpoints.get(usize::from(index.0))
    }

    fn is_withdrawn(&self, key: &str) -> bool {
        self.revoked.borrow().contains(key) || self.hub.snapshot.load().keys.is_withdrawn(key)
    }

    fn holder(&self) -> claims::Holder {
        claims::Holder { daemon: self.settings.daemon.id.clone(), boot: self.boot }
    }

    /// Returns whether the holder of a claim may still be running its call.
    fn is_alive(&self, holder: &claims::Holder) -> bool {
        if holder.daemon == self.settings.daemon.id {
            return holder.boot == self.boot;
        }
        let Ok(shared) = self.hub.shared.lock() else {
            return true;
        };
        shared.fleet.find(&holder.daemon).is_some_and(|member| {
            member.boot == holder.boot && member.state != membership::State::Gone
        })
    }

    /// Refuses new requests, waits for the accepted ones, and stops those that are left after the limit.
    async fn drain(self: &Rc<Self>) {
        self.hub.draining.store(true, Ordering::Release);
        let limit_ms = self.settings.daemon.drain_ms;
        slog::info!(self.log, "draining"; "runs" => self.runs.borrow().len(), "limit_ms" => limit_ms);
        let deadline_ms = self.now_ms() + limit_ms;
        while !self.all_delivered() {
            if self.now_ms() >= deadline_ms {
                self.stop_all();
                break;
            }
            time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        // The last frames may still be in the links' buffers. The pause gives the kernel time to send them.
        time::sleep(Duration::from_millis(10 * DRAIN_POLL_MS)).await;
        slog::info!(self.log, "drained"; "left" => self.runs.borrow().len());
    }

    fn all_delivered(&self) -> bool {
        self.runs.borrow().values().all(|run| run.is_delivered())
    }

    fn stop_all(self: &Rc<Self>) {
        let runs: Vec<Rc<run::Run>> = self.runs.borrow().values().cloned().collect();
        for run in runs {
            self.stop(&run, error::Kind::Draining);
        }
    }
}
