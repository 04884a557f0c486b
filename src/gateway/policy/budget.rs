//! An entry's share of the retry budget that all entries of the fleet have in common.
//!
//! Within any sliding window, retries (sends beyond the first of each request) may amount to a
//! ratio of the requests plus a fixed number. No entry knows how much of it the others spend, so
//! each limits itself to its share: the ratio of its own requests, and the fixed number divided by
//! the number of entries. A restarted entry no longer knows what it spent, so only part of the
//! fixed number is given out.

use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;

/// Share of the budget that is given out. The rest covers entries that restart within a window and
/// entries that are not known yet.
const USED_SHARE: f64 = 0.6;
/// Buckets of a sliding window.
const BUCKETS: u64 = 20;

/// Retry budget set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries per request.
    pub ratio: f64,
    /// Further retries in a window, for all entries together.
    pub extra: f64,
    pub window_ms: u64,
}

/// Entries of the largest fleet that is planned for.
const MAX_FLEET: usize = 340;

/// Number of entries by which the fixed part of the budget is divided.
///
/// The number never falls, so the share of an entry never grows: an entry that sees fewer entries
/// than before may be partitioned from the rest of the fleet, which goes on spending its shares. An
/// entry that has just started does not know the size of the fleet and assumes [`MAX_FLEET`].
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    max_entries: usize,
}

impl FleetSize {
    /// Takes the number of entries known now and returns the divisor. `is_settled` says that the
    /// entry has run long enough to know all others.
    pub fn observe(&mut self, entries: usize, is_settled: bool) -> usize {
        if !is_settled {
            return entries.max(MAX_FLEET);
        }
        self.max_entries = self.max_entries.max(entries);
        self.max_entries
    }
}

/// Counts in one part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    began_ms: u64,
    requests: u32,
    retries: u32,
}

/// Retry budgets of all services, as one entry keeps them.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    config: BudgetConfig,
    services: HashMap<CompactString, VecDeque<Bucket>>,
}

impl RetryBudgets {
    #[must_use]
    pub fn new(config: BudgetConfig) -> Self {
        Self { config, services: HashMap::new() }
    }

    /// Replaces the configuration; counts are kept.
    pub fn set(&mut self, config: BudgetConfig) {
        self.config = config;
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        self.bucket(service, now_ms).requests += 1;
    }

    /// Returns whether this entry's share of the budget allows one more retry.
    pub fn has_room(&mut self, service: &str, entries: usize, now_ms: u64) -> bool {
        let config = self.config;
        self.bucket(service, now_ms);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let extra_share = config.extra / entries.max(1) as f64;
        let max_retries = USED_SHARE * (config.ratio * f64::from(requests) + extra_share);
        f64::from(retries + 1) <= max_retries
    }

    /// Counts one retry if this entry's share of the budget allows it, and returns whether it does.
    pub fn try_spend(&mut self, service: &str, entries: usize, now_ms: u64) -> bool {
        let has_room = self.has_room(service, entries, now_ms);
        if has_room {
            self.bucket(service, now_ms).retries += 1;
        }
        has_room
    }

    fn bucket(&mut self, service: &str, now_ms: u64) -> &mut Bucket {
        let length_ms = (self.config.window_ms / BUCKETS).max(1);
        let began_ms = now_ms - now_ms % length_ms;
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), VecDeque::new());
        }
        let buckets = self.services.entry(service.into()).or_default();
        let oldest_ms = began_ms.saturating_sub(BUCKETS * length_ms);
        while buckets.front().is_some_and(|first| first.began_ms < oldest_ms) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|last| last.began_ms < began_ms) {
            buckets.push_back(Bucket { began_ms, ..Bucket::default() });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
