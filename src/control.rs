//! The control thread of a daemon: keeps its copy of the shared state up to date and hands
//! snapshots of it to the traffic threads.
//!
//! In come digests and pulls of peers and, in the few daemons that read for their zone, objects of
//! the store. Out go snapshots, digests and news. Nothing on a request's path waits for it.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use rand::seq::IteratorRandom;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task;
use tokio::time;

use crate::store::ObjectStore;
use crate::{bound, duties, link, membership, platform, settings, spread, store, usage, wire};

/// How often a daemon compares digests with peers.
const DIGEST_MS: u64 = 1_000;
/// Peers a digest goes to each time.
const DIGEST_PEERS: usize = 2;
/// Peers told at once when something changed here.
const RUMOR_PEERS: usize = 3;
/// Daemons of a zone that read the store for the others.
const READERS_PER_ZONE: usize = 2;
/// Pulls under way at the same time.
const MAX_PULLS: usize = 4;
/// How often a reader looks at the platform's lagging list.
const ROSTER_MS: u64 = 2_000;
/// Longest a reader waits before it tries a store again that was down; with jitter below.
const STORE_RETRY_MS: u64 = 4_000;
/// How long a starting daemon waits for peers before it reads the store itself.
const PEERS_FIRST_MS: u64 = 700;

/// What the control thread and the traffic threads of a daemon share.
#[derive(Debug)]
pub struct Hub {
    pub snapshot: ArcSwap<spread::Snapshot>,
    /// Counts snapshots, so that a traffic thread sees cheaply that there is a new one.
    pub generation: AtomicU64,
    pub ready: AtomicBool,
    pub draining: AtomicBool,
    /// The store answered last time.
    pub store_up: AtomicBool,
    pub sheet: Mutex<usage::Sheet>,
    /// The shared state as the operators' listener shows it.
    pub shared: Mutex<spread::Shared>,
    pub duties: Mutex<Vec<duties::Status>>,
    pub bytes_out: AtomicU64,
    pub store_calls: AtomicU64,
    started: Instant,
}

impl Default for Hub {
    fn default() -> Self {
        Self {
            snapshot: ArcSwap::from_pointee(spread::Snapshot::default()),
            generation: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            store_up: AtomicBool::new(true),
            sheet: Mutex::default(),
            shared: Mutex::default(),
            duties: Mutex::default(),
            bytes_out: AtomicU64::new(0),
            store_calls: AtomicU64::new(0),
            started: Instant::now(),
        }
    }
}

impl Hub {
    /// Time on this daemon's own clock.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Counts usage into the billing window of this moment.
    pub fn count(&self, line: &usage::Line, figures: usage::Figures) {
        let snapshot = self.snapshot.load();
        let window_s = snapshot.config.as_ref().map_or(3600, |c| c.model.billing.window_s);
        let window = usage::Window(unix_ms() / 1000 / window_s);
        if let Ok(mut sheet) = self.sheet.lock() {
            sheet.add(window, line, figures);
        }
    }
}

/// Milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

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
    pub hub: Arc<Hub>,
    pub log: slog::Logger,
    pub platform: platform::Platform,
    pub boot: u64,
    secret: wire::Secret,
    me: RefCell<membership::Member>,
    shared: RefCell<spread::Shared>,
    socket: UdpSocket,
    pulls: RefCell<HashSet<SocketAddr>>,
    heard_peer: Cell<bool>,
    read_store: Cell<bool>,
}

/// Starts the control thread. It ends with the process.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn(
    settings: settings::Daemon,
    identity: Identity,
    hub: Arc<Hub>,
    log: slog::Logger,
    sockets: bound::Pair,
) -> anyhow::Result<()> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
        let outcome = runner.block_on(run(settings, identity, hub, log.clone(), sockets));
        if let Err(error) = outcome {
            slog::crit!(log, "control thread ended"; "error" => format!("{error:#}"));
        }
    })?;
    Ok(())
}

async fn run(
    settings: settings::Daemon,
    identity: Identity,
    hub: Arc<Hub>,
    log: slog::Logger,
    sockets: bound::Pair,
) -> anyhow::Result<()> {
    let control = Rc::new(Control {
        secret: wire::Secret::fleet(&settings.fleet_secret),
        me: RefCell::new(first_record(&settings, &identity, identity.boot)),
        shared: RefCell::default(),
        socket: UdpSocket::from_std(sockets.udp)?,
        pulls: RefCell::default(),
        heard_peer: Cell::new(false),
        read_store: Cell::new(false),
        platform: platform::Platform::open(&settings.platform_url).await?,
        boot: identity.boot,
        settings,
        hub,
        log,
    });
    let listener = TcpListener::from_std(sockets.tcp)?;
    control.write_own_record();
    task::spawn_local(serve_pulls(Rc::clone(&control), listener));
    task::spawn_local(receive_datagrams(Rc::clone(&control)));
    task::spawn_local(start(Rc::clone(&control)));
    task::spawn_local(read_roster(Rc::clone(&control)));
    duties::spawn(&control, identity.role);
    compare_digests(control).await;
    Ok(())
}

fn first_record(settings: &settings::Daemon, identity: &Identity, boot: u64) -> membership::Member {
    membership::Member {
        id: settings.id.clone(),
        version: unix_ms() * 1000,
        boot,
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
    pub fn secret(&self) -> &wire::Secret {
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
    #[must_use]
    pub fn is_reader(&self) -> bool {
        membership::is_reader(&self.shared.borrow().fleet, &self.me.borrow(), READERS_PER_ZONE)
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
        let Ok(bytes) = wire::seal_datagram(&self.secret, &wire::Datagram::Digest(digest)) else {
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

async fn start(control: Rc<Control>) {
    for addr in control.settings.seeds.clone() {
        if addr != control.settings.peer_addr {
            pull_soon(&control, addr);
        }
    }
    time::sleep(Duration::from_millis(PEERS_FIRST_MS)).await;
    loop {
        if control.is_reader() || !control.hub.ready.load(Ordering::Acquire) {
            read_store(&control).await;
        } else {
            time::sleep(Duration::from_millis(DIGEST_MS)).await;
        }
    }
}

/// Lists the shared objects and then watches them, for as long as this daemon is a reader.
async fn read_store(control: &Rc<Control>) {
    let listed = control.platform.list(store::SHARED_PREFIX).await;
    control.store_answered(&listed);
    let Ok(listing) = listed else {
        return wait_for_store().await;
    };
    control.read_store.set(true);
    let mut after = listing.revision;
    control.take(|shared| shared.take_objects(listing.objects));
    control.update_ready();
    if !control.is_reader() {
        // Only started without peers; wait for configuration a little before asking again.
        return wait_for_store().await;
    }
    loop {
        let watched = control.platform.watch(store::SHARED_PREFIX, after).await;
        control.store_answered(&watched);
        let Ok(listing) = watched else {
            return wait_for_store().await;
        };
        if listing.revision < after {
            // The store answers from an older state than it listed; start over with a listing.
            return wait_for_store().await;
        }
        after = listing.revision;
        control.take(|shared| shared.take_objects(listing.objects));
        if !control.is_reader() {
            return;
        }
    }
}

async fn wait_for_store() {
    // All readers lose the store at the same moment. Without jitter they would come back to it at
    // the same moment too, and its first minute would be its worst.
    let wait_ms = rand::random_range(STORE_RETRY_MS / 8..STORE_RETRY_MS);
    time::sleep(Duration::from_millis(wait_ms)).await;
}

async fn read_roster(control: Rc<Control>) {
    loop {
        let jitter_ms = rand::random_range(0..ROSTER_MS / 4);
        time::sleep(Duration::from_millis(ROSTER_MS + jitter_ms)).await;
        if !control.is_reader() {
            continue;
        }
        let read = control.platform.roster().await;
        control.hub.store_calls.fetch_add(1, Ordering::Relaxed);
        if let Ok(roster) = read {
            control.take(|shared| spread::Changed {
                roster: shared.take_roster(roster),
                ..Default::default()
            });
        }
    }
}

async fn compare_digests(control: Rc<Control>) {
    loop {
        let jitter_ms = rand::random_range(0..DIGEST_MS / 5);
        time::sleep(Duration::from_millis(DIGEST_MS - DIGEST_MS / 10 + jitter_ms)).await;
        if control.hub.draining.load(Ordering::Acquire) {
            control.set_state(membership::State::Draining);
        }
        control.send_digests(DIGEST_PEERS);
    }
}

async fn receive_datagrams(control: Rc<Control>) {
    let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((count, _)) = control.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match wire::open_datagram(&control.secret, &buffer[..count]) {
            Ok(wire::Datagram::Digest(digest)) => receive_digest(&control, &digest),
            Ok(_) => count_reject(wire::Reject::Message),
            Err(reject) => count_reject(reject),
        }
    }
}

/// Counts bytes that were not taken as a message.
pub fn count_reject(reject: wire::Reject) {
    let reason = match reject {
        wire::Reject::Size => "size",
        wire::Reject::Seal => "seal",
        wire::Reject::Message => "message",
    };
    metrics::counter!("briarwinch_rejected_messages_total", "reason" => reason).increment(1);
}

fn receive_digest(control: &Rc<Control>, digest: &membership::Digest) {
    let (behind, ahead) = {
        let shared = control.shared.borrow();
        (shared.is_behind(digest), shared.is_ahead(digest))
    };
    if behind {
        pull_soon(control, digest.sender);
    }
    if ahead && !digest.is_answer {
        control.send_digest(digest.sender, true);
    }
    if !behind && control.shared.borrow().config.is_some() {
        control.heard_peer.set(true);
        control.update_ready();
    }
}

fn pull_soon(control: &Rc<Control>, addr: SocketAddr) {
    {
        let mut pulls = control.pulls.borrow_mut();
        if pulls.len() >= MAX_PULLS || !pulls.insert(addr) {
            return;
        }
    }
    let control = Rc::clone(control);
    task::spawn_local(async move {
        let pulled = time::timeout(Duration::from_millis(2 * link::OPEN_MS), pull(&control, addr));
        if let Ok(Ok(())) = pulled.await {
            control.heard_peer.set(true);
            control.update_ready();
        }
        control.pulls.borrow_mut().remove(&addr);
    });
}

async fn pull(control: &Control, addr: SocketAddr) -> std::io::Result<()> {
    let name: &CompactString = &control.settings.id;
    let mut link = link::connect(addr, &control.secret, name).await?;
    loop {
        let pull = control.shared.borrow().pull();
        link.outbox.send(&pull);
        let Some(news) = link.inbox.next::<wire::News>().await? else {
            break;
        };
        let more = news.more_keys;
        control.take(|shared| shared.take_news(news));
        if !more {
            break;
        }
    }
    link.outbox.close();
    Ok(())
}

async fn serve_pulls(control: Rc<Control>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(DIGEST_MS / 10)).await;
            continue;
        };
        let control = Rc::clone(&control);
        task::spawn_local(async move {
            let served = serve_pull(&control, stream);
            // A peer that greets and then says nothing must not be kept for ever.
            let _ = time::timeout(Duration::from_millis(4 * link::OPEN_MS), served).await;
        });
    }
}

async fn serve_pull(control: &Control, stream: tokio::net::TcpStream) -> std::io::Result<()> {
    let mut link = link::accept(stream, &control.secret, &control.settings.id).await?;
    while let Some(pull) = link.inbox.next::<wire::Pull>().await? {
        let news = control.shared.borrow().news_for(&pull);
        link.outbox.send(&news);
        let sent = link.outbox.backlog_bytes() as u64;
        control.hub.bytes_out.fetch_add(sent, Ordering::Relaxed);
    }
    link.outbox.close();
    Ok(())
}
