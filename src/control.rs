//! The control thread of a daemon: keeps its copy of the shared state up to date and publishes
//! snapshots of it to the traffic threads.
//!
//! Its inputs are digests and pulls from peers and, in the few daemons that read the store for their
//! zone, objects of the store. Its outputs are snapshots, digests and updates. No request waits for it.

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

use crate::{duties, gossip, hub, membership, platform, seal, settings, sockets, store, wire};

/// Peers that get a digest immediately after a local change.
const RUMOR_PEERS: usize = 3;
/// Daemons of a zone that read the store on behalf of the others.
const READERS_PER_ZONE: usize = 2;
/// Time without a known read of the store after which other daemons start to read, and the extra
/// time per rank. A reader's watch answers at least every 10 s.
const READER_TIMEOUT_MS: u64 = 12_500;
const READER_TIMEOUT_PER_RANK_MS: u64 = 2_000;

/// The part of a daemon's record that depends on its program and its start.
#[derive(Clone, Debug)]
pub struct Identity {
    pub role: membership::Role,
    pub work_addr: Option<SocketAddr>,
    pub endpoints: Vec<membership::Endpoint>,
    /// Distinguishes starts of the same daemon.
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
    shared: RefCell<gossip::SharedState>,
    socket: UdpSocket,
    pulls: RefCell<HashSet<SocketAddr>>,
    has_peer_state: Cell<bool>,
    has_store_state: Cell<bool>,
    /// A digest with another fleet id has arrived before this daemon read its own id from the store,
    /// so this daemon's id may be wrong.
    fleet_id_in_doubt: Cell<bool>,
    /// The fleet id was read from the store, not learned from a peer.
    fleet_id_confirmed: Cell<bool>,
    /// When the count of store reads by all daemons last grew.
    last_store_read_ms: Cell<u64>,
}

/// Exit code of a daemon whose control thread has ended.
const EXIT_CONTROL: i32 = 70;

/// Starts the control thread. The process exits when the thread ends.
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
        // Without this thread the daemon would serve traffic from its last snapshot: withdrawn keys
        // would stay valid and readiness would still be reported. The exit gets the daemon replaced.
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
        me: RefCell::new(initial_record(&settings, &identity)),
        shared: RefCell::default(),
        socket: UdpSocket::from_std(sockets.udp)?,
        pulls: RefCell::default(),
        has_peer_state: Cell::new(false),
        has_store_state: Cell::new(false),
        fleet_id_in_doubt: Cell::new(false),
        fleet_id_confirmed: Cell::new(false),
        last_store_read_ms: Cell::new(0),
        platform: platform::Platform::open(&settings.platform_url).await?.with_log(log.clone()),
        boot: identity.boot,
        settings,
        hub,
        log,
    });
    let listener = TcpListener::from_std(sockets.tcp)?;
    control.publish_own_record();
    task::spawn_local(peers::serve_pulls(Rc::clone(&control), listener));
    task::spawn_local(peers::receive_datagrams(Rc::clone(&control)));
    task::spawn_local(reader::start(Rc::clone(&control)));
    task::spawn_local(reader::read_roster(Rc::clone(&control)));
    duties::spawn(&control, identity.role);
    peers::send_digests_periodically(control).await;
    Ok(())
}

fn initial_record(settings: &settings::Daemon, identity: &Identity) -> membership::Member {
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
    /// Returns a copy of this daemon's current record.
    #[must_use]
    pub fn me(&self) -> membership::Member {
        self.me.borrow().clone()
    }

    /// The key that seals this fleet's messages.
    #[must_use]
    pub fn secret(&self) -> &seal::Secret {
        &self.secret
    }

    /// Runs `read` on the shared state.
    pub fn with_shared<T>(&self, read: impl FnOnce(&gossip::SharedState) -> T) -> T {
        read(&self.shared.borrow())
    }

    /// Counts a store call and records whether the store is up; logs each change.
    pub fn record_store_outcome<T>(&self, outcome: &Result<T, store::Failure>) {
        self.hub.store_calls.fetch_add(1, Ordering::Relaxed);
        let up = !matches!(
            outcome,
            Err(store::Failure::Down | store::Failure::Throttled | store::Failure::NoAnswer)
        );
        if self.hub.store_up.swap(up, Ordering::Relaxed) != up {
            slog::warn!(self.log, "store availability changed"; "up" => up);
        }
    }

    /// Whether this daemon reads the store for its zone.
    ///
    /// The zone's readers may have crashed, and a crashed daemon's record looks like a live one's.
    /// Changes would then no longer reach the zone, and nothing would report it. Digests therefore
    /// carry a count of reads. When the count has not grown for a while, the next daemon in rank
    /// reads. Each later rank waits longer, so that not all daemons call the store in an outage.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let rank = membership::reader_rank(&self.shared.borrow().fleet, &self.me.borrow());
        let silent_ms = self.hub.now_ms().saturating_sub(self.last_store_read_ms.get());
        rank < READERS_PER_ZONE
            || silent_ms > READER_TIMEOUT_MS + rank as u64 * READER_TIMEOUT_PER_RANK_MS
    }

    /// Takes over a higher count of store reads and the time at which it arrived.
    fn raise_store_reads(&self, reads: u64) {
        if reads > self.shared.borrow().reads {
            self.shared.borrow_mut().reads = reads;
            self.last_store_read_ms.set(self.hub.now_ms());
        }
    }

    fn publish_own_record(&self) {
        let changed = {
            let mut shared = self.shared.borrow_mut();
            let mut me = self.me.borrow_mut();
            // A record of an earlier start may have a higher version if the clock went back since.
            // Peers would ignore the new record until the clock catches up, so raise its version.
            if let Some(known) = shared.fleet.find(&me.id) {
                me.version = me.version.max(known.version + 1);
            }
            shared.fleet.merge(me.clone())
        };
        if changed {
            self.publish(gossip::Changed { members: true, ..Default::default() });
        }
    }

    /// Whether this daemon adopts a fleet id from the peer: only from a seed, or from any peer while
    /// the store is down.
    fn is_trusted(&self, peer: SocketAddr) -> bool {
        self.settings.seeds.contains(&peer) || !self.hub.store_up.load(Ordering::Relaxed)
    }

    /// Sets the fleet id that was read from the store.
    fn confirm_fleet_id(&self, fleet_id: u64) {
        self.shared.borrow_mut().fleet_id = Some(fleet_id);
        self.fleet_id_confirmed.set(true);
    }

    /// Discards the state learned from peers of another fleet.
    fn reset_to_fleet(&self, fleet_id: u64) {
        slog::error!(self.log,
            "fleet id differs from the store's; discarded all state learned from peers";
            "fleet" => fleet_id);
        *self.shared.borrow_mut() = gossip::SharedState::of_fleet(fleet_id);
        self.publish_own_record();
    }

    /// Applies a change to the shared state and publishes the result if something changed.
    fn apply(&self, change: impl FnOnce(&mut gossip::SharedState) -> gossip::Changed) {
        let changed = change(&mut self.shared.borrow_mut());
        if !changed.any() {
            return;
        }
        // A peer may have another record under this daemon's id, for example from an earlier start; the
        // current record replaces it.
        let is_superseded = {
            let (shared, me) = (self.shared.borrow(), self.me.borrow());
            shared.fleet.find(&me.id).is_some_and(|known| *known != *me)
        };
        if is_superseded {
            self.publish_own_record();
        }
        self.publish(changed);
    }

    /// Publishes the new state to the traffic threads and sends digests to a few peers immediately.
    fn publish(&self, changed: gossip::Changed) {
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

    fn log_config(&self, shared: &gossip::SharedState) {
        match &shared.rejected_config {
            Some(rejected) => slog::error!(self.log, "configuration refused";
                "version" => rejected.version, "mistake" => rejected.error.to_string()),
            None => slog::info!(self.log, "configuration in force";
                "version" => shared.config.as_ref().map_or(0, |config| config.version)),
        }
    }

    fn update_ready(&self) {
        // A starting daemon could apply an old configuration from a stale read. It becomes ready only
        // after it is in sync with a peer or has listed the store itself.
        let has_fresh_state = self.has_peer_state.get() || self.has_store_state.get();
        let has_config = self.shared.borrow().config.is_some();
        self.hub.ready.store(has_fresh_state && has_config, Ordering::Release);
    }

    fn send_digests(&self, count: usize) {
        let addrs = self.sample_peers(count);
        for addr in addrs {
            self.send_digest(addr, false);
        }
    }

    fn sample_peers(&self, count: usize) -> Vec<SocketAddr> {
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
        // A failed send is treated like a lost datagram: the next round, a second later, repairs it.
        let _ = self.socket.try_send_to(&bytes, addr);
    }

    /// Sets the state in this daemon's record and publishes the record.
    fn set_state(&self, state: membership::State) {
        {
            let mut me = self.me.borrow_mut();
            if me.state == state {
                return;
            }
            me.state = state;
            me.version += 1;
        }
        self.publish_own_record();
    }
}
