//! The control thread of a forwarding entry: follows the store, exchanges state with the other entries,
//! contends for the duties, and publishes snapshots for the traffic thread. No request waits for it.

mod restrictions;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::{task, time};

use super::duties::{delivery, election, scaling, seals, tally};
use super::fleet::{
    datagrams, exchange, members, peers, prefix_recovery, pulls, stream_keepers, version_store,
};
use super::policy::{budget, outage};
use super::{directory, evacuation, request, route, shared, watch};
use crate::{clock, lease, seal, sockets, store};

/// A kind of objects that is followed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration by the operators.
    Config,
    /// The endpoints.
    Endpoints,
    /// The evacuated availability zones.
    Evacuations,
}

/// All topics; the last one is followed only where zones may be evacuated.
const TOPICS: [Topic; 3] = [Topic::Config, Topic::Endpoints, Topic::Evacuations];

/// Where a change of the endpoints comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum UpdateSource {
    /// The store, which has served this entry without failures.
    #[display("store")]
    SoundStore,
    /// The store, around an outage: records of live endpoints may have expired.
    #[display("store")]
    RecoveringStore,
    #[display("peer")]
    Peer,
    #[display("grace time over")]
    Expiry,
}

/// A decoded object or change from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    Config(Box<route::TableData>),
    Endpoint(directory::Event),
    Evacuation(evacuation::Change),
}

/// The result of a list or a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The store's era and revision of this result, see [`store::Era::version`]; the next watch continues from it.
    pub revision: u64,
    pub items: Vec<Item>,
}

/// Why a watch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The store no longer has all changes since the given revision; the topic must be listed again.
    HistoryGone,
    Failed(store::Failure),
}

/// The duty holder on whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    pub id: CompactString,
    /// Fencing token; grows with each change of holder.
    pub fence: lease::Epoch,
    /// Time by [`clock::boot_ms`] from which nothing may be sent, since the term may have ended.
    pub send_until_ms: u64,
}

/// The platform as the control thread uses it: the port that an adapter implements.
#[expect(async_fn_in_trait, reason = "all users run on one thread and need no Send")]
pub trait Platform: store::ObjectStore {
    /// Lists all objects of a topic.
    async fn list_all(&self, topic: Topic) -> Result<Batch, store::Failure>;

    /// Checks with a cheap call that the store answers.
    async fn probe(&self) -> Result<(), store::Failure>;

    /// Waits up to `wait_ms` for changes of a topic after the revision `from`.
    async fn watch(&self, topic: Topic, from: u64, wait_ms: u64) -> Result<Batch, WatchFailure>;

    /// Asks an engine which prompt parts its prefix cache holds.
    async fn held_parts(
        &self,
        engine: &directory::Endpoint,
    ) -> Result<Vec<request::PromptPart>, store::Failure>;

    /// Reports a billing window's counts.
    async fn report_usage(
        &self,
        holder: &Holder,
        seal: &seals::SealedWindow,
    ) -> Result<(), store::Failure>;

    /// Orders the number of endpoints of a service in a zone.
    async fn order_endpoints(
        &self,
        holder: &Holder,
        order: &scaling::Order,
    ) -> Result<(), store::Failure>;
}

/// The control thread's state.
#[derive(Debug)]
pub struct Control<P> {
    pub shared: Arc<shared::Shared>,
    pub platform: P,
    pub log: slog::Logger,
    pub(super) secret: seal::Secret,
    pub(super) table: RefCell<Option<Arc<route::Table>>>,
    pub(super) directory: RefCell<directory::Directory>,
    pub(super) evacuations: RefCell<evacuation::Evacuations>,
    /// Since when endpoints have been kept although their record has disappeared.
    kept_since_ms: RefCell<HashMap<directory::EndpointKey, u64>>,
    /// Zones whose evacuation ended recently, with the time.
    restored_at_ms: RefCell<HashMap<CompactString, u64>>,
    /// Wakes watches that wait for a store that no longer answers.
    pub(super) store_silent: Notify,
    /// Wakes watches that wait for changes of an older era of the store.
    pub(super) store_restored: Notify,
    pub(super) exchange: RefCell<exchange::Exchange>,
    /// Delivers this entry's counts to the collectors.
    pub(super) outbox: RefCell<delivery::Outbox>,
    /// Time up to which the counts of each other entry are complete.
    pub(super) watermarks: RefCell<delivery::Watermarks>,
    pub(super) fleet_size: Cell<budget::FleetSize>,
    /// Basis of the shares of endpoints' limits as it was last logged.
    share_basis: Cell<Option<restrictions::ShareBasis>>,
    pub(super) socket: UdpSocket,
    /// Whether this entry holds the duties.
    pub(super) holds_duties: Cell<bool>,
    /// The notice about a term held here, with its time.
    pub(super) own_term_notice: Cell<Option<(lease::TermNotice, u64)>>,
    /// The newest notice about the term of another entry, with its time of receipt, to be relayed.
    pub(super) relayed_term_notice: Cell<Option<(lease::TermNotice, u64)>>,
    /// The last notice of a holder that the election has not processed yet, with its time of receipt.
    pub(super) received_term_notice: Cell<Option<(lease::TermNotice, u64)>>,
    /// Whether the store answered the last read of the lease.
    pub(super) is_lease_readable: Cell<bool>,
    /// How far this entry has recovered the state that its peers have from before its start.
    pub(super) soft_state_pull: RefCell<pulls::SoftStatePull>,
    /// Whether a list of the endpoints was received, from the store or a peer.
    has_endpoint_list: Cell<bool>,
    /// Number of topics that this process has not listed in the store yet.
    pub(super) topics_to_list: Cell<usize>,
    /// Topics whose last call to the store failed, in the order of their first failure.
    failing_topics: RefCell<Vec<Topic>>,
    /// Wakes the topics that wait until the store answers again.
    store_regained: Notify,
    /// When the store last answered a watch or a probe.
    pub(super) store_answered_ms: Cell<u64>,
    /// Since when the store has answered this entry, or the one that reads it for the zone.
    store_available_since_ms: Cell<Option<u64>>,
}

/// Number of zones from which one reader in each is enough: while it is gone, the readers of other zones
/// inform its zone.
const MANY_ZONES: usize = 3;
/// Number of entries of a zone that retry a failed store frequently.
const FREQUENT_READERS: usize = 2;
/// While the topic that failed first retries the store, the others wait this long or longer for its success.
const OTHER_TOPICS_WAIT: Duration = Duration::from_secs(3);
/// Exit code of an entry whose control thread has ended.
const EXIT_CONTROL: i32 = 70;

/// Starts the control thread. The process exits if the thread ends.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn<P: Platform + 'static>(
    shared: Arc<shared::Shared>,
    platform: impl FnOnce() -> P + Send + 'static,
    log: slog::Logger,
    sockets: sockets::TcpUdpPair,
) -> anyhow::Result<()> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
        let outcome = runner.block_on(run(shared, platform, log.clone(), sockets));
        if let Err(error) = outcome {
            slog::crit!(log, "control thread ended"; "error" => format!("{error:#}"));
        }
        // Without this thread, traffic would use the last known state forever. After the exit the platform
        // replaces the entry.
        std::process::exit(EXIT_CONTROL);
    })?;
    Ok(())
}

async fn run<P: Platform + 'static>(
    shared: Arc<shared::Shared>,
    platform: impl FnOnce() -> P,
    log: slog::Logger,
    sockets: sockets::TcpUdpPair,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(sockets.tcp)?;
    let control = Rc::new(Control {
        secret: seal::Secret::fleet(&shared.settings.fleet_secret),
        exchange: RefCell::new(open_exchange(&shared)),
        outbox: RefCell::new(delivery::Outbox::new(shared.boot, shared.billing_window_ms())),
        watermarks: RefCell::default(),
        fleet_size: Cell::default(),
        share_basis: Cell::default(),
        platform: platform(),
        table: RefCell::default(),
        directory: RefCell::new(directory::Directory::new(outage::leave_grace_ms(
            shared.settings.leave_ms,
        ))),
        evacuations: RefCell::default(),
        kept_since_ms: RefCell::default(),
        restored_at_ms: RefCell::default(),
        store_silent: Notify::new(),
        store_restored: Notify::new(),
        socket: UdpSocket::from_std(sockets.udp)?,
        holds_duties: Cell::new(false),
        own_term_notice: Cell::new(None),
        relayed_term_notice: Cell::new(None),
        received_term_notice: Cell::new(None),
        is_lease_readable: Cell::new(true),
        soft_state_pull: RefCell::default(),
        has_endpoint_list: Cell::new(false),
        topics_to_list: Cell::new(topics(&shared).len()),
        failing_topics: RefCell::default(),
        store_regained: Notify::new(),
        store_answered_ms: Cell::new(0),
        store_available_since_ms: Cell::new(None),
        shared,
        log,
    });
    for topic in topics(&control.shared) {
        task::spawn_local(watch::follow(Rc::clone(&control), *topic));
    }
    task::spawn_local(watch::probe(Rc::clone(&control)));
    task::spawn_local(prefix_recovery::query_engines(Rc::clone(&control)));
    task::spawn_local(pulls::serve(Rc::clone(&control), listener));
    task::spawn_local(datagrams::run_receiver(Rc::clone(&control)));
    task::spawn_local(stream_keepers::run(Rc::clone(&control)));
    task::spawn_local(version_store::run(Rc::clone(&control)));
    task::spawn_local(members::register_and_discover(Rc::clone(&control)));
    task::spawn_local(election::contend(Rc::clone(&control)));
    datagrams::run_sender(control).await;
    Ok(())
}

fn topics(shared: &shared::Shared) -> &'static [Topic] {
    if shared.settings.evacuation_ms.is_some() { &TOPICS } else { &TOPICS[..2] }
}

fn open_exchange(shared: &shared::Shared) -> exchange::Exchange {
    let settings = &shared.settings;
    let own = exchange::Identity {
        addr: settings.peer_addr(),
        boot: shared.boot,
        zone: settings.zone.clone(),
        millicores: settings.millicores(),
    };
    let now_ms = clock::boot_ms();
    exchange::Exchange::new(own, peers::Peers::new(settings, now_ms), now_ms)
}

impl<P> Control<P> {
    pub(super) fn now_ms(&self) -> u64 {
        clock::boot_ms()
    }

    /// Records whether the store answered a call for a topic.
    pub(super) fn record_store_outcome(&self, topic: Topic, is_good: bool) {
        let mut failing = self.failing_topics.borrow_mut();
        let is_failing = failing.contains(&topic);
        if is_good && is_failing {
            failing.retain(|one| *one != topic);
            self.store_regained.notify_waiters();
        } else if !is_good && !is_failing {
            failing.push(topic);
        }
    }

    /// Whether the store answered the last call of every topic.
    pub(super) fn is_store_available(&self) -> bool {
        self.failing_topics.borrow().is_empty()
    }

    /// Waits before the next call for a failed topic. The topic that failed first waits for `pause`. The
    /// others wait until the store answers a call, at most for the longer of `pause` and
    /// `OTHER_TOPICS_WAIT`. So an outage costs one call at a time, not one for each topic.
    pub(super) async fn wait_to_retry(&self, topic: Topic, pause: Duration) {
        let is_first = self.failing_topics.borrow().first() == Some(&topic);
        if is_first {
            time::sleep(pause).await;
        } else {
            let _ =
                time::timeout(pause.max(OTHER_TOPICS_WAIT), self.store_regained.notified()).await;
        }
    }

    /// Whether enough other entries of this zone come before this one as readers of the store.
    pub(super) fn is_standby_reader(&self) -> bool {
        self.exchange.borrow().peers.store_reader_rank(self.now_ms()) >= FREQUENT_READERS
    }

    /// Whether this entry reads the store for its zone. The others receive changes from their zone's
    /// aggregator, so the load on the store grows with the zones and not with the fleet.
    pub(super) fn reads_store(&self) -> bool {
        let now_ms = self.now_ms();
        let peers = &self.exchange.borrow().peers;
        let zones = 1 + peers.other_zones(now_ms).len();
        let readers = if zones >= MANY_ZONES { 1 } else { 2 };
        peers.active_readers_before(now_ms) < readers
    }

    /// Notes up to when the directory is known to be current. After an outage of the store, endpoints first have to
    /// write their records again.
    pub(super) fn confirm_directory(&self, now_ms: u64) {
        let is_read_here = self.reads_store();
        let heard_ms = match is_read_here {
            true => self.is_store_available().then(|| self.store_answered_ms.get()),
            false => self.exchange.borrow().peers.store_reader_heard_ms(now_ms),
        };
        let Some(heard_ms) = heard_ms else {
            self.store_available_since_ms.set(None);
            return;
        };
        self.shared.store_heard_ms.store(heard_ms, Ordering::Relaxed);
        let since_ms = self.store_available_since_ms.get().unwrap_or(now_ms);
        self.store_available_since_ms.set(Some(since_ms));
        if now_ms >= since_ms + outage::LAPSE_GRACE_MS {
            let at_ms = if is_read_here { self.store_answered_ms.get() } else { now_ms };
            self.shared.directory_confirmed_ms.store(at_ms, Ordering::Relaxed);
        }
    }

    /// Applies a configuration if it is newer than the one in force.
    pub(super) fn apply_config(&self, parts: route::TableData, source: &'static str) {
        let known = self.config_version();
        if parts.version <= known {
            return;
        }
        slog::info!(self.log, "configuration in force"; "version" => parts.version,
            "before" => known, "routes" => parts.routes.len(), "source" => source);
        *self.table.borrow_mut() = Some(Arc::new(route::Table::from(parts)));
        self.publish();
    }

    /// Returns the version of the configuration in force, or zero without one.
    pub(super) fn config_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.version())
    }

    /// Applies endpoints received from the store or a peer, and publishes the result if it differs.
    pub(super) fn update_directory(
        &self,
        source: UpdateSource,
        change: impl FnOnce(&mut directory::Directory) -> bool,
    ) {
        self.has_endpoint_list.set(true);
        self.change_directory(source, change);
    }

    /// Removes endpoints whose grace period is over.
    pub(super) fn expire_endpoints(&self, now_ms: u64) {
        self.change_directory(UpdateSource::Expiry, |directory| directory.expire(now_ms));
    }

    fn change_directory(
        &self,
        source: UpdateSource,
        change: impl FnOnce(&mut directory::Directory) -> bool,
    ) {
        let before = self.directory.borrow().clone();
        let is_changed = change(&mut self.directory.borrow_mut());
        self.log_kept_endpoints(&before, source);
        self.log_outdated_records(&before, source);
        if is_changed {
            let now_ms = self.now_ms();
            self.shared.served_versions().observe(&before, &self.directory.borrow(), now_ms);
            let is_certain = source == UpdateSource::SoundStore;
            self.directory.borrow_mut().record_removals(&before, now_ms, is_certain);
            self.log_directory(&before, source);
        }
        let lapsed = self.directory.borrow().lapsed(0);
        let is_kept = |key| lapsed.iter().any(|one| one.endpoint == key);
        self.kept_since_ms.borrow_mut().retain(|key, _| is_kept(*key));
        if is_changed || !self.shared.is_ready.load(Ordering::Acquire) {
            self.publish();
        }
    }

    /// Logs endpoints whose record has disappeared and that are kept for a grace period.
    fn log_kept_endpoints(&self, before: &directory::Directory, source: UpdateSource) {
        let directory = self.directory.borrow();
        let now_ms = self.now_ms();
        let known = before.lapsed(now_ms);
        for lapsed in directory.lapsed(now_ms) {
            if known.iter().any(|one| one.endpoint == lapsed.endpoint) {
                continue;
            }
            self.kept_since_ms.borrow_mut().entry(lapsed.endpoint).or_insert(now_ms);
            let id = directory.find(lapsed.endpoint).map(|endpoint| endpoint.id.as_str());
            slog::info!(self.log, "endpoint kept without a record"; "endpoint" => id,
                "left_ms" => lapsed.remaining_ms, "list_age_ms" => self.shared.directory_age_ms(),
                "revision" => directory.revision(), "source" => source.to_string());
        }
    }

    /// Logs records that are set aside because they were not written since the store was restored.
    fn log_outdated_records(&self, before: &directory::Directory, source: UpdateSource) {
        let directory = self.directory.borrow();
        for listed in directory.set_aside().filter(|one| before.set_aside().all(|old| old != *one))
        {
            let known = directory.find(listed.key);
            slog::info!(self.log, "endpoint record outdated"; "endpoint" => listed.id.as_str(),
                "started" => listed.started_unix_ms, "endpoint_version" => listed.version.as_str(),
                "known_started" => known.map(|known| known.started_unix_ms),
                "revision" => directory.revision(), "source" => source.to_string());
        }
    }

    fn log_directory(&self, before: &directory::Directory, source: UpdateSource) {
        let directory = self.directory.borrow();
        for endpoint in directory.endpoints() {
            let old = before.find(endpoint.key);
            if old.is_some_and(|old| old.started_unix_ms != endpoint.started_unix_ms) {
                self.shared.prefix_index().remove_endpoint(endpoint.key);
            }
            if old.is_none_or(|old| old != endpoint) {
                slog::info!(self.log, "endpoint known"; "endpoint" => endpoint.id.as_str(),
                    "service" => endpoint.service.as_str(), "addr" => endpoint.addr.to_string(),
                    "zone" => endpoint.zone.as_str(), "leaving" => endpoint.is_leaving,
                    "started" => endpoint.started_unix_ms,
                    "endpoint_version" => endpoint.version.as_str(),
                    "revision" => directory.revision(), "source" => source.to_string());
            }
        }
        let now_ms = self.now_ms();
        let is_newly_cold =
            |cold: &directory::Cold| before.cold_until_ms(cold.endpoint, now_ms).is_none();
        for cold in directory.cold(now_ms).into_iter().filter(is_newly_cold) {
            let id = directory.find(cold.endpoint).map(|endpoint| endpoint.id.as_str());
            slog::info!(self.log, "endpoint cold"; "endpoint" => id, "left_ms" => cold.remaining_ms,
                "revision" => directory.revision(), "source" => source.to_string());
        }
        for old in before.endpoints().iter().filter(|old| directory.find(old.key).is_none()) {
            self.shared.prefix_index().remove_endpoint(old.key);
            let kept_since_ms = self.kept_since_ms.borrow().get(&old.key).copied();
            slog::info!(self.log, "endpoint gone"; "endpoint" => old.id.as_str(),
                "kept_ms" => kept_since_ms.map(|since_ms| now_ms - since_ms),
                "list_age_ms" => self.shared.directory_age_ms(),
                "revision" => directory.revision(), "source" => source.to_string());
        }
    }

    /// Publishes a snapshot of the current state for the traffic thread.
    fn publish(&self) {
        let table = self.table.borrow().clone();
        let evacuations = self.evacuations.borrow().clone();
        let knows_zones = evacuations.is_known() || self.shared.settings.evacuation_ms.is_none();
        let is_ready = table.is_some() && self.has_endpoint_list.get() && knows_zones;
        let directory = Arc::new(self.directory.borrow().clone());
        let cold_endpoints = self.cold_endpoints(table.as_deref(), &directory, self.now_ms());
        let snapshot = shared::Snapshot { table, directory, evacuations, cold_endpoints };
        self.shared.snapshot.store(Arc::new(snapshot));
        if is_ready && !self.shared.is_ready.swap(true, Ordering::AcqRel) {
            slog::info!(self.log, "ready"; "version" => self.config_version());
        }
    }

    /// Returns the counts of this process.
    pub(super) fn own_counts(&self) -> tally::Counts {
        self.shared.tally().newest_of(self.shared.boot, tally::KEPT_WINDOWS as usize)
    }
}
