//! The control thread of a daemon: keeps its copy of the shared state up to date and hands
//! snapshots of it to the traffic threads.
//!
//! In come digests and pulls of peers and, in the few daemons that read for their zone, objects of
//! the store. Out go snapshots, digests and news. Nothing on a request's path waits for it.

mod peers;
mod reader;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::seq::IteratorRandom;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task;

use crate::{duties, hub, membership, platform, seal, settings, sockets, spread, store, wire};

/// Peers told at once when something changed here.
const RUMOR_PEERS: usize = 3;
/// Daemons of a zone that read the store for the others.
const READERS_PER_ZONE: usize = 2;
/// How long no read of the store is heard of before the next daemon in rank reads, and how much
/// longer for each rank. A reader's watch answers at least every ten seconds.
const READS_SILENT_MS: u64 = 12_500;
const READS_SILENT_RANK_MS: u64 = 2_000;

/// What a daemon says of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    pub role: membership::Role,
    pub work_addr: Option<SocketAddr>,
    pub endpoints: Vec<membership::Endpoint>,
    /// Tells one start of the daemon from another.
    pub boot: u64,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Control {
    pub settings: settings::Daemon,
    pub hub: Arc<hub::Hub>,
    pub log: slog::Logger,
    pub platform: platform::Platform,
    pub boot: u64,
    secret: seal::Secret,
    me: RefCell<membership::Member>,
    shared: RefCell<spread::Shared>,
    socket: UdpSocket,
    pulls: RefCell<HashSet<SocketAddr>>,
    heard_peer: Cell<bool>,
    read_store: Cell<bool>,
    /// A digest of another fleet has come: one of the two may have taken the wrong one for its own.
    doubts_fleet: Cell<bool>,
    /// The store itself has told which fleet this is.
    read_fleet: Cell<bool>,
    /// When a read of the store by any daemon was last heard of.
    reads_grew_ms: Cell<u64>,
}

/// Exit code of a daemon whose control thread has ended.
const EXIT_CONTROL: i32 = 70;

/// Starts the control thread. It ends with the process, and the process with it.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn(
    settings: settings::Daemon,
    identity: Identity,
    hub: Arc<hub::Hub>,
    log: slog::Logger,
    sockets: sockets::TcpUdpPair,
) -> anyhow::Result<()> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
        let outcome = runner.block_on(run(settings, identity, hub, log.clone(), sockets));
        if let Err(error) = outcome {
            slog::crit!(log, "control thread ended"; "error" => format!("{error:#}"));
        }
        // Traffic would go on by what was known last: withdrawn keys would work for ever, and the
        // readiness would still say that all is well. Ended, the daemon is replaced.
        std::process::exit(EXIT_CONTROL);
    })?;
    Ok(())
}

async fn run(
    settings: settings::Daemon,
    identity: Identity,
    hub: Arc<hub::Hub>,
    log: slog::Logger,
    sockets: sockets::TcpUdpPair,
) -> anyhow::Result<()> {
    let control = Rc::new(Control {
        secret: seal::Secret::fleet(&settings.fleet_secret),
        me: RefCell::new(first_record(&settings, &identity)),
        shared: RefCell::default(),
        socket: UdpSocket::from_std(sockets.udp)?,
        pulls: RefCell::default(),
        heard_peer: Cell::new(false),
        read_store: Cell::new(false),
        doubts_fleet: Cell::new(false),
        read_fleet: Cell::new(false),
        reads_grew_ms: Cell::new(0),
        platform: platform::Platform::open(&settings.platform_url).await?,
        boot: identity.boot,
        settings,
        hub,
        log,
    });
    let listener = TcpListener::from_std(sockets.tcp)?;
    control.write_own_record();
    task::spawn_local(peers::serve_pulls(Rc::clone(&control), listener));
    task::spawn_local(peers::receive_datagrams(Rc::clone(&control)));
    task::spawn_local(reader::start(Rc::clone(&control)));
    task::spawn_local(reader::read_roster(Rc::clone(&control)));
    duties::spawn(&control, identity.role);
    peers::compare_digests(control).await;
    Ok(())
}

fn first_record(settings: &settings::Daemon, identity: &Identity) -> membership::Member {
    membership::Member {
        id: settings.id.clone(),
        version: hub::unix_ms() * 1000,
        boot: identity.boot,
        role: identity.role,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        state: membership::State::Ready,
        peer_addr: settings.peer_addr,
        admin_addr: settings.admin_addr,
        work_addr: identity.work_addr,
        endpoints: identity.endpoints.clone(),
    }
}

impl Control {
    /// This daemon's record as it stands.
    #[must_use]
    pub fn me(&self) -> membership::Member {
        self.me.borrow().clone()
    }

    /// The key that seals messages of this fleet.
    #[must_use]
    pub fn secret(&self) -> &seal::Secret {
        &self.secret
    }

    /// Runs `read` on the shared state.
    pub fn with_shared<T>(&self, read: impl FnOnce(&spread::Shared) -> T) -> T {
        read(&self.shared.borrow())
    }

    /// Notes whether the store answered.
    pub fn store_answered<T>(&self, outcome: &Result<T, store::Failure>) {
        self.hub.store_calls.fetch_add(1, Ordering::Relaxed);
        let up = !matches!(outcome, Err(store::Failure::Down | store::Failure::NoAnswer));
        if self.hub.store_up.swap(up, Ordering::Relaxed) != up {
            slog::warn!(self.log, "store"; "up" => up);
        }
    }

    /// Whether this daemon reads the store for its zone.
    ///
    /// The readers of the zone may have died, and a dead daemon's record looks like a live one's.
    /// Then no change would reach the zone any more, and nothing would say so. Reads are counted in
    /// the digests; when the count has not grown for a while, the next daemon in rank reads, later
    /// ones after a longer while, so that an outage of the store does not bring them all to it.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let rank = membership::reader_rank(&self.shared.borrow().fleet, &self.me.borrow());
        let silent_ms = self.hub.now_ms().saturating_sub(self.reads_grew_ms.get());
        rank < READERS_PER_ZONE || silent_ms > READS_SILENT_MS + rank as u64 * READS_SILENT_RANK_MS
    }

    /// Somebody has read the store, as far as this count of reads.
    fn reads_grew(&self, reads: u64) {
        if reads > self.shared.borrow().reads {
            self.shared.borrow_mut().reads = reads;
            self.reads_grew_ms.set(self.hub.now_ms());
        }
    }

    fn write_own_record(&self) {
        let changed = {
            let mut shared = self.shared.borrow_mut();
            let mut me = self.me.borrow_mut();
            // A record of a former start may be greater than ours, if the clock went back in
            // between. Peers would then ignore us for as long; so we go above it.
            if let Some(known) = shared.fleet.find(&me.id) {
                me.version = me.version.max(known.version + 1);
            }
            shared.fleet.take(me.clone())
        };
        if changed {
            self.publish(spread::Changed { members: true, ..Default::default() });
        }
    }

    /// Whether a peer may tell this daemon which fleet it belongs to: a seed, or anybody while the store can't.
    fn is_trusted(&self, peer: SocketAddr) -> bool {
        self.settings.seeds.contains(&peer) || !self.hub.store_up.load(Ordering::Relaxed)
    }

    /// The store tells which fleet this is.
    fn set_fleet(&self, fleet_id: u64) {
        self.shared.borrow_mut().fleet_id = Some(fleet_id);
        self.read_fleet.set(true);
    }

    /// Forgets what was learnt from peers of another fleet.
    fn begin_anew(&self, fleet_id: u64) {
        slog::error!(self.log, "peers of another fleet, all forgotten"; "fleet" => fleet_id);
        *self.shared.borrow_mut() = spread::Shared::of_fleet(fleet_id);
        self.write_own_record();
    }

    fn take(&self, change: impl FnOnce(&mut spread::Shared) -> spread::Changed) {
        let changed = change(&mut self.shared.borrow_mut());
        if !changed.any() {
            return;
        }
        let impostor = {
            let (shared, me) = (self.shared.borrow(), self.me.borrow());
            shared.fleet.find(&me.id).is_some_and(|known| *known != *me)
        };
        if impostor {
            self.write_own_record();
        }
        self.publish(changed);
    }

    /// Hands the new state to the traffic threads and tells a few peers at once.
    fn publish(&self, changed: spread::Changed) {
        let snapshot = {
            let shared = self.shared.borrow();
            if changed.config {
                self.log_config(&shared);
            }
            if let Ok(mut shown) = self.hub.shared.lock() {
                *shown = shared.clone();
            }
            shared.snapshot()
        };
        self.hub.snapshot.store(Arc::new(snapshot));
        self.hub.generation.fetch_add(1, Ordering::Release);
        self.update_ready();
        self.send_digests(RUMOR_PEERS);
    }

    fn log_config(&self, shared: &spread::Shared) {
        match &shared.refused {
            Some(refused) => slog::error!(self.log, "configuration refused";
                "version" => refused.version, "mistake" => refused.mistake.to_string()),
            None => slog::info!(self.log, "configuration in force";
                "version" => shared.config.as_ref().map_or(0, |config| config.version)),
        }
    }

    fn update_ready(&self) {
        // A daemon that starts while the store serves an old read could put an old configuration
        // in force. It waits until it heard a peer or, where there is none, the store itself.
        let informed = self.heard_peer.get() || self.read_store.get();
        let has_config = self.shared.borrow().config.is_some();
        self.hub.ready.store(informed && has_config, Ordering::Release);
    }

    fn send_digests(&self, count: usize) {
        let addrs = self.some_peers(count);
        for addr in addrs {
            self.send_digest(addr, false);
        }
    }

    fn some_peers(&self, count: usize) -> Vec<SocketAddr> {
        let shared = self.shared.borrow();
        let own = self.settings.peer_addr;
        let known: Vec<SocketAddr> = shared
            .fleet
            .present()
            .map(|member| member.peer_addr)
            .filter(|addr| *addr != own)
            .collect();
        let mut random = rand::rng();
        if known.is_empty() {
            let seeds = self.settings.seeds.iter().copied().filter(|addr| *addr != own);
            return seeds.choose_multiple(&mut random, count);
        }
        known.into_iter().choose_multiple(&mut random, count)
    }

    fn send_digest(&self, addr: SocketAddr, is_answer: bool) {
        let digest = self.shared.borrow().digest(self.settings.peer_addr, is_answer);
        let Ok(bytes) = seal::seal_datagram(&self.secret, &wire::Datagram::Digest(digest)) else {
            return;
        };
        self.hub.bytes_out.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        // A datagram that does not leave is like one that was lost: the next second repairs it.
        let _ = self.socket.try_send_to(&bytes, addr);
    }

    /// Sets the state this daemon tells the others.
    fn set_state(&self, state: membership::State) {
        {
            let mut me = self.me.borrow_mut();
            if me.state == state {
                return;
            }
            me.state = state;
            me.version += 1;
        }
        self.write_own_record();
    }
}
