//! Keeps in the store which software versions have served and which of them began the streams, for the time
//! after all entries have ended.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::gateway::control::{Control, Platform};
use crate::gateway::route;
use crate::gateway::served_versions::History;
use crate::gateway::stream_versions::{RETENTION_MS, SavedStreams};
use crate::store::{Condition, Era};

const HISTORY_KEY: &str = "briarwinch-versions/served";
/// Prefix of the keys under which entries save the versions of their streams.
const STREAMS_PREFIX: &str = "briarwinch-streams/";
/// Maximum interval between two checks of what is due.
const TICK_MS: u64 = 100;
/// Interval between two comparisons of the known versions with the stored ones.
const CHECK_MS: u64 = 300;
/// Pause after a failed call to the store.
const RETRY_MS: u64 = 500;
/// Time after which another entry than the first-ranked one writes the history.
const TAKEOVER_MS: u64 = 2_000;
/// Seed by which one entry ranks first for writing the history.
const WRITER_SEED: u64 = 0x7665_7273;
/// Minimum interval between two saves of this entry's streams.
const SAVE_INTERVAL_MS: u64 = 50;
/// Maximum rate of these writes of one entry in bytes, and of all entries in calls.
const SAVE_BYTES_PER_S: u64 = 50_000;
const SAVES_PER_S: u64 = 80;
/// Minimum interval between two loads of all entries' streams.
const LOAD_INTERVAL_MS: u64 = 5_000;

/// What this entry knows of the objects in the store.
#[derive(Debug, Default)]
struct VersionStore {
    /// The stored history with its version; none until it is read.
    history: Option<(u64, History)>,
    /// Since when the stored history lists other versions than this entry knows.
    outdated_since_ms: Option<u64>,
    next_check_ms: u64,
    /// Version of the object with this entry's streams; none until it is read.
    own_version: Option<u64>,
    /// Whether the streams that an earlier process of this entry saved have been learned.
    has_former_streams: bool,
    next_save_ms: u64,
    next_load_ms: u64,
}

/// Reads and writes the stored versions until the process ends.
pub(in crate::gateway) async fn run<P: Platform>(control: Rc<Control<P>>) {
    let mut store = VersionStore::default();
    loop {
        let now_ms = control.now_ms();
        if now_ms >= store.next_check_ms {
            store.next_check_ms = now_ms + CHECK_MS;
            store.update_history(&control, now_ms).await;
        }
        let has_unsaved = control.shared.stream_versions().has_unsaved();
        if has_unsaved && now_ms >= store.next_save_ms {
            store.save_streams(&control, now_ms).await;
        }
        if control.shared.stream_versions().is_load_due() {
            store.load_streams(&control, now_ms).await;
        }
        let now_ms = control.now_ms();
        let save_ms = store.next_save_ms.saturating_sub(now_ms).clamp(1, TICK_MS);
        let has_unsaved = control.shared.stream_versions().has_unsaved();
        let pause = Duration::from_millis(if has_unsaved { save_ms } else { TICK_MS });
        let _ = time::timeout(pause, control.shared.version_store_due.notified()).await;
    }
}

impl VersionStore {
    /// Reads the history at the start, and writes it when a version comes or goes.
    async fn update_history<P: Platform>(&mut self, control: &Control<P>, now_ms: u64) {
        if self.history.is_none() && !self.read_history(control).await {
            self.next_check_ms = now_ms + RETRY_MS;
            return;
        }
        let Some(known) = known_history(control) else {
            return;
        };
        if !self.is_outdated(&known) {
            self.outdated_since_ms = None;
            return;
        }
        let since_ms = *self.outdated_since_ms.get_or_insert(now_ms);
        if !control.reads_store() {
            return;
        }
        if !control.exchange.borrow().peers.is_first_for(WRITER_SEED, now_ms) {
            if now_ms < since_ms + TAKEOVER_MS {
                return;
            }
            // The first-ranked entry has probably written the history meanwhile.
            self.outdated_since_ms = None;
            if !self.read_history(control).await || !self.is_outdated(&known) {
                return;
            }
        }
        self.write_history(control, known).await;
    }

    fn is_outdated(&self, known: &History) -> bool {
        self.history.as_ref().is_none_or(|(_, stored)| !stored.lists_same(known))
    }

    async fn read_history<P: Platform>(&mut self, control: &Control<P>) -> bool {
        let object = match control.platform.get(HISTORY_KEY).await {
            Ok(object) => object,
            Err(failure) => {
                slog::info!(control.log, "reading served versions failed";
                    "failure" => failure.to_string());
                return false;
            }
        };
        let era = control.platform.era();
        let is_absent = object.is_none();
        let version = object.as_ref().map_or(era.version(0), |object| object.version);
        let decoded = object.and_then(|object| {
            let decoded = serde_json::from_str::<History>(&object.value);
            let log_error = |error: &serde_json::Error| {
                slog::error!(control.log, "served versions cannot be decoded";
                    "error" => error.to_string());
            };
            decoded.inspect_err(log_error).ok()
        });
        let current = decoded.as_ref().filter(|history| history.era == era.0);
        let mut served = control.shared.served_versions();
        if !served.is_history_read() {
            let is_trusted = is_absent || current.is_some();
            slog::info!(control.log, "served versions read"; "era" => era.0,
                "trusted" => is_trusted);
            if is_trusted {
                served.load(current, control.now_ms(), control.shared.time.unix_ms());
            } else {
                served.skip_history();
            }
        }
        self.history = Some((version, decoded.unwrap_or_default()));
        true
    }

    async fn write_history<P: Platform>(&mut self, control: &Control<P>, mut known: History) {
        let Some((version, stored)) = self.history.take() else {
            return;
        };
        let unix_ms = control.shared.time.unix_ms();
        known.add_left(&stored, unix_ms.saturating_sub(RETENTION_MS), unix_ms);
        let value = serde_json::to_string(&known).unwrap_or_default();
        match control.platform.put(HISTORY_KEY, value, Condition::at(version)).await {
            Ok(version) => {
                slog::info!(control.log, "served versions saved"; "era" => known.era);
                self.history = Some((version, known));
                self.outdated_since_ms = None;
            }
            Err(failure) => {
                slog::info!(control.log, "served versions not saved";
                    "failure" => failure.to_string());
                self.next_check_ms = control.now_ms() + RETRY_MS;
            }
        }
    }

    /// Saves the streams that this entry began, if their version may be in doubt once all entries have ended.
    async fn save_streams<P: Platform>(&mut self, control: &Control<P>, now_ms: u64) {
        self.next_save_ms = now_ms + CHECK_MS;
        if !have_several_versions_served(control, now_ms) {
            return;
        }
        self.next_save_ms = now_ms + RETRY_MS;
        let key = format!("{STREAMS_PREFIX}{}", control.shared.settings.id);
        if self.own_version.is_none() && !self.read_own_streams(control, &key).await {
            return;
        }
        let Some(version) = self.own_version else {
            return;
        };
        let unix_ms = control.shared.time.unix_ms();
        let saved = control.shared.stream_versions().save(now_ms, unix_ms);
        let value = serde_json::to_string(&saved).unwrap_or_default();
        let size_ms = value.len() as u64 * 1_000 / SAVE_BYTES_PER_S;
        match control.platform.put(&key, value, Condition::at(version)).await {
            Ok(version) => {
                self.own_version = Some(version);
                let entries = 1 + control.exchange.borrow().peers.live_count(now_ms) as u64;
                let fleet_ms = entries * 1_000 / SAVES_PER_S;
                self.next_save_ms = now_ms + SAVE_INTERVAL_MS.max(size_ms).max(fleet_ms);
            }
            Err(failure) => {
                self.own_version = None;
                control.shared.stream_versions().set_unsaved();
                slog::info!(control.log, "streams not saved"; "failure" => failure.to_string());
            }
        }
    }

    /// Reads the object with this entry's streams, and learns what an earlier process has saved there.
    async fn read_own_streams<P: Platform>(&mut self, control: &Control<P>, key: &str) -> bool {
        match control.platform.get(key).await {
            Ok(None) => self.own_version = Some(control.platform.era().version(0)),
            Ok(Some(object)) => {
                if !self.has_former_streams {
                    learn(control, &object.value, true);
                }
                self.own_version = Some(object.version);
            }
            Err(failure) => {
                slog::info!(control.log, "streams not saved"; "failure" => failure.to_string());
                return false;
            }
        }
        self.has_former_streams = true;
        true
    }

    /// Loads the streams that all entries have saved, if this entry reads the store for its zone.
    async fn load_streams<P: Platform>(&mut self, control: &Control<P>, now_ms: u64) {
        if !control.reads_store() {
            control.shared.stream_versions().leave_load_to_reader();
            return;
        }
        if now_ms < self.next_load_ms {
            return;
        }
        self.next_load_ms = now_ms + LOAD_INTERVAL_MS;
        match control.platform.list(STREAMS_PREFIX).await {
            Ok(listing) => {
                listing.objects.iter().for_each(|object| learn(control, &object.value, false));
                slog::info!(control.log, "streams loaded"; "objects" => listing.objects.len());
            }
            Err(failure) => {
                slog::info!(control.log, "streams not loaded"; "failure" => failure.to_string());
            }
        }
        control.shared.stream_versions().end_load();
    }
}

fn learn<P>(control: &Control<P>, value: &str, is_own: bool) {
    match serde_json::from_str::<SavedStreams>(value) {
        Ok(saved) => {
            let (now_ms, unix_ms) = (control.now_ms(), control.shared.time.unix_ms());
            control.shared.stream_versions().learn_saved(&saved, is_own, now_ms, unix_ms);
        }
        Err(error) => {
            slog::error!(control.log, "saved streams cannot be decoded";
                "error" => error.to_string());
        }
    }
}

/// Returns the services of each route with resumable streams.
fn resumable_routes(table: &route::Table) -> impl Iterator<Item = Vec<&str>> {
    let is_resumable =
        |route: &&route::Route| matches!(route.kind, route::Kind::Stream { resumable: true });
    table.routes().iter().filter(is_resumable).map(|route| {
        let services = route.weighted_services.iter();
        services.map(|one| table.service(one.service).name.as_str()).collect()
    })
}

/// Returns the history to be stored, if this entry knows the versions of the whole retention time.
fn known_history<P: Platform>(control: &Control<P>) -> Option<History> {
    let now_ms = control.now_ms();
    let table = control.table.borrow().clone()?;
    let served = control.shared.served_versions();
    if !control.shared.is_ready() || !served.is_complete(now_ms) {
        return None;
    }
    let services: Vec<&str> = resumable_routes(&table).flatten().collect();
    let Era(era) = control.platform.era();
    let directory = control.directory.borrow();
    Some(served.history(&services, &directory, era, now_ms, control.shared.time.unix_ms()))
}

/// Returns whether more than one version may have begun the streams of a route within the retention time.
fn have_several_versions_served<P>(control: &Control<P>, now_ms: u64) -> bool {
    let Some(table) = control.table.borrow().clone() else {
        return false;
    };
    let (served, directory) = (control.shared.served_versions(), control.directory.borrow());
    resumable_routes(&table)
        .any(|services| served.only_version(&services, &directory, now_ms).is_none())
}
