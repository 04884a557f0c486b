//! Admission control for prompts to engines, by priority.
//!
//! Load pattern: long prompts arrive at twice the rate at which the engines prefill them. Engines
//! prefill in order of arrival whatever the priority, so each long prompt delays all that come
//! after it, and soon no first event is in time. While hardly any engine is free, less urgent
//! prompts are rejected at once, with a time to retry; the most urgent ones are always sent.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Distinguished priority ranks; all higher numbers count as the last rank.
pub const RANKS: usize = 4;
/// How long after the rejection of a request no less urgent one is sent. Entries observe the
/// engines at different moments; without this, one entry would send less urgent requests while
/// another rejects more urgent ones.
const HOLD_OFF_MS: u64 = 2_000;
/// Window within which a rank must not be starved while less urgent requests are sent.
const FAIR_WINDOW_MS: u64 = 5_000;
/// One in this many requests of a rank may be rejected while less urgent ones are sent. Users
/// notice it when it is more than one in twelve.
const FAIR_ONE_IN: u32 = 16;
/// Age in messages that stands for "long ago".
const AGE_MAX: u8 = u8::MAX;
/// Unit of ages in messages.
const AGE_STEP_MS: u64 = 25;

/// Recent decisions on the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    /// Last rejection of a request with this priority of its own.
    rejected_ms: u64,
    /// Last send of a request on a route with this priority. The fields below count by route
    /// priority as well.
    sent_ms: u64,
    /// Requests and rejections of the current window of [`FAIR_WINDOW_MS`] and of the one before.
    step: u64,
    requests: [u32; 2],
    rejections: [u32; 2],
}

impl Rank {
    fn roll(&mut self, now_ms: u64) {
        let step = now_ms / FAIR_WINDOW_MS;
        if step != self.step {
            let is_next = step == self.step + 1;
            let last = |counts: [u32; 2]| if is_next { counts[0] } else { 0 };
            self.requests = [0, last(self.requests)];
            self.rejections = [0, last(self.rejections)];
            self.step = step;
        }
    }

    /// Returns whether one more request may be rejected within the fairness bound.
    fn has_room(&self) -> bool {
        let (requests, rejections): (u32, u32) =
            (self.requests.iter().sum(), self.rejections.iter().sum());
        (rejections + 1) * FAIR_ONE_IN <= requests
    }
}

/// How long ago requests of each rank were rejected and sent, as entries tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    rejected: [u8; RANKS],
    sent: [u8; RANKS],
}

/// Admission control of one entry, with the recent decisions of this and the other entries.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    ranks: Mutex<[Rank; RANKS]>,
}

impl AdmissionControl {
    /// Decides whether a prompt is sent while this share of the engines is free, and records the
    /// decision.
    ///
    /// `priority` is that of the request, which its client account may have set. Fairness
    /// applies to kinds of requests, so it is computed by the priority of the route.
    pub fn admit(&self, priority: u8, route_priority: u8, free_share: f64, now_ms: u64) -> bool {
        let rank = usize::from(priority).min(RANKS - 1);
        let route_rank = usize::from(route_priority).min(RANKS - 1);
        let mut ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        ranks[route_rank].roll(now_ms);
        ranks[route_rank].requests[0] += 1;
        let has_capacity = has_capacity(priority, free_share);
        let is_recent = |at_ms: u64, within_ms: u64| at_ms > 0 && now_ms < at_ms + within_ms;
        let is_held_off =
            ranks[..rank].iter().any(|higher| is_recent(higher.rejected_ms, HOLD_OFF_MS));
        let is_bypassed =
            ranks[route_rank + 1..].iter().any(|lower| is_recent(lower.sent_ms, FAIR_WINDOW_MS));
        let must_send = is_bypassed && !ranks[route_rank].has_room();
        if (has_capacity && !is_held_off) || must_send {
            ranks[route_rank].sent_ms = now_ms;
            return true;
        }
        if !has_capacity {
            ranks[rank].rejected_ms = now_ms;
        }
        ranks[route_rank].rejections[0] += 1;
        false
    }

    /// Returns the ages to send to the other entries.
    #[must_use]
    pub fn ages(&self, now_ms: u64) -> Ages {
        let ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        let age = |at_ms: u64| {
            // Rounded up: rounded down, an age that entries send back and forth would never grow.
            let steps = now_ms.saturating_sub(at_ms).div_ceil(AGE_STEP_MS);
            u8::try_from(steps).unwrap_or(AGE_MAX)
        };
        Ages {
            rejected: ranks.map(|rank| age(rank.rejected_ms)),
            sent: ranks.map(|rank| age(rank.sent_ms)),
        }
    }

    /// Merges the ages that another entry sent.
    pub fn merge_ages(&self, ages: Ages, now_ms: u64) {
        let mut ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        let at_ms = |age: u8| {
            if age == AGE_MAX { 0 } else { now_ms.saturating_sub(u64::from(age) * AGE_STEP_MS) }
        };
        for (rank, (rejected, sent)) in
            ranks.iter_mut().zip(ages.rejected.into_iter().zip(ages.sent))
        {
            rank.rejected_ms = rank.rejected_ms.max(at_ms(rejected));
            rank.sent_ms = rank.sent_ms.max(at_ms(sent));
        }
    }
}

/// An engine counts as free while queued work delays a new request by at most this. Together with a
/// short prompt's own prefill it stays below the shortest latency targets.
pub const FREE_WAIT_MS: f64 = 150.0;
/// Share of the engines that must be free for the second rank.
const FREE_FOR_SECOND: f64 = 0.1;
/// Share of the engines that must be free for all later ranks.
const FREE_FOR_LATER: f64 = 0.25;

/// Returns whether the engines have capacity for a prompt of this priority (zero is the most
/// urgent) while this share of them is free.
#[must_use]
pub fn has_capacity(priority: u8, free_share: f64) -> bool {
    match priority {
        0 => true,
        1 => free_share >= FREE_FOR_SECOND,
        _ => free_share >= FREE_FOR_LATER,
    }
}
