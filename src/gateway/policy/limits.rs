//! Rate limits that endpoints set for all entries together.
//!
//! Load pattern: an engine recovers, or is throttled, and asks for a few requests per second while
//! the fleet goes on sending its share of a burst to it. Only the entries that it responds to know the
//! limit; the others send on until they learn it. If each entry kept to the whole limit by itself,
//! the engine would get a multiple of it.
//!
//! So entries tell each other of limits, and each sends its share: a number of requests per
//! [`WINDOW_MS`], since a fraction of one request per second is of no use. With more entries than
//! requests, the first ones by rendezvous hashing have a share of one and the others none, so the
//! sum stays below the limit in a fleet of any size. An entry that does not know its position among
//! the others sends nothing.
//!
//! Entries without a share learn of the end of a limit from the others. The newest change is the
//! one with the highest stamp. A stamp grows with each change and follows the time of day, so that
//! it also orders changes by entries that no longer know the earlier ones.
//!
//! The entries with a share may get no requests for the endpoint, and then never see the limit end.
//! So they also tell the others that the endpoint still states it. Once nobody has told so for
//! [`UNCONFIRMED_MS`], the other entries try the endpoint with a request each, one after the other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::EndpointKey;
use crate::gateway::policy::warmup;

/// Window in which a limit is divided into shares.
pub const WINDOW_MS: u64 = 4_000;
/// A change younger than this is sent in each round, the rest in rotation: all engines of a zone
/// may set limits at the same time.
const RECENT_CHANGE_MS: u64 = 2_000;
/// Rounds in which each known limit is sent once, and the length of a round.
const ROUNDS: u8 = 16;
const ROUND_MS: u64 = 200;
/// How long the end of a limit is sent, so that entries that were partitioned or lost datagrams
/// still learn of it.
const END_SENT_MS: u64 = 10_000;
/// How long the limit of an endpoint that is not listed is kept. Its record may only be missing or unreadable for a while.
const UNLISTED_MS: u64 = 60_000;

/// Minimum interval between two messages that a limit is still stated.
const CONFIRM_MS: u64 = 2_000;
/// Time without a confirmation after which an entry without a share may try the endpoint. Longer than it
/// takes to use a share of one request and to tell of the answer in rotation, from entry to entry.
const UNCONFIRMED_MS: u64 = 20_000;
/// Interval between the trials of successive entries, in which one of them tells the others of its
/// answer; shorter in a large fleet, so that the last one waits for no longer than
/// [`TRIAL_SPREAD_MS`].
const TRIAL_STEP_MS: u64 = 500;
const TRIAL_SPREAD_MS: u64 = 30_000;

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// Returns `None` if the value is not a rate.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0).round() as u32))
    }

    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Returns the requests in a window; at least one, since only a response shows that a limit has
    /// ended.
    fn in_window(self) -> usize {
        ((u64::from(self.0) * WINDOW_MS / 1_000_000) as usize).max(1)
    }
}

/// Returns how many requests an entry may send in a window to an endpoint with this limit.
#[must_use]
pub fn share(rate: Rate, position: Option<warmup::Position>) -> u32 {
    let Some(position) = position else {
        return 0;
    };
    let (all, entries) = (rate.in_window(), position.entries.max(1));
    (all / entries + usize::from(position.rank < all % entries)) as u32
}

/// Returns how long after the last confirmation of a limit an entry without a share of it may try the
/// endpoint with one request; `None` while it does not know the others.
fn trial_delay_ms(rate: Rate, position: Option<warmup::Position>) -> Option<u64> {
    let position = position?;
    let entries_before = position.rank.saturating_sub(rate.in_window()) as u64;
    let step_ms = TRIAL_STEP_MS.min(TRIAL_SPREAD_MS / position.entries.max(1) as u64);
    Some(UNCONFIRMED_MS + entries_before * step_ms)
}

/// A limit or its end, as entries tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    pub endpoint: EndpointKey,
    pub stamp: u64,
    /// `None` if the endpoint no longer has a limit.
    pub rate: Option<Rate>,
}

/// The limit of one endpoint, and the use of the share of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    stamp: u64,
    /// Stamp of the last change, or of the first confirmation after a time without any.
    changed_stamp: u64,
    rate: Option<Rate>,
    /// When the endpoint last stated the limit or a peer sent it; for an ended limit, when it
    /// ended.
    confirmed_ms: u64,
    /// When the stamp was last renewed because the endpoint still stated the limit.
    stamped_ms: u64,
    changed_ms: u64,
    /// Requests per window.
    share: u32,
    share_since_ms: u64,
    /// See [`trial_delay_ms`].
    trial_delay_ms: Option<u64>,
    /// Zero before the first request.
    last_send_ms: u64,
}

impl State {
    /// Records that the limit is still stated, under this stamp.
    fn confirm(&mut self, stamp: u64, now_ms: u64) {
        // Entries that try the endpoint one after the other have to learn this at once.
        if now_ms >= self.confirmed_ms + UNCONFIRMED_MS {
            self.changed_ms = now_ms;
            self.changed_stamp = stamp;
        }
        self.stamp = stamp;
        self.stamped_ms = now_ms;
        self.confirmed_ms = now_ms;
    }

    fn has_room(&self, now_ms: u64) -> bool {
        if self.share > 0 {
            let last_ms = self.last_send_ms.max(self.share_since_ms);
            return now_ms > last_ms + WINDOW_MS / u64::from(self.share);
        }
        let last_ms = self.last_send_ms.max(self.confirmed_ms);
        self.trial_delay_ms.is_some_and(|delay_ms| now_ms > last_ms + delay_ms)
    }
}

/// A change of the limit of an endpoint; `None` stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub before: Option<Rate>,
    pub now: Option<Rate>,
}

/// Numbers of limited endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub limited: usize,
    /// Endpoints to which this entry may not send.
    pub without_share: usize,
}

/// Limits of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    states: HashMap<EndpointKey, State>,
}

impl Limits {
    /// Records the limit in the response to a request that was sent at `sent_ms`; `unix_ms` is the
    /// time of day. Returns the change, if there is one.
    ///
    /// A response without a limit ends a limit only if its request was sent after the limit was last
    /// stated, since responses overtake each other.
    pub fn record_response(
        &mut self,
        endpoint: EndpointKey,
        named: Option<Rate>,
        sent_ms: u64,
        now_ms: u64,
        unix_ms: u64,
    ) -> Option<Change> {
        let before = match (named, self.states.get_mut(&endpoint)) {
            (None, None) => return None,
            (None, Some(state)) if state.rate.is_none() || sent_ms < state.confirmed_ms => {
                return None;
            }
            (Some(rate), Some(state)) if state.rate == Some(rate) => {
                if now_ms >= state.stamped_ms + CONFIRM_MS {
                    state.confirm(unix_ms.max(state.stamp + 1), now_ms);
                }
                state.confirmed_ms = now_ms;
                return None;
            }
            (_, state) => state.map_or(0, |state| state.stamp),
        };
        let stamp = unix_ms.max(before + 1);
        self.set(LimitUpdate { endpoint, stamp, rate: named }, now_ms)
    }

    /// Applies an update from a peer if it is newer than the known state.
    pub fn apply_update(&mut self, update: LimitUpdate, now_ms: u64) -> Option<Change> {
        let order = |stamp: u64, rate: Option<Rate>| (stamp, rate.is_some());
        let is_newer = self
            .states
            .get(&update.endpoint)
            .is_none_or(|state| order(state.stamp, state.rate) < order(update.stamp, update.rate));
        if is_newer { self.set(update, now_ms) } else { None }
    }

    fn set(&mut self, update: LimitUpdate, now_ms: u64) -> Option<Change> {
        if let Some(state) = self.states.get_mut(&update.endpoint)
            && state.rate == update.rate
        {
            state.confirm(update.stamp, now_ms);
            return None;
        }
        let before = self.states.get(&update.endpoint).copied();
        let state = State {
            stamp: update.stamp,
            changed_stamp: update.stamp,
            rate: update.rate,
            confirmed_ms: now_ms,
            stamped_ms: now_ms,
            changed_ms: now_ms,
            share: before.map_or(0, |state| state.share),
            share_since_ms: before.map_or(now_ms, |state| state.share_since_ms),
            trial_delay_ms: None,
            last_send_ms: before.map_or(0, |state| state.last_send_ms),
        };
        self.states.insert(update.endpoint, state);
        let before = before.and_then(|state| state.rate);
        Some(Change { before, now: update.rate })
    }

    /// Recomputes this entry's share of each limit from its position among the entries.
    pub fn set_shares(
        &mut self,
        now_ms: u64,
        position: impl Fn(EndpointKey) -> Option<warmup::Position>,
    ) {
        for (endpoint, state) in &mut self.states {
            let position = state.rate.and_then(|_| position(*endpoint));
            if state.share == 0 {
                state.share_since_ms = now_ms;
            }
            state.share = state.rate.map_or(0, |rate| share(rate, position));
            state.trial_delay_ms = state.rate.and_then(|rate| trial_delay_ms(rate, position));
        }
    }

    /// Returns whether this entry may send one more request to the endpoint now.
    #[must_use]
    pub fn has_room(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        let limited = self.states.get(&endpoint).filter(|state| state.rate.is_some());
        limited.is_none_or(|state| state.has_room(now_ms))
    }

    /// Records a request that is sent to the endpoint now.
    pub fn record_send(&mut self, endpoint: EndpointKey, now_ms: u64) {
        if let Some(state) = self.states.get_mut(&endpoint) {
            state.last_send_ms = now_ms;
        }
    }

    /// Returns what the endpoint takes from all entries together, if it is limited.
    #[must_use]
    pub fn rate(&self, endpoint: EndpointKey) -> Option<Rate> {
        self.states.get(&endpoint)?.rate
    }

    #[must_use]
    pub fn counts(&self) -> Counts {
        let limited = self.states.values().filter(|state| state.rate.is_some());
        let shares = limited.map(|state| state.share);
        shares.fold(Counts::default(), |counts, share| Counts {
            limited: counts.limited + 1,
            without_share: counts.without_share + usize::from(share == 0),
        })
    }

    /// Returns the updates to send now: recent changes, and the part of all others that is due in
    /// this round.
    #[must_use]
    pub fn updates(&self, now_ms: u64) -> Vec<LimitUpdate> {
        let round = (now_ms / ROUND_MS % u64::from(ROUNDS)) as u8;
        let is_sent = |(endpoint, state): &(&EndpointKey, &State)| {
            now_ms < state.changed_ms + RECENT_CHANGE_MS || endpoint.part_of(ROUNDS) == round
        };
        let update = |(endpoint, state): (&EndpointKey, &State)| LimitUpdate {
            endpoint: *endpoint,
            stamp: state.stamp,
            rate: state.rate,
        };
        let mut all: Vec<LimitUpdate> = self.states.iter().filter(is_sent).map(update).collect();
        all.sort_unstable_by_key(|update| update.endpoint);
        all
    }

    /// Returns the stamp of the newest change; zero if there is none.
    #[must_use]
    pub fn newest_stamp(&self) -> u64 {
        self.states.values().map(|state| state.changed_stamp).max().unwrap_or(0)
    }

    /// Removes endpoints that have not been listed for some time, and ended limits that were sent for long enough.
    pub fn sweep(&mut self, now_ms: u64, is_listed: impl Fn(EndpointKey) -> bool) {
        self.states.retain(|endpoint, state| match state.rate {
            Some(_) => is_listed(*endpoint) || now_ms < state.confirmed_ms + UNLISTED_MS,
            None => now_ms < state.confirmed_ms + END_SENT_MS,
        });
    }
}
