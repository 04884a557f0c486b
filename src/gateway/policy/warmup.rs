//! Request rate limits for cold endpoints.
//!
//! Load pattern: the endpoints of an availability zone come back all at the same time, empty and
//! cold, in the middle of a burst. They look least busy to every entry, so all entries send there
//! together. A cold endpoint that gets more than a few requests per second crashes, and all
//! requests sent to it are lost.
//!
//! Hundreds of entries share a limit of a dozen requests per second and may not know of each other;
//! a share for each would be less than one request. So only one entry sends to a cold endpoint: its
//! designated sender, chosen by rendezvous hashing over the entries of the endpoint's zone. Entries
//! whose views differ, because some are starting or partitioned, may choose two senders at a time,
//! so each keeps to half of the limit. An entry that receives messages from less than half of
//! the entries that it knew is no sender: the others may have replaced it, and several such groups
//! would each have a sender of their own.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use compact_str::CompactString;
use xxhash_rust::xxh3;

use crate::gateway::directory::EndpointKey;

/// Designated senders of one endpoint at a time, while views differ.
const MAX_SENDERS: f64 = 2.0;
/// The limit holds for any second. The window is slightly longer, since requests sent within it may
/// arrive within one second.
const WINDOW_MS: u64 = 1_080;
/// An endpoint that refused a connection may have restarted and be cold; the store shows that only
/// after its next heartbeat.
const SUSPECT_MS: u64 = 2_000;
/// When an availability zone is restored to service, its endpoints may have turned cold just
/// before; that information arrives by another path.
pub const RESTORED_MS: u64 = 1_000;

/// Returns how many requests per second one sender may send to a cold endpoint of a service with
/// this cold rate.
#[must_use]
pub fn max_per_s_per_sender(per_s: f64, factor: f64, extra: f64) -> u32 {
    let share = ((per_s * factor + extra) / MAX_SENDERS).floor();
    share.min(per_s.ceil()).max(1.0) as u32
}

/// An entry that may be the designated sender of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub addr: SocketAddr,
    pub zone: CompactString,
}

/// The candidates as known until `until_ms`.
#[derive(Clone, Debug)]
struct View {
    candidates: Vec<Candidate>,
    /// Whether this entry received messages from at least half of the entries that it knew.
    has_quorum: bool,
    until_ms: u64,
}

/// Position of an entry among those that may send to an endpoint; the entries of the endpoint's
/// zone come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Zero is the first.
    pub rank: usize,
    pub entries: usize,
}

impl View {
    fn position(&self, own: SocketAddr, endpoint: EndpointKey, zone: &str) -> Option<Position> {
        let order = |one: &Candidate| (one.zone == zone, weight(endpoint, one.addr));
        let own = order(self.candidates.iter().find(|one| one.addr == own)?);
        let rank = self.candidates.iter().filter(|one| order(one) > own).count();
        Some(Position { rank, entries: self.candidates.len() })
    }

    /// Returns the entry that sends to an endpoint of this zone.
    fn sender(&self, endpoint: EndpointKey, zone: &str) -> Option<SocketAddr> {
        let has_zone = self.candidates.iter().any(|one| one.zone == zone);
        let eligible = self.candidates.iter().filter(|one| !has_zone || one.zone == zone);
        eligible.map(|one| one.addr).max_by_key(|addr| weight(endpoint, *addr))
    }
}

fn weight(endpoint: EndpointKey, entry: SocketAddr) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    endpoint.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}

/// Recent views of the candidates.
///
/// An entry acts as sender only once it has been the sender throughout the window in which the
/// limit holds: when views change quickly, one sender after another would each use up the limit
/// within the same second.
#[derive(Clone, Debug, Default)]
pub struct DesignatedSenders {
    views: VecDeque<View>,
}

impl DesignatedSenders {
    /// Records the current candidates; empty while this entry does not know the others.
    pub fn observe(&mut self, candidates: Vec<Candidate>, has_quorum: bool, now_ms: u64) {
        let is_same =
            |last: &&mut View| last.has_quorum == has_quorum && last.candidates == candidates;
        match self.views.back_mut().filter(is_same) {
            Some(last) => last.until_ms = now_ms,
            None => self.views.push_back(View { candidates, has_quorum, until_ms: now_ms }),
        }
        while self.views.len() > 1 && now_ms >= self.views[0].until_ms + WINDOW_MS {
            self.views.pop_front();
        }
    }

    /// Returns the position of this entry among those that may send to an endpoint: the worst rank
    /// in the recent views, among the highest number of entries. `None` while it does not know the
    /// others.
    #[must_use]
    pub fn position(&self, own: SocketAddr, endpoint: EndpointKey, zone: &str) -> Option<Position> {
        let positions: Option<Vec<Position>> =
            self.views.iter().map(|view| view.position(own, endpoint, zone)).collect();
        positions?
            .into_iter()
            .reduce(|a, b| Position { rank: a.rank.max(b.rank), entries: a.entries.max(b.entries) })
    }

    /// Returns whether this entry has been the sender of an endpoint throughout the recent views.
    #[must_use]
    pub fn is_designated(&self, own: SocketAddr, endpoint: EndpointKey, zone: &str) -> bool {
        let is_sender = |view: &View| view.has_quorum && view.sender(endpoint, zone) == Some(own);
        !self.views.is_empty() && self.views.iter().all(is_sender)
    }
}

/// What this entry may send to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    pub until_ms: u64,
    /// Zero if another entry is the sender.
    pub max_per_s: u32,
}

/// Endpoints that are cold, or may be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdEndpoints {
    pub endpoints: HashMap<EndpointKey, ColdLimit>,
}

impl ColdEndpoints {
    fn limit(&self, endpoint: EndpointKey, now_ms: u64) -> Option<ColdLimit> {
        self.endpoints.get(&endpoint).copied().filter(|limit| now_ms < limit.until_ms)
    }
}

/// Recent sends of this entry to endpoints of services with a cold rate.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    at_ms: HashMap<EndpointKey, VecDeque<u64>>,
    refused_ms: HashMap<EndpointKey, u64>,
}

impl ColdSends {
    /// Records that a connection to the endpoint was refused or timed out.
    pub fn record_refused(&mut self, endpoint: EndpointKey, now_ms: u64) {
        self.refused_ms.insert(endpoint, now_ms);
    }

    /// Returns whether this entry may send one more request to the endpoint now.
    #[must_use]
    pub fn has_room(&self, endpoint: EndpointKey, cold: &ColdEndpoints, now_ms: u64) -> bool {
        let most = match cold.limit(endpoint, now_ms) {
            Some(limit) => limit.max_per_s,
            None if self.is_suspect(endpoint, now_ms) => 1,
            None => return true,
        };
        let recent = |sent_ms: &&u64| now_ms < **sent_ms + WINDOW_MS;
        let sent = self.at_ms.get(&endpoint).map_or(0, |at_ms| at_ms.iter().filter(recent).count());
        sent < most as usize
    }

    fn is_suspect(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        self.refused_ms.get(&endpoint).is_some_and(|at_ms| now_ms < at_ms + SUSPECT_MS)
    }

    /// Records a request that is sent to the endpoint now.
    pub fn record_send(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let at_ms = self.at_ms.entry(endpoint).or_default();
        while at_ms.front().is_some_and(|sent_ms| now_ms >= sent_ms + WINDOW_MS) {
            at_ms.pop_front();
        }
        at_ms.push_back(now_ms);
    }

    /// Removes sends and refusals that are too old to matter.
    pub fn sweep(&mut self, now_ms: u64) {
        self.at_ms.retain(|_, at_ms| at_ms.back().is_some_and(|sent| now_ms < sent + WINDOW_MS));
        self.refused_ms.retain(|_, at_ms| now_ms < *at_ms + SUSPECT_MS);
    }
}
