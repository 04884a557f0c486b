//! The control thread of a forwarding entry: follows the store, exchanges state with the other
//! entries, contends for the duties, and hands snapshots to the traffic thread. Nothing on a
//! request's path waits for it.

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

use super::duties::{billing, delivery, duty, scaling, tally};
use super::fleet::{datagrams, exchange, members, peers, pulls, recall};
use super::policy::budget;
use super::{directory, evacuation, request, route, shared, watch};
use crate::{bound, clock, lease, seal, store};

/// What is followed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration.
    Config,
    /// The endpoints.
    Endpoints,
    /// The availability zones that are evacuated.
    Evacuations,
}

/// What is followed where zones may be evacuated; elsewhere the last is left out.
const TOPICS: [Topic; 3] = [Topic::Config, Topic::Endpoints, Topic::Evacuations];

/// Something that the store holds, decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    Config(Box<route::TableData>),
    Endpoint(directory::Event),
    Evacuation(evacuation::Change),
}

/// What a list or a watch brought.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The store's revision as of which this holds; a watch goes on from here.
    pub revision: u64,
    pub items: Vec<Item>,
}

/// Why a watch brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The store has dropped the changes since that revision: list again.
    HistoryGone,
    Failed(store::Failure),
}

/// Who acts under a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    pub id: CompactString,
    /// Grows with each change of holder.
    pub fence: lease::Epoch,
}

/// The platform as the control thread uses it: the port that an adapter fills.
#[expect(async_fn_in_trait, reason = "all users run on one thread and need no Send")]
pub trait Platform: store::ObjectStore {
    /// Lists all of a topic.
    async fn list_all(&self, topic: Topic) -> Result<Batch, store::Failure>;

    /// Asks the store for a sign of life, at little cost.
    async fn probe(&self) -> Result<(), store::Failure>;

    /// Waits for changes of a topic after a revision.
    async fn watch(&self, topic: Topic, from: u64, wait_ms: u64) -> Result<Batch, WatchFailure>;

    /// Asks an engine which prompt parts it holds.
    async fn held_parts(
        &self,
        engine: &directory::Endpoint,
    ) -> Result<Vec<request::PromptPart>, store::Failure>;

    /// Reports a billing window's counts.
    async fn report_usage(
        &self,
        holder: &Holder,
        seal: &billing::Sealed,
    ) -> Result<(), store::Failure>;

    /// Orders how many endpoints of a service run in a zone.
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
    /// Zones that were taken back just now, and when.
    taken_back: RefCell<HashMap<CompactString, u64>>,
    /// Wakes watches that wait at a store which no longer answers.
    pub(super) silence: Notify,
    pub(super) exchange: RefCell<exchange::Exchange>,
    /// This entry's counts on their way to those who bill.
    pub(super) outbox: RefCell<delivery::Outbox>,
    /// Up to when the other entries have counted.
    pub(super) settled: RefCell<delivery::Settled>,
    pub(super) sharers: Cell<budget::Sharers>,
    pub(super) socket: UdpSocket,
    /// This entry holds the duties.
    pub(super) holds_duties: Cell<bool>,
    /// What the others are told of a lease held here, as of a time.
    pub(super) own_lease: Cell<Option<(lease::Told, u64)>>,
    /// The newest that is known of another's lease, and since when, to be passed on.
    pub(super) passed_lease: Cell<Option<(lease::Told, u64)>>,
    /// What a holder has told last, and when.
    pub(super) told_lease: Cell<Option<(lease::Told, u64)>>,
    /// The store answered the last read of the lease.
    pub(super) reads_lease: Cell<bool>,
    /// What this entry has of what those before it knew.
    pub(super) remembered: RefCell<pulls::Remembered>,
    lists_known: Cell<bool>,
    /// Topics that this start of the entry has not listed at the store yet.
    pub(super) topics_to_list: Cell<usize>,
    /// Topics whose last call the store failed, in the order in which they failed first.
    failing: RefCell<Vec<Topic>>,
    /// Wakes what waits for the store to answer again.
    regained: Notify,
}

/// Zones from which on one reader each is enough: while it is gone, the others' readers tell its zone.
const MANY_ZONES: usize = 3;
/// Entries of a zone that look for the store's return often.
const FIRST_READERS: usize = 2;
/// While one topic looks for the store's return, the others wait for so long at least.
const SECOND_TOPIC: Duration = Duration::from_secs(3);
/// Exit code of an entry whose control thread has ended.
const EXIT_CONTROL: i32 = 70;

/// Starts the control thread; it ends with the process, and the process with it.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn<P: Platform + 'static>(
    shared: Arc<shared::Shared>,
    platform: impl FnOnce() -> P + Send + 'static,
    log: slog::Logger,
    sockets: bound::Pair,
) -> anyhow::Result<()> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
        let outcome = runner.block_on(run(shared, platform, log.clone(), sockets));
        if let Err(error) = outcome {
            slog::crit!(log, "control thread ended"; "error" => format!("{error:#}"));
        }
        // Traffic would go on by what was known last, for ever. Ended, the entry is replaced.
        std::process::exit(EXIT_CONTROL);
    })?;
    Ok(())
}

async fn run<P: Platform + 'static>(
    shared: Arc<shared::Shared>,
    platform: impl FnOnce() -> P,
    log: slog::Logger,
    sockets: bound::Pair,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(sockets.tcp)?;
    let control = Rc::new(Control {
        secret: seal::Secret::fleet(&shared.settings.fleet_secret),
        exchange: RefCell::new(open_exchange(&shared)),
        outbox: RefCell::new(delivery::Outbox::new(shared.boot, shared.billing_window_ms())),
        settled: RefCell::default(),
        sharers: Cell::default(),
        platform: platform(),
        table: RefCell::default(),
        directory: RefCell::default(),
        evacuations: RefCell::default(),
        taken_back: RefCell::default(),
        silence: Notify::new(),
        socket: UdpSocket::from_std(sockets.udp)?,
        holds_duties: Cell::new(false),
        own_lease: Cell::new(None),
        passed_lease: Cell::new(None),
        told_lease: Cell::new(None),
        reads_lease: Cell::new(true),
        remembered: RefCell::default(),
        lists_known: Cell::new(false),
        topics_to_list: Cell::new(topics(&shared).len()),
        failing: RefCell::default(),
        regained: Notify::new(),
        shared,
        log,
    });
    for topic in topics(&control.shared) {
        task::spawn_local(watch::follow(Rc::clone(&control), *topic));
    }
    task::spawn_local(watch::probe(Rc::clone(&control)));
    task::spawn_local(recall::ask_engines(Rc::clone(&control)));
    task::spawn_local(pulls::serve(Rc::clone(&control), listener));
    task::spawn_local(datagrams::receive(Rc::clone(&control)));
    task::spawn_local(members::enrol(Rc::clone(&control)));
    task::spawn_local(duty::contend(Rc::clone(&control)));
    datagrams::tell(control).await;
    Ok(())
}

fn topics(shared: &shared::Shared) -> &'static [Topic] {
    if shared.settings.evacuation_ms.is_some() { &TOPICS } else { &TOPICS[..2] }
}

fn open_exchange(shared: &shared::Shared) -> exchange::Exchange {
    let settings = &shared.settings;
    let own = exchange::Own {
        addr: settings.peer_addr(),
        boot: shared.boot,
        zone: settings.zone.clone(),
        strength: settings.strength(),
    };
    let now_ms = clock::boot_ms();
    exchange::Exchange::new(own, peers::Peers::new(settings, now_ms), now_ms)
}

impl<P> Control<P> {
    pub(super) fn now_ms(&self) -> u64 {
        clock::boot_ms()
    }

    /// Notes whether the store answered a call for a topic.
    pub(super) fn store_answered(&self, topic: Topic, is_good: bool) {
        let mut failing = self.failing.borrow_mut();
        let is_failing = failing.contains(&topic);
        if is_good && is_failing {
            failing.retain(|one| *one != topic);
            self.regained.notify_waiters();
        } else if !is_good && !is_failing {
            failing.push(topic);
        }
    }

    /// Whether the store answered the last calls.
    pub(super) fn has_store(&self) -> bool {
        self.failing.borrow().is_empty()
    }

    /// Waits until the store has answered a call for another topic, where that one failed first; for so long
    /// at most. So an outage costs one call at a time, not one for each topic.
    pub(super) async fn other_topic_is_answered(&self, topic: Topic, most: Duration) {
        let is_first = self.failing.borrow().first() == Some(&topic);
        if is_first {
            time::sleep(most).await;
        } else {
            let _ = time::timeout(most.max(SECOND_TOPIC), self.regained.notified()).await;
        }
    }

    /// Whether enough others of this zone would read the store before this entry.
    pub(super) fn is_behind_readers(&self) -> bool {
        self.exchange.borrow().peers.reading_rank(self.now_ms()) >= FIRST_READERS
    }

    /// Whether this entry reads the store for its zone. The others learn from their aggregator, so that the
    /// calls to the store grow with the zones and not with the fleet.
    pub(super) fn reads_store(&self) -> bool {
        let now_ms = self.now_ms();
        let peers = &self.exchange.borrow().peers;
        let zones = 1 + peers.other_zones(now_ms).len();
        let readers = if zones >= MANY_ZONES { 1 } else { 2 };
        peers.readers_before(now_ms) < readers
    }

    /// Takes a configuration, if it is newer than the one in force.
    pub(super) fn take_table(&self, parts: route::TableData, source: &'static str) {
        let known = self.config_version();
        if parts.version <= known {
            return;
        }
        slog::info!(self.log, "configuration in force"; "version" => parts.version,
            "before" => known, "routes" => parts.routes.len(), "source" => source);
        *self.table.borrow_mut() = Some(Arc::new(route::Table::from(parts)));
        self.publish();
    }

    /// Version of the configuration in force; zero: none.
    pub(super) fn config_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.version())
    }

    /// Runs a change on the directory and publishes the outcome if it changed anything.
    pub(super) fn change_directory(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut directory::Directory) -> bool,
    ) {
        let before = self.directory.borrow().clone();
        let is_changed = change(&mut self.directory.borrow_mut());
        self.lists_known.set(true);
        if is_changed {
            self.log_directory(&before, source);
        }
        if is_changed || !self.shared.is_ready.load(Ordering::Acquire) {
            self.publish();
        }
    }

    fn log_directory(&self, before: &directory::Directory, source: &'static str) {
        let directory = self.directory.borrow();
        for endpoint in directory.endpoints() {
            let old = before.find(endpoint.key);
            if old.is_some_and(|old| old.started_unix_ms != endpoint.started_unix_ms) {
                self.shared.prefix_locations().forget(endpoint.key);
            }
            if old.is_none_or(|old| old != endpoint) {
                slog::info!(self.log, "endpoint known"; "endpoint" => endpoint.id.as_str(),
                    "service" => endpoint.service.as_str(), "addr" => endpoint.addr.to_string(),
                    "zone" => endpoint.zone.as_str(), "leaving" => endpoint.is_leaving,
                    "started" => endpoint.started_unix_ms,
                    "revision" => directory.revision(), "source" => source);
            }
        }
        let now_ms = self.now_ms();
        let is_news =
            |cold: &directory::Cold| before.cold_until_ms(cold.endpoint, now_ms).is_none();
        for cold in directory.cold(now_ms).into_iter().filter(is_news) {
            let id = directory.find(cold.endpoint).map(|endpoint| endpoint.id.as_str());
            slog::info!(self.log, "endpoint cold"; "endpoint" => id, "left_ms" => cold.remaining_ms,
                "revision" => directory.revision(), "source" => source);
        }
        for old in before.endpoints().iter().filter(|old| directory.find(old.key).is_none()) {
            self.shared.prefix_locations().forget(old.key);
            slog::info!(self.log, "endpoint gone"; "endpoint" => old.id.as_str(),
                "revision" => directory.revision(), "source" => source);
        }
    }

    /// Hands what is known to the traffic thread.
    fn publish(&self) {
        let table = self.table.borrow().clone();
        let evacuations = self.evacuations.borrow().clone();
        let knows_zones = evacuations.is_known() || self.shared.settings.evacuation_ms.is_none();
        let is_ready = table.is_some() && self.lists_known.get() && knows_zones;
        let directory = Arc::new(self.directory.borrow().clone());
        let warming = self.warming(table.as_deref(), &directory, self.now_ms());
        let snapshot = shared::Snapshot { table, directory, evacuations, warming };
        self.shared.snapshot.store(Arc::new(snapshot));
        if is_ready && !self.shared.is_ready.swap(true, Ordering::AcqRel) {
            slog::info!(self.log, "ready"; "version" => self.config_version());
        }
    }

    /// What this start of the entry has counted.
    pub(super) fn counts(&self) -> tally::Counts {
        self.shared.tally().newest_of(self.shared.boot, tally::KEPT_WINDOWS as usize)
    }
}
