//! An entry's part of the retry budget that all entries share.
//!
//! Within any window, sends beyond the first of each request may come to a share of the requests
//! and a fixed number more. No entry knows what the others spend, so each takes its part: the share
//! of its own requests, and the fixed number divided by the entries. A restarted entry has forgotten
//! what it spent; so only a part of the fixed number is given out.

use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;

/// Part of the budget that is used. What is kept back covers entries that restart within a window
/// and those that are not known yet.
const USED_PART: f64 = 0.6;
/// Steps into which a window is cut.
const STEPS: u64 = 20;

/// What the operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that in a window, by all entries together.
    pub extra: f64,
    pub window_ms: u64,
}

/// Entries of the largest fleet planned for.
const LARGEST_FLEET: usize = 340;

/// Among how many entries the fixed number is divided.
///
/// An entry that hears of fewer others than before may be cut off from the rest, who spend their parts
/// all the same, so its own part never grows. One that has just started does not know how many there
/// are.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    most: usize,
}

impl FleetSize {
    /// So many entries are known now; `is_settled`: there was time to hear of all.
    pub fn observe(&mut self, entries: usize, is_settled: bool) -> usize {
        if !is_settled {
            return entries.max(LARGEST_FLEET);
        }
        self.most = self.most.max(entries);
        self.most
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The budgets of all services, as one entry keeps them.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    allowed: BudgetConfig,
    services: HashMap<CompactString, VecDeque<Step>>,
}

impl RetryBudgets {
    #[must_use]
    pub fn new(allowed: BudgetConfig) -> Self {
        Self { allowed, services: HashMap::new() }
    }

    /// Takes other figures from now on.
    pub fn set(&mut self, allowed: BudgetConfig) {
        self.allowed = allowed;
    }

    /// A request for the service has come.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        self.step(service, now_ms).requests += 1;
    }

    /// Whether this entry's part of the budget allows one more retry.
    pub fn has_room(&mut self, service: &str, entries: usize, now_ms: u64) -> bool {
        let allowed = self.allowed;
        self.step(service, now_ms);
        let steps = &self.services[service];
        let requests: u32 = steps.iter().map(|step| step.requests).sum();
        let retries: u32 = steps.iter().map(|step| step.retries).sum();
        let part = allowed.extra / entries.max(1) as f64;
        let most = USED_PART * (allowed.ratio * f64::from(requests) + part);
        f64::from(retries + 1) <= most
    }

    /// Takes one retry out, if this entry's part of the budget allows it.
    pub fn try_spend(&mut self, service: &str, entries: usize, now_ms: u64) -> bool {
        let has_room = self.has_room(service, entries, now_ms);
        if has_room {
            self.step(service, now_ms).retries += 1;
        }
        has_room
    }

    fn step(&mut self, service: &str, now_ms: u64) -> &mut Step {
        let number = now_ms * STEPS / self.allowed.window_ms.max(STEPS);
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), VecDeque::new());
        }
        let steps = self.services.entry(service.into()).or_default();
        while steps.front().is_some_and(|first| first.number + STEPS < number) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|last| last.number != number) {
            steps.push_back(Step { number, ..Step::default() });
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }
}
