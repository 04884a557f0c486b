//! Whether a prompt is sent to an engine at all. Pure.
//!
//! The load pattern: long prompts come at twice the rate that the engines read. Engines read in the
//! order of arrival whatever a request's rank, so each long prompt delays all that come after it,
//! and soon nobody's first event is in time. While hardly any engine is free, what is less urgent is
//! turned away at once, with when to come back; the most urgent is always sent.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Ranks that are told apart; all later ones count as the last.
pub const RANKS: usize = 4;
/// How long after a request of a rank was turned away no less urgent one is sent. Entries see the
/// engines at different moments; without this one would send what is less urgent while another turns
/// the more urgent away.
const HOLD_OFF_MS: u64 = 2_000;
/// Over this time a rank must not get nothing while less urgent requests are sent.
const FAIR_MS: u64 = 5_000;
/// Of the requests of a rank, one in so many may be turned away while less urgent ones are sent.
/// Users notice when it is more than one in twelve.
const FAIR_ONE_IN: u32 = 16;
/// Age that stands for "long ago" in messages.
const LONG_AGO: u8 = u8::MAX;
/// Unit of ages in messages.
const AGE_STEP_MS: u64 = 25;

/// What became of the requests of one rank lately.
#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    /// Of requests with this priority of their own.
    turned_away_ms: u64,
    /// Of requests on routes with this priority, as all below.
    sent_ms: u64,
    /// Requests, and those turned away, of this step of [`FAIR_MS`] and the one before.
    step: u64,
    seen: [u32; 2],
    away: [u32; 2],
}

impl Rank {
    fn roll(&mut self, now_ms: u64) {
        let step = now_ms / FAIR_MS;
        if step != self.step {
            let is_next = step == self.step + 1;
            let last = |counts: [u32; 2]| if is_next { counts[0] } else { 0 };
            self.seen = [0, last(self.seen)];
            self.away = [0, last(self.away)];
            self.step = step;
        }
    }

    /// Whether one more may be turned away without taking too many.
    fn has_room(&self) -> bool {
        let (seen, away): (u32, u32) = (self.seen.iter().sum(), self.away.iter().sum());
        (away + 1) * FAIR_ONE_IN <= seen
    }
}

/// How long ago requests of each rank were turned away and sent, for the other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    turned_away: [u8; RANKS],
    sent: [u8; RANKS],
}

/// The gate before the engines, with what it and the other entries' gates did lately.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    ranks: Mutex<[Rank; RANKS]>,
}

impl AdmissionControl {
    /// Whether a prompt is sent while this share of the engines is free.
    ///
    /// `priority` is the request's own, which its client account may have set. What is owed to a kind
    /// of request is owed by its route's priority.
    pub fn admit(&self, priority: u8, route_priority: u8, free_share: f64, now_ms: u64) -> bool {
        let rank = usize::from(priority).min(RANKS - 1);
        let kind = usize::from(route_priority).min(RANKS - 1);
        let mut ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        ranks[kind].roll(now_ms);
        ranks[kind].seen[0] += 1;
        let is_admitted = has_capacity(priority, free_share);
        let lately = |at_ms: u64, within_ms: u64| at_ms > 0 && now_ms < at_ms + within_ms;
        let is_held_off =
            ranks[..rank].iter().any(|before| lately(before.turned_away_ms, HOLD_OFF_MS));
        let is_overtaken = ranks[kind + 1..].iter().any(|later| lately(later.sent_ms, FAIR_MS));
        let must_send = is_overtaken && !ranks[kind].has_room();
        if (is_admitted && !is_held_off) || must_send {
            ranks[kind].sent_ms = now_ms;
            return true;
        }
        if !is_admitted {
            ranks[rank].turned_away_ms = now_ms;
        }
        ranks[kind].away[0] += 1;
        false
    }

    /// What the other entries have to know of this one.
    #[must_use]
    pub fn ages(&self, now_ms: u64) -> Ages {
        let ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        let age = |at_ms: u64| {
            // Rounded up: what goes to and fro between entries would otherwise never age.
            let steps = now_ms.saturating_sub(at_ms).div_ceil(AGE_STEP_MS);
            u8::try_from(steps).unwrap_or(LONG_AGO)
        };
        Ages {
            turned_away: ranks.map(|rank| age(rank.turned_away_ms)),
            sent: ranks.map(|rank| age(rank.sent_ms)),
        }
    }

    /// Takes what another entry told of itself.
    pub fn merge_ages(&self, ages: Ages, now_ms: u64) {
        let mut ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        let at_ms = |age: u8| {
            if age == LONG_AGO { 0 } else { now_ms.saturating_sub(u64::from(age) * AGE_STEP_MS) }
        };
        for (rank, (turned_away, sent)) in
            ranks.iter_mut().zip(ages.turned_away.into_iter().zip(ages.sent))
        {
            rank.turned_away_ms = rank.turned_away_ms.max(at_ms(turned_away));
            rank.sent_ms = rank.sent_ms.max(at_ms(sent));
        }
    }
}

/// An engine counts as free while what waits there begins within this: with a short prompt's own reading
/// it stays below the shortest latency targets.
pub const FREE_WAIT_MS: f64 = 150.0;
/// Share of the engines that have to be free for the second rank.
const FREE_FOR_SECOND: f64 = 0.1;
/// Share of the engines that have to be free for all later ranks.
const FREE_FOR_LATER: f64 = 0.25;

/// Whether a prompt of this rank (zero is the most urgent) is sent while this share of the engines
/// is free, as far as the engines go.
#[must_use]
pub fn has_capacity(priority: u8, free_share: f64) -> bool {
    match priority {
        0 => true,
        1 => free_share >= FREE_FOR_SECOND,
        _ => free_share >= FREE_FOR_LATER,
    }
}
