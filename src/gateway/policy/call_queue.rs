//! Queue of the calls of one entry to one plain service: which call starts next, which one is
//! refused, and when its caller should retry.
//!
//! Load pattern: bursts, one account at twelve times its rate and callers that retry immediately, at a
//! service with a few endpoints of few slots and responses of some ten ms. Calls wait here, where they
//! can be ordered by priority and by account, instead of being sent to full endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use compact_str::CompactString;
use rand::Rng;

use super::call_limit::{Answer, CallLimit, Capacity, Change};
use crate::fairness;

/// Dispatches of more urgent calls after which a less urgent one is next.
const MAX_PASSED_OVER: u32 = 16;
/// How long a refused call counts as demand of its class; callers retry within this time.
const REFUSED_DEMAND_MS: u64 = 1_000;
/// How long a call without an answer counts toward the calls in progress. Otherwise a silent endpoint would
/// block the queue.
pub const SILENT_MS: u64 = 1_000;
/// How long the last dispatch of an account is kept at least.
const SERVED_KEPT_MS: u64 = 1_000;
/// Service charged to an account for one call.
const CALL_COST: u64 = 1;

/// Identifies a call in its queue, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A call that arrives.
#[derive(Clone, Debug)]
pub struct Call {
    pub account: CompactString,
    /// Zero is the most urgent.
    pub priority: u8,
    pub arrived_ms: u64,
    pub latency_target_ms: u32,
    pub deadline_ms: u64,
}

/// Why a waiting call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue is too long, and the call was the last in dispatch order.
    QueueLong,
    /// It has waited for half of the latency target.
    WaitLimit,
    /// Its deadline has passed.
    Deadline,
}

/// State of the queue when it refused a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    pub reason: Reason,
    /// Calls that go before the refused one.
    pub ahead: usize,
    /// Expected time until a place is free for it.
    pub expected_ms: f64,
}

/// What becomes of a call that waited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Start,
    Refuse(Refused),
}

#[derive(Debug)]
struct Waiting {
    call: Call,
    /// Latest time of its start.
    latest_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct InProgress {
    /// Whether it counts toward the limit.
    is_counted: bool,
}

/// Waiting calls of one priority.
#[derive(Debug, Default)]
struct Class {
    counters: fairness::Counters,
    tickets: HashMap<CompactString, BTreeSet<Ticket>>,
    /// Last dispatch of the accounts that were served recently.
    served_ms: HashMap<CompactString, u64>,
    /// When `served_ms` was last cleared of old dispatches.
    swept_ms: u64,
    waiting: usize,
    /// Dispatches of more urgent calls since the last one of this class, while there was demand for it.
    passed_over: u32,
    refused_ms: Option<u64>,
}

impl Class {
    fn insert(&mut self, account: &CompactString, ticket: Ticket) {
        self.counters.wait(account);
        self.tickets.entry(account.clone()).or_default().insert(ticket);
        self.waiting += 1;
    }

    fn remove(&mut self, account: &CompactString, ticket: Ticket) {
        self.counters.leave(account);
        self.waiting -= 1;
        if let Some(tickets) = self.tickets.get_mut(account) {
            tickets.remove(&ticket);
            if tickets.is_empty() {
                self.tickets.remove(account);
            }
        }
    }

    fn is_overdue(&self) -> bool {
        self.passed_over >= MAX_PASSED_OVER
    }

    fn has_demand(&self, now_ms: u64) -> bool {
        self.waiting > 0 || self.refused_ms.is_some_and(|at_ms| now_ms < at_ms + REFUSED_DEMAND_MS)
    }

    /// The oldest call among those of the accounts with the least service.
    ///
    /// The counter of an account that begins to wait is raised to the least one, which is that of a flooding
    /// account if only that one waits. Of equal counters the account that was served longest ago goes first;
    /// otherwise a flood would win most ties.
    fn first(&self) -> Option<Ticket> {
        let oldest = |account| {
            let ticket = self.tickets.get(account)?.first().copied()?;
            Some((self.served_ms.get(account).copied(), ticket))
        };
        self.counters.least().filter_map(oldest).min().map(|(_, ticket)| ticket)
    }

    /// The newest call among those of the accounts whose last call starts last.
    fn last(&self) -> Option<Ticket> {
        let newest = |account: CompactString| {
            let ticket = self.tickets.get(&account)?.last().copied()?;
            Some((self.served_ms.get(&account).copied(), ticket))
        };
        let accounts = self.counters.latest(CALL_COST).into_iter();
        accounts.filter_map(newest).max().map(|(_, ticket)| ticket)
    }

    fn record_served(&mut self, account: &CompactString, now_ms: u64) {
        self.served_ms.insert(account.clone(), now_ms);
        if now_ms >= self.swept_ms + SERVED_KEPT_MS {
            self.swept_ms = now_ms;
            self.served_ms.retain(|_, served_ms| now_ms < *served_ms + SERVED_KEPT_MS);
        }
    }
}

/// The queue of one service, with the limit of the calls in progress.
#[derive(Debug, Default)]
pub struct CallQueue {
    limit: CallLimit,
    next_ticket: u64,
    waiting: HashMap<Ticket, Waiting>,
    by_latest_ms: BTreeSet<(u64, Ticket)>,
    classes: BTreeMap<u8, Class>,
    in_progress: HashMap<Ticket, InProgress>,
    /// Calls that were started, with the time, until they ended or stopped counting.
    started: VecDeque<(u64, Ticket)>,
    counted: u32,
}

impl CallQueue {
    /// Sets the endpoints that accept calls.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.limit.set_capacity(capacity);
    }

    /// Adds a call. [`CallQueue::step`] decides what becomes of it.
    pub fn arrive(&mut self, call: Call) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let half_ms = u64::from(call.latency_target_ms / 2);
        let latest_ms = (call.arrived_ms + half_ms).min(call.deadline_ms);
        self.classes.entry(call.priority).or_default().insert(&call.account, ticket);
        self.by_latest_ms.insert((latest_ms, ticket));
        self.waiting.insert(ticket, Waiting { call, latest_ms });
        ticket
    }

    /// Removes a call that was refused, has ended or whose caller is gone. Has no effect on a call that was
    /// removed before.
    pub fn leave(&mut self, ticket: Ticket) {
        self.take_waiting(ticket);
        if let Some(call) = self.in_progress.remove(&ticket)
            && call.is_counted
        {
            self.counted -= 1;
        }
    }

    /// Records an answer of an endpoint; returns the change of the limit.
    pub fn record_answer(&mut self, answer: Answer, now_ms: u64) -> Option<Change> {
        self.limit.record_answer(answer, now_ms)
    }

    /// Starts the calls for which there is a place, and refuses those that would be late.
    pub fn step(&mut self, now_ms: u64) -> Vec<(Ticket, Decision)> {
        let mut decisions = Vec::new();
        self.release_silent(now_ms);
        while let Some((latest_ms, ticket)) = self.by_latest_ms.first().copied()
            && latest_ms < now_ms
        {
            let is_expired =
                self.waiting.get(&ticket).is_none_or(|one| one.call.deadline_ms < now_ms);
            let reason = if is_expired { Reason::Deadline } else { Reason::WaitLimit };
            self.refuse(ticket, reason, now_ms, &mut decisions);
        }
        while self.counted < self.limit.calls()
            && let Some(ticket) = self.first()
        {
            self.start(ticket, now_ms);
            decisions.push((ticket, Decision::Start));
        }
        while let Some(ticket) = self.last()
            && self.would_be_late(ticket, now_ms)
        {
            self.refuse(ticket, Reason::QueueLong, now_ms, &mut decisions);
        }
        decisions
    }

    /// Returns when [`CallQueue::step`] is due even if nothing else happens: a waiting call reaches its limit
    /// or a call in progress stops counting.
    #[must_use]
    pub fn next_step_ms(&self) -> Option<u64> {
        let latest_ms = self.by_latest_ms.first().map(|(latest_ms, _)| latest_ms + 1);
        let silent_ms = self.started.front().map(|(started_ms, _)| started_ms + SILENT_MS);
        latest_ms.map(|latest_ms| silent_ms.map_or(latest_ms, |silent_ms| latest_ms.min(silent_ms)))
    }

    /// Returns the waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the calls in progress that count toward the limit.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.counted
    }

    #[must_use]
    pub fn limit(&self) -> &CallLimit {
        &self.limit
    }

    fn release_silent(&mut self, now_ms: u64) {
        while let Some((started_ms, ticket)) = self.started.front().copied() {
            match self.in_progress.get_mut(&ticket) {
                Some(call) if now_ms >= started_ms + SILENT_MS => {
                    call.is_counted = false;
                    self.counted -= 1;
                }
                Some(_) => return,
                None => {}
            }
            self.started.pop_front();
        }
    }

    fn first(&self) -> Option<Ticket> {
        let waiting = || self.classes.values().filter(|class| class.waiting > 0);
        // The most urgent of equally overdue classes goes first; `max_by_key` returns the last one.
        let overdue = waiting().rev().filter(|class| class.is_overdue());
        let class = overdue.max_by_key(|class| class.passed_over).or_else(|| waiting().next());
        class.and_then(Class::first)
    }

    /// Returns the call that is last in dispatch order. The only call of an overdue class is next instead.
    fn last(&self) -> Option<Ticket> {
        let waiting = || self.classes.values().rev().filter(|class| class.waiting > 0);
        let is_last = |class: &&Class| class.waiting > 1 || !class.is_overdue();
        waiting().find(is_last).or_else(|| waiting().next()).and_then(Class::last)
    }

    /// Whether the call that is last in dispatch order is not expected to be on time.
    fn would_be_late(&self, ticket: Ticket, now_ms: u64) -> bool {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return false;
        };
        let start_ms = now_ms as f64 + self.limit.time_for_ms(self.waiting.len());
        let target_ms = waiting.call.arrived_ms + u64::from(waiting.call.latency_target_ms);
        let end_ms = start_ms + self.limit.response_ms();
        start_ms > waiting.latest_ms as f64 || end_ms > target_ms as f64
    }

    fn start(&mut self, ticket: Ticket, now_ms: u64) {
        let Some(waiting) = self.take_waiting_with(ticket, |class, account| {
            let charge = class.counters.start(account, 1, CALL_COST);
            // An account whose calls are all in progress is idle here: only waiting counts.
            class.counters.finish(account, 1, charge, CALL_COST);
            class.record_served(account, now_ms);
        }) else {
            return;
        };
        for (priority, class) in &mut self.classes {
            if *priority == waiting.call.priority {
                class.passed_over = 0;
            } else if *priority > waiting.call.priority && class.has_demand(now_ms) {
                class.passed_over = class.passed_over.saturating_add(1);
            }
        }
        self.in_progress.insert(ticket, InProgress { is_counted: true });
        self.started.push_back((now_ms, ticket));
        self.counted += 1;
        if self.counted >= self.limit.calls() {
            self.limit.record_reached();
        }
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: Reason,
        now_ms: u64,
        decisions: &mut Vec<(Ticket, Decision)>,
    ) {
        let Some(waiting) = self.take_waiting(ticket) else {
            return;
        };
        let classes = self.classes.range(..=waiting.call.priority);
        let ahead = classes.map(|(_, class)| class.waiting).sum();
        if let Some(class) = self.classes.get_mut(&waiting.call.priority) {
            class.refused_ms = Some(now_ms);
        }
        let expected_ms = self.limit.time_for_ms(ahead + 1);
        decisions.push((ticket, Decision::Refuse(Refused { reason, ahead, expected_ms })));
    }

    fn take_waiting(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.take_waiting_with(ticket, |_, _| {})
    }

    /// Removes a waiting call; `charge` is called before its account may become idle.
    fn take_waiting_with(
        &mut self,
        ticket: Ticket,
        charge: impl FnOnce(&mut Class, &CompactString),
    ) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.by_latest_ms.remove(&(waiting.latest_ms, ticket));
        if let Some(class) = self.classes.get_mut(&waiting.call.priority) {
            charge(class, &waiting.call.account);
            class.remove(&waiting.call.account, ticket);
        }
        Some(waiting)
    }
}

/// Base of the retry delay, the same as that of other refusals.
pub const RETRY_BASE_MS: f64 = 300.0;
/// Factors of the retry delay by priority. The ranges of two priorities with [`RETRY_JITTER`] do not overlap, and
/// no factor is below that of other refusals (1 to 5).
const RETRY_FACTORS: [f64; 5] = [1.0, 2.0, 10.0 / 3.0, 50.0 / 9.0, 250.0 / 27.0];
const RETRY_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Largest share of the caller's remaining time.
const RETRY_MAX_SHARE: f64 = 1.0 / 3.0;
/// Parts of that time to which the delays of the priorities are limited, so that it does not make them equal.
const RETRY_PARTS: [f64; 6] = [0.45, 0.65, 0.8, 0.9, 0.95, 1.0];

/// Returns the time after which a refused caller should retry. `expected_ms` is when a place is likely.
pub fn retry_after_ms(expected_ms: f64, priority: u8, left_ms: u64, random: &mut impl Rng) -> u32 {
    let rank = usize::from(priority).min(RETRY_FACTORS.len() - 1);
    let wait_ms = expected_ms.max(RETRY_BASE_MS) * RETRY_FACTORS[rank];
    let wait_ms = wait_ms * random.random_range(RETRY_JITTER);
    let max_ms = left_ms as f64 * RETRY_MAX_SHARE;
    let part = RETRY_PARTS[rank]..RETRY_PARTS[rank + 1];
    if wait_ms <= max_ms * part.end {
        return wait_ms as u32;
    }
    (max_ms * random.random_range(part)) as u32
}
