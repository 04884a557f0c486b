//! What the control thread and the traffic thread of an entry share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use tokio::sync::Notify;

use super::duties::tally;
use super::policy::{admission, limits, load, prefill, prefix_index, warmup};
use super::{departures, directory, drain, evacuation, route, settings};
use crate::clock;

/// Configuration, endpoints and what may be sent to them at one moment.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// None until the first configuration is known.
    pub table: Option<Arc<route::Table>>,
    pub directory: Arc<directory::Directory>,
    pub evacuations: evacuation::Evacuations,
    pub warming: warmup::ColdEndpoints,
}

impl Snapshot {
    /// Endpoints of a service that take a new request; `key` as in [`evacuation::Evacuations::takes`].
    pub fn taking<'a, 'b>(
        &'a self,
        service: &'b str,
        key: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a directory::Endpoint> + use<'a, 'b> {
        let taking = self.directory.taking(service);
        taking.filter(move |endpoint| self.evacuations.takes(&endpoint.zone, key, now_ms))
    }

    /// Whether this start of an endpoint still takes new requests.
    #[must_use]
    pub fn takes(&self, endpoint: &directory::Endpoint, now_ms: u64) -> bool {
        let is_same = |known: &directory::Endpoint| {
            !known.is_leaving && known.started_unix_ms == endpoint.started_unix_ms
        };
        self.directory.find(endpoint.key).is_some_and(is_same)
            && !self.evacuations.is_closed(&endpoint.zone, now_ms)
    }
}

/// What the threads of an entry share.
#[derive(Debug)]
pub struct Shared {
    pub settings: settings::Gateway,
    /// Tells this start of the entry from others.
    pub boot: u64,
    pub time: &'static clock::TimeOfDay,
    pub snapshot: ArcSwap<Snapshot>,
    pub is_ready: AtomicBool,
    pub is_draining: AtomicBool,
    /// A stop is under way, and new callers are still taken.
    pub stays: AtomicBool,
    /// Set by a stop shortly before the process ends.
    pub is_closed: AtomicBool,
    /// When the stop was asked for, on the boot clock.
    pub draining_since_ms: AtomicU64,
    /// Entries heard of lately, this one among them.
    pub entries: AtomicUsize,
    /// By how many entries the fixed part of the retry budget is divided.
    pub sharers: AtomicUsize,
    /// Another entry has all that was counted here.
    pub counts_delivered: AtomicBool,
    /// Other entries heard of just now that are not stopping.
    pub serving_others: AtomicUsize,
    /// When a caller's last request came, on the boot clock.
    pub last_request_ms: AtomicU64,
    /// Requests under way here.
    pub active: AtomicU32,
    /// Turns prompts away while hardly any engine is free.
    pub gate: admission::AdmissionControl,
    /// Wakes the control thread: the other entries have to know of a long prompt at once.
    pub news: Notify,
    /// What the settings allow of retries; may change while the process runs.
    retries: Mutex<settings::Retries>,
    book: Mutex<load::LoadTable>,
    turned_away: Mutex<load::Rejections>,
    limits: Mutex<limits::Limits>,
    departures: Mutex<departures::Departures>,
    homes: Mutex<prefix_index::PrefixIndex>,
    tally: Mutex<tally::Tally>,
    /// When sends began whose requests may still be counted, on the boot clock.
    uncounted: Mutex<slab::Slab<u64>>,
    /// How fast the engines of each service read.
    readings: Mutex<HashMap<CompactString, prefill::PrefillModel>>,
}

impl Shared {
    #[must_use]
    pub fn new(settings: settings::Gateway, boot: u64) -> Self {
        Self {
            news: Notify::new(),
            retries: Mutex::new(settings.retries),
            settings,
            boot,
            time: clock::time_of_day(),
            snapshot: ArcSwap::default(),
            is_ready: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            stays: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            draining_since_ms: AtomicU64::new(u64::MAX),
            entries: AtomicUsize::new(1),
            sharers: AtomicUsize::new(1),
            counts_delivered: AtomicBool::new(true),
            serving_others: AtomicUsize::new(0),
            last_request_ms: AtomicU64::new(0),
            active: AtomicU32::new(0),
            gate: admission::AdmissionControl::default(),
            book: Mutex::default(),
            turned_away: Mutex::default(),
            limits: Mutex::default(),
            departures: Mutex::default(),
            homes: Mutex::default(),
            tally: Mutex::default(),
            uncounted: Mutex::default(),
            readings: Mutex::default(),
        }
    }

    /// Work under way at the endpoints.
    pub fn book(&self) -> MutexGuard<'_, load::LoadTable> {
        lock(&self.book)
    }

    /// Requests turned away lately.
    pub fn turned_away(&self) -> MutexGuard<'_, load::Rejections> {
        lock(&self.turned_away)
    }

    /// What endpoints take at most.
    pub fn limits(&self) -> MutexGuard<'_, limits::Limits> {
        lock(&self.limits)
    }

    /// Endpoints that leave, as they say themselves.
    pub fn departures(&self) -> MutexGuard<'_, departures::Departures> {
        lock(&self.departures)
    }

    /// Where prompt parts are.
    pub fn homes(&self) -> MutexGuard<'_, prefix_index::PrefixIndex> {
        lock(&self.homes)
    }

    /// What the settings allow of retries now.
    pub fn retries(&self) -> MutexGuard<'_, settings::Retries> {
        lock(&self.retries)
    }

    /// Counts for billing.
    pub fn tally(&self) -> MutexGuard<'_, tally::Tally> {
        lock(&self.tally)
    }

    /// How fast the engines of a service read, as far as this entry has seen.
    #[must_use]
    pub fn reading(&self, service: &str) -> prefill::PrefillModel {
        lock(&self.readings).get(service).copied().unwrap_or_default()
    }

    /// Learns from an answer: so many tokens were to be read before its first event.
    pub fn learn_reading(&self, service: &CompactString, tokens: u64, took_ms: u64) {
        lock(&self.readings)
            .entry(service.clone())
            .or_default()
            .observe_first_event(tokens, took_ms);
    }

    /// Learns from a stream that came to its end how long requests run.
    pub fn learn_run(&self, service: &CompactString, output_tokens: u32, ran_ms: u64) {
        lock(&self.readings).entry(service.clone()).or_default().observe_run(output_tokens, ran_ms);
    }

    /// Length of a billing window.
    #[must_use]
    pub fn window_ms(&self) -> u64 {
        self.settings.billing_window_s.max(1) * 1_000
    }

    /// The billing window of this long ago.
    fn window(&self, ago_ms: u64) -> u64 {
        self.time.unix_ms().saturating_sub(ago_ms) / self.window_ms()
    }

    /// Notes a send whose request will be counted as begun now, if it is.
    pub fn begin_uncounted(self: &Arc<Self>) -> Uncounted {
        Uncounted { key: lock(&self.uncounted).insert(clock::boot_ms()), shared: Arc::clone(self) }
    }

    /// The time of day before which everything that ran here is counted.
    #[must_use]
    pub fn settled_ms(&self) -> u64 {
        let uncounted = lock(&self.uncounted);
        let (now_ms, unix_ms) = (clock::boot_ms(), self.time.unix_ms());
        let oldest_ms = uncounted.iter().map(|(_, began_ms)| *began_ms).min().unwrap_or(now_ms);
        unix_ms.saturating_sub(now_ms.saturating_sub(oldest_ms))
    }

    /// Counts a request that began to run this long ago.
    pub fn count(&self, account: &str, ago_ms: u64) {
        self.tally().add(self.boot, self.window(ago_ms), account);
    }

    /// Forgets starts of entries that have counted nothing in any window that may be asked for.
    pub fn forget_old_counts(&self) {
        let first = self.window(0).saturating_sub(tally::KEPT_WINDOWS);
        self.tally().forget_before(first);
    }

    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Whether a stream that is expected to run for this time would delay a stop that is under way.
    #[must_use]
    pub fn delays_stop(&self, run_ms: u64) -> bool {
        let since_ms = self.draining_since_ms.load(Ordering::Acquire);
        drain::delays_stop(since_ms, clock::boot_ms(), run_ms)
    }

    /// Whether nothing new is begun any more: the process ends within a moment.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    #[must_use]
    pub fn is_ready(&self) -> bool {
        let takes_callers = !self.is_draining() || self.stays.load(Ordering::Acquire);
        self.is_ready.load(Ordering::Acquire) && takes_callers
    }
}

/// A send whose request is not counted yet; dropped once it is, or did not run.
#[derive(Debug)]
pub struct Uncounted {
    shared: Arc<Shared>,
    key: usize,
}

impl Drop for Uncounted {
    fn drop(&mut self) {
        lock(&self.shared.uncounted).remove(self.key);
    }
}

/// A panic while a lock was held has ended its thread and with it the process, so what a lock
/// guards is never half changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
