//! State shared by the control thread and the traffic thread of an entry.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use tokio::sync::Notify;

use super::duties::tally;
use super::policy::{
    admission, durations, limits, load, prefill, prefix_index, quarantine, warmup, work_duration,
};
use super::{
    buffer_allowance, departures, directory, evacuation, route, served_versions, settings,
    silences, stream_versions,
};
use crate::body_allowance::BodyAllowance;
use crate::{clock, drain};

/// Number of times that a request's body is held: as the caller sent it, and encoded for an endpoint.
const BODY_COPIES: usize = 2;

/// Immutable view of the configuration, the endpoints and the restrictions on sending to them.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// `None` until the first configuration is loaded.
    pub table: Option<Arc<route::Table>>,
    pub directory: Arc<directory::Directory>,
    pub evacuations: evacuation::Evacuations,
    pub cold_endpoints: warmup::ColdEndpoints,
}

impl Snapshot {
    /// Returns the endpoints of a service that accept a new request. `key` has the same meaning as in
    /// [`evacuation::Evacuations::accepts`].
    pub fn accepting<'a, 'b>(
        &'a self,
        service: &'b str,
        key: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a directory::Endpoint> + use<'a, 'b> {
        let accepting = self.directory.accepting(service);
        accepting.filter(move |endpoint| self.evacuations.accepts(&endpoint.zone, key, now_ms))
    }

    /// Returns whether this process of an endpoint still accepts new requests.
    #[must_use]
    pub fn accepts(&self, endpoint: &directory::Endpoint, now_ms: u64) -> bool {
        let is_same = |known: &directory::Endpoint| {
            !known.is_leaving && known.started_unix_ms == endpoint.started_unix_ms
        };
        self.directory.find(endpoint.key).is_some_and(is_same)
            && !self.evacuations.is_closed(&endpoint.zone, now_ms)
    }
}

/// State shared by the threads of an entry.
#[derive(Debug)]
pub struct Shared {
    pub settings: settings::Gateway,
    /// Boot id of this entry, new at each start of its process.
    pub boot: u64,
    pub time: &'static clock::TimeOfDay,
    pub snapshot: ArcSwap<Snapshot>,
    pub is_ready: AtomicBool,
    /// Requests in flight and the progress of a stop.
    pub stop: drain::Progress,
    /// Set while the entry is stopping but still accepts new callers.
    pub accepts_while_draining: AtomicBool,
    /// Number of entries that were heard within the longest retry window, including this one, and at least as
    /// many as the seeds name. Entries that have died since are among them.
    pub recent_entries: AtomicUsize,
    /// Number of entries among which the fixed part of the retry budget is divided.
    pub retry_budget_divisor: AtomicUsize,
    /// Whether another entry has received all billing counts of this one.
    pub counts_delivered: AtomicBool,
    /// Number of other live entries that are not stopping.
    pub serving_peers: AtomicUsize,
    /// Time up to which the store is known to have told this entry of each endpoint that started again.
    pub directory_confirmed_ms: AtomicU64,
    /// Time at which the store last answered this entry, or the one that reads it for the zone was last heard.
    pub store_heard_ms: AtomicU64,
    /// When the control thread last ran, and until when it reads what has waited while it did not.
    pub control_progress: ControlProgress,
    /// Admission control: rejects prompts while almost no engine capacity is free.
    pub admission: admission::AdmissionControl,
    /// Bounds the memory of incomplete responses.
    pub buffer_allowance: Arc<buffer_allowance::BufferAllowance>,
    /// Bounds the memory of callers' request bodies.
    pub body_allowance: Arc<BodyAllowance>,
    /// Wakes the control thread to send an update to the other entries immediately, for example after a long
    /// prompt was sent.
    pub urgent_update: Notify,
    /// Wakes the control thread to send the versions of new streams to other entries, or to ask for them.
    pub stream_versions_due: Notify,
    /// Wakes the control thread to save the versions of new streams in the store, or to load them.
    pub version_store_due: Notify,
    /// Retry settings; they may be reloaded while the process runs.
    retries: Mutex<settings::Retries>,
    load_table: Mutex<load::LoadTable>,
    rejections: Mutex<load::Rejections>,
    limits: Mutex<limits::Limits>,
    departures: Mutex<departures::Departures>,
    silences: Mutex<silences::Silences>,
    quarantine: Mutex<quarantine::Quarantine>,
    stream_versions: Mutex<stream_versions::StreamVersions>,
    served_versions: Mutex<served_versions::ServedVersions>,
    prefix_index: Mutex<prefix_index::PrefixIndex>,
    tally: Mutex<tally::Tally>,
    /// Start times, on the boot clock, of sends whose requests may still be counted.
    pending_counts: Mutex<slab::Slab<u64>>,
    /// Durations of complete responses, by service.
    pub durations: durations::ByService,
    /// Measured prefill speed and run times of the engines, by service.
    prefill_models: Mutex<HashMap<CompactString, prefill::PrefillModel>>,
    work_durations: Mutex<work_duration::WorkDurations>,
}

impl Shared {
    #[must_use]
    pub fn new(settings: settings::Gateway, boot: u64) -> Self {
        let buffer_allowance = match settings.overload_control {
            true => buffer_allowance::BufferAllowance::of_memory(settings.memory_mb),
            false => buffer_allowance::BufferAllowance::default(),
        };
        Self {
            body_allowance: BodyAllowance::new(settings.caller_limits(), BODY_COPIES),
            urgent_update: Notify::new(),
            stream_versions_due: Notify::new(),
            version_store_due: Notify::new(),
            retries: Mutex::new(settings.retries),
            settings,
            boot,
            time: clock::time_of_day(),
            snapshot: ArcSwap::default(),
            is_ready: AtomicBool::new(false),
            stop: drain::Progress::default(),
            accepts_while_draining: AtomicBool::new(false),
            recent_entries: AtomicUsize::new(1),
            retry_budget_divisor: AtomicUsize::new(1),
            counts_delivered: AtomicBool::new(true),
            serving_peers: AtomicUsize::new(0),
            directory_confirmed_ms: AtomicU64::new(0),
            store_heard_ms: AtomicU64::new(0),
            control_progress: ControlProgress::default(),
            admission: admission::AdmissionControl::default(),
            buffer_allowance: Arc::new(buffer_allowance),
            load_table: Mutex::default(),
            rejections: Mutex::default(),
            limits: Mutex::default(),
            departures: Mutex::default(),
            silences: Mutex::default(),
            quarantine: Mutex::default(),
            stream_versions: Mutex::default(),
            served_versions: Mutex::default(),
            prefix_index: Mutex::default(),
            tally: Mutex::default(),
            pending_counts: Mutex::default(),
            durations: durations::ByService::default(),
            prefill_models: Mutex::default(),
            work_durations: Mutex::default(),
        }
    }

    /// Locks the load table: work in progress by endpoint.
    pub fn load_table(&self) -> MutexGuard<'_, load::LoadTable> {
        lock(&self.load_table)
    }

    /// Locks the record of recently rejected requests.
    pub fn rejections(&self) -> MutexGuard<'_, load::Rejections> {
        lock(&self.rejections)
    }

    /// Locks the rate limits that endpoints have announced.
    pub fn limits(&self) -> MutexGuard<'_, limits::Limits> {
        lock(&self.limits)
    }

    /// Locks the endpoints that have announced in their responses that they are leaving.
    pub fn departures(&self) -> MutexGuard<'_, departures::Departures> {
        lock(&self.departures)
    }

    /// Locks the endpoints that this entry or another has found silent.
    pub fn silences(&self) -> MutexGuard<'_, silences::Silences> {
        lock(&self.silences)
    }

    /// Locks the requests and prompt parts that are suspected of ending endpoints.
    pub fn quarantine(&self) -> MutexGuard<'_, quarantine::Quarantine> {
        lock(&self.quarantine)
    }

    /// Locks the software versions that began the streams.
    pub fn stream_versions(&self) -> MutexGuard<'_, stream_versions::StreamVersions> {
        lock(&self.stream_versions)
    }

    /// Locks the software versions that have served lately.
    pub fn served_versions(&self) -> MutexGuard<'_, served_versions::ServedVersions> {
        lock(&self.served_versions)
    }

    /// Locks the index of which endpoints hold which prompt parts in their prefix cache.
    pub fn prefix_index(&self) -> MutexGuard<'_, prefix_index::PrefixIndex> {
        lock(&self.prefix_index)
    }

    /// Locks the current retry settings.
    pub fn retries(&self) -> MutexGuard<'_, settings::Retries> {
        lock(&self.retries)
    }

    /// Locks the billing counts.
    pub fn tally(&self) -> MutexGuard<'_, tally::Tally> {
        lock(&self.tally)
    }

    /// Returns the prefill speed and run times of a service's engines, as measured by this entry.
    #[must_use]
    pub fn prefill_model(&self, service: &str) -> prefill::PrefillModel {
        lock(&self.prefill_models).get(service).copied().unwrap_or_default()
    }

    /// Updates the measured prefill speed and run times of a service's engines.
    pub fn update_prefill_model(
        &self,
        service: &CompactString,
        update: impl FnOnce(&mut prefill::PrefillModel),
    ) {
        update(lock(&self.prefill_models).entry(service.clone()).or_default());
    }

    /// Locks the durations of work that the endpoints have reported.
    pub fn work_durations(&self) -> MutexGuard<'_, work_duration::WorkDurations> {
        lock(&self.work_durations)
    }

    /// Length of a billing window.
    #[must_use]
    pub fn billing_window_ms(&self) -> u64 {
        self.settings.billing_window_s.max(1) * 1_000
    }

    /// Returns the billing window that contained the moment `ago_ms` before now.
    fn window(&self, ago_ms: u64) -> u64 {
        self.time.unix_ms().saturating_sub(ago_ms) / self.billing_window_ms()
    }

    /// Registers a send that begins now and may later be counted for billing with this start time.
    pub fn begin_pending_count(self: &Arc<Self>) -> PendingCount {
        PendingCount {
            key: lock(&self.pending_counts).insert(clock::boot_ms()),
            shared: Arc::clone(self),
        }
    }

    /// Unix time in milliseconds before which every request that ran here has been counted.
    #[must_use]
    pub fn counted_until_ms(&self) -> u64 {
        let pending = lock(&self.pending_counts);
        let (now_ms, unix_ms) = (clock::boot_ms(), self.time.unix_ms());
        let oldest_ms = pending.iter().map(|(_, began_ms)| *began_ms).min().unwrap_or(now_ms);
        unix_ms.saturating_sub(now_ms.saturating_sub(oldest_ms))
    }

    /// Counts a request that began to run `ago_ms` before now.
    pub fn count(&self, account: &str, ago_ms: u64) {
        self.counts_delivered.store(false, Ordering::Release);
        self.tally().add(self.boot, self.window(ago_ms), account);
    }

    /// Drops the boot ids of entries that have no counts in any window that can still be reported.
    pub fn forget_old_counts(&self) {
        let first = self.window(0).saturating_sub(tally::KEPT_WINDOWS);
        self.tally().forget_before(first);
    }

    /// Time since the store is known to have told this entry of each change of the endpoints; `None` if it never has.
    #[must_use]
    pub fn directory_age_ms(&self) -> Option<u64> {
        let confirmed_ms = self.directory_confirmed_ms.load(Ordering::Relaxed);
        (confirmed_ms > 0).then(|| clock::boot_ms().saturating_sub(confirmed_ms))
    }

    /// Returns what is known of the other entries.
    #[must_use]
    pub fn others(&self) -> drain::Others {
        drain::Others {
            count: self.recent_entries.load(Ordering::Relaxed).saturating_sub(1),
            serving: self.serving_peers.load(Ordering::Relaxed),
        }
    }

    #[must_use]
    pub fn is_ready(&self) -> bool {
        let accepts_clients =
            !self.stop.is_draining() || self.accepts_while_draining.load(Ordering::Acquire);
        self.is_ready.load(Ordering::Acquire) && accepts_clients
    }
}

/// Delay of the control thread from which the lists that requests are sent by may be out of date. Changes have to take
/// effect within seconds.
const LATE_MS: u64 = 500;
/// Time within which the control thread reads what has waited for it: answers of the store, and pulls from peers.
const CATCH_UP_MS: u64 = 200;

/// Progress of the control thread, by which traffic knows whether the lists are current.
#[derive(Debug, Default)]
pub struct ControlProgress {
    ran_ms: AtomicU64,
    current_from_ms: AtomicU64,
}

impl ControlProgress {
    /// Records that the control thread runs.
    pub fn record(&self, now_ms: u64) {
        if self.is_late(now_ms) {
            self.current_from_ms.store(now_ms + CATCH_UP_MS, Ordering::Relaxed);
        }
        self.ran_ms.store(now_ms, Ordering::Release);
    }

    /// Whether the control thread has run lately and has read what waited for it. True before it has first run.
    #[must_use]
    pub fn is_current(&self, now_ms: u64) -> bool {
        !self.is_late(now_ms) && now_ms >= self.current_from_ms.load(Ordering::Relaxed)
    }

    fn is_late(&self, now_ms: u64) -> bool {
        let ran_ms = self.ran_ms.load(Ordering::Acquire);
        ran_ms > 0 && now_ms >= ran_ms + LATE_MS
    }
}

/// A send whose request is not counted yet. It is dropped once the request is counted or known not to
/// have run.
#[derive(Debug)]
pub struct PendingCount {
    shared: Arc<Shared>,
    key: usize,
}

impl Drop for PendingCount {
    fn drop(&mut self) {
        lock(&self.shared.pending_counts).remove(self.key);
    }
}

/// Locks a mutex and ignores poisoning: a panic ends only the request in which it occurs, and the others go on.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
