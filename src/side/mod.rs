//! The process beside an endpoint instance: the endpoints' only way in.
//!
//! Entries ask over UDP and submit over TCP; requests wait in the endpoint's queue, run at the
//! endpoint by HTTP, and their answers go back piece by piece. One thread carries all traffic, so
//! its state needs no locks; the control thread hands it snapshots.

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

/// Connections to an endpoint at most; above any number of slots.
const MAX_CONNECTIONS: usize = 4096;
/// How often a drain looks whether all is done.
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
    /// For calls that may not be repeated: a new connection for each, see `run::call`.
    http_once: client::Client,
    platform: platform::Platform,
    endpoints: Vec<endpoint::Endpoint>,
    runs: RefCell<SlotMap<RunKey, Rc<run::Run>>>,
    by_request: RefCell<HashMap<CompactString, RunKey>>,
    by_idempotency: RefCell<HashMap<wire::IdempotencyDigest, RunKey>>,
    keys_revision: Cell<u64>,
    /// Keys that an entry knew to be withdrawn before this side did.
    revoked: RefCell<HashSet<CompactString>>,
}

/// Runs a side until it is told to stop and has drained.
///
/// # Errors
/// When an address cannot be bound or a client cannot be made.
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
        platform: platform::Platform::open(&settings.daemon.platform_url).await?,
        settings,
        hub,
        log,
        boot,
        http: http_client().await?,
        http_once: http_client().await?,
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
        .map_err(|error| anyhow::anyhow!("cannot make an HTTP client: {error:?}"))
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

    /// Whether a claim's holder may still be running its call.
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

    /// Takes no new work, lets all that was accepted end, and ends what is left after the limit.
    async fn drain(self: &Rc<Self>) {
        self.hub.draining.store(true, Ordering::Release);
        let limit_ms = self.settings.daemon.drain_ms;
        slog::info!(self.log, "draining"; "runs" => self.runs.borrow().len(), "limit_ms" => limit_ms);
        let end_ms = self.now_ms() + limit_ms;
        while !self.all_delivered() {
            if self.now_ms() >= end_ms {
                self.end_all();
                break;
            }
            time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        // The last frames are in the links' buffers; give the kernel the time to send them.
        time::sleep(Duration::from_millis(10 * DRAIN_POLL_MS)).await;
        slog::info!(self.log, "drained"; "left" => self.runs.borrow().len());
    }

    fn all_delivered(&self) -> bool {
        self.runs.borrow().values().all(|run| run.is_delivered())
    }

    fn end_all(self: &Rc<Self>) {
        let runs: Vec<Rc<run::Run>> = self.runs.borrow().values().cloned().collect();
        for run in runs {
            self.stop(&run, error::Kind::Draining);
        }
    }
}
