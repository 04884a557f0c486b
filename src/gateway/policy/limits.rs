//! Endpoints that name how many requests a second they take from all entries together. Pure.
//!
//! The load pattern: an engine recovers, or is throttled, and asks for a few requests a second while the
//! fleet goes on sending it its part of a burst. Whoever it answers knows the figure; the others send on until
//! they are told, and if each kept to the whole figure by itself, the engine would get it many times over.
//!
//! So entries tell each other of limits, and each sends its share. A share is a number of requests in
//! [`WINDOW_MS`], since a part of one request a second is of no use to anybody. Where there are more entries
//! than requests, the first ones by rendezvous hashing have a share of one and the others none, so the sum
//! stays below the limit in a fleet of any size. An entry that does not know its place among the others sends
//! nothing.
//!
//! Those without a share hear of the limit's end from the others. What is newest is told by a stamp that grows
//! with each change and follows the time of day, so that it also orders changes by entries that have forgotten
//! the ones before.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::EndpointKey;
use crate::gateway::policy::warmup;

/// The time for which a limit is shared out.
pub const WINDOW_MS: u64 = 4_000;
/// What has changed within this is told each time, the rest in turns: a zone's engines may all name limits.
const NEWS_MS: u64 = 2_000;
/// Turns in which all that is known is told once, and the length of one.
const TURNS: u8 = 16;
const TURN_MS: u64 = 200;
/// How long the end of a limit is told: entries that were cut off, or have lost datagrams, still hear of it.
const END_TOLD_MS: u64 = 10_000;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// `None` where it is no rate.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0).round() as u32))
    }

    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Requests in a window; one at least, since only an answer tells that a limit has ended.
    fn in_window(self) -> usize {
        ((u64::from(self.0) * WINDOW_MS / 1_000_000) as usize).max(1)
    }
}

/// Requests that an entry may send in a window to an endpoint with this limit.
#[must_use]
pub fn share(rate: Rate, standing: Option<warmup::Position>) -> u32 {
    let Some(standing) = standing else {
        return 0;
    };
    let (all, entries) = (rate.in_window(), standing.entries.max(1));
    (all / entries + usize::from(standing.rank < all % entries)) as u32
}

/// A limit, or its end, as entries tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    pub endpoint: EndpointKey,
    pub stamp: u64,
    /// `None`: the endpoint has no limit any more.
    pub rate: Option<Rate>,
}

/// What is known of one endpoint's limit, and how far this entry has used its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    stamp: u64,
    rate: Option<Rate>,
    /// When the endpoint last named it or a peer told of it; since when it has ended.
    known_ms: u64,
    changed_ms: u64,
    /// Requests in a window.
    share: u32,
    /// The last send, or when the share was given.
    used_ms: u64,
}

/// An endpoint's limit has changed; `None`: it has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub before: Option<Rate>,
    pub now: Option<Rate>,
}

/// The limits that endpoints have named.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: HashMap<EndpointKey, Known>,
}

impl Limits {
    /// Takes what the answer to a request that was sent at `sent_ms` says; `unix_ms` is the time of day.
    ///
    /// An answer without a limit ends one only if its request left after the limit was named: answers
    /// overtake each other.
    pub fn record_answer(
        &mut self,
        endpoint: EndpointKey,
        named: Option<Rate>,
        sent_ms: u64,
        now_ms: u64,
        unix_ms: u64,
    ) -> Option<Change> {
        let before = match (named, self.known.get_mut(&endpoint)) {
            (None, None) => return None,
            (None, Some(known)) if known.rate.is_none() || sent_ms < known.known_ms => return None,
            (Some(rate), Some(known)) if known.rate == Some(rate) => {
                known.known_ms = now_ms;
                return None;
            }
            (_, known) => known.map_or(0, |known| known.stamp),
        };
        let stamp = unix_ms.max(before + 1);
        self.set(LimitUpdate { endpoint, stamp, rate: named }, now_ms)
    }

    /// Takes what a peer tells, if it is newer than what is known here.
    pub fn apply_update(&mut self, told: LimitUpdate, now_ms: u64) -> Option<Change> {
        let order = |stamp: u64, rate: Option<Rate>| (stamp, rate.is_some());
        let is_newer = self
            .known
            .get(&told.endpoint)
            .is_none_or(|known| order(known.stamp, known.rate) < order(told.stamp, told.rate));
        if is_newer { self.set(told, now_ms) } else { None }
    }

    fn set(&mut self, told: LimitUpdate, now_ms: u64) -> Option<Change> {
        let before = self.known.get(&told.endpoint).copied();
        let known = Known {
            stamp: told.stamp,
            rate: told.rate,
            known_ms: now_ms,
            changed_ms: now_ms,
            share: before.map_or(0, |known| known.share),
            used_ms: before.map_or(now_ms, |known| known.used_ms),
        };
        self.known.insert(told.endpoint, known);
        let before = before.and_then(|known| known.rate);
        (before != told.rate).then_some(Change { before, now: told.rate })
    }

    /// Gives this entry's share of each limit anew.
    pub fn set_shares(&mut self, now_ms: u64, share: impl Fn(EndpointKey, Rate) -> u32) {
        for (endpoint, known) in &mut self.known {
            let share = known.rate.map_or(0, |rate| share(*endpoint, rate));
            if known.share == 0 {
                known.used_ms = now_ms;
            }
            known.share = share;
        }
    }

    /// Whether an endpoint may get one more request from this entry now.
    #[must_use]
    pub fn has_room(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        let limited = self.known.get(&endpoint).filter(|known| known.rate.is_some());
        limited.is_none_or(|known| {
            known.share > 0 && now_ms > known.used_ms + WINDOW_MS / u64::from(known.share)
        })
    }

    /// A request goes to an endpoint now.
    pub fn record_send(&mut self, endpoint: EndpointKey, now_ms: u64) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.used_ms = now_ms;
        }
    }

    /// What an endpoint takes from all entries together, if it is limited.
    #[must_use]
    pub fn rate(&self, endpoint: EndpointKey) -> Option<Rate> {
        self.known.get(&endpoint)?.rate
    }

    /// Endpoints that are limited.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.values().filter(|known| known.rate.is_some()).count()
    }

    /// What the other entries are told now: the news, and a part of all else.
    #[must_use]
    pub fn updates(&self, now_ms: u64) -> Vec<LimitUpdate> {
        let turn = (now_ms / TURN_MS % u64::from(TURNS)) as u8;
        let is_told = |(endpoint, known): &(&EndpointKey, &Known)| {
            now_ms < known.changed_ms + NEWS_MS || endpoint.part_of(TURNS) == turn
        };
        let told = |(endpoint, known): (&EndpointKey, &Known)| LimitUpdate {
            endpoint: *endpoint,
            stamp: known.stamp,
            rate: known.rate,
        };
        let mut all: Vec<LimitUpdate> = self.known.iter().filter(is_told).map(told).collect();
        all.sort_unstable_by_key(|told| told.endpoint);
        all
    }

    /// Stamp of the newest change; zero: none is known.
    #[must_use]
    pub fn newest_stamp(&self) -> u64 {
        self.known.values().map(|known| known.stamp).max().unwrap_or(0)
    }

    /// Forgets endpoints that are gone, and ends that were told for long enough.
    pub fn sweep(&mut self, now_ms: u64, is_known: impl Fn(EndpointKey) -> bool) {
        self.known.retain(|endpoint, known| {
            let is_told = known.rate.is_some() || now_ms < known.known_ms + END_TOLD_MS;
            is_told && is_known(*endpoint)
        });
    }
}
