//! How many requests go to an endpoint that is cold. Pure.
//!
//! The load pattern: the endpoints of an availability zone come back at once, empty and cold, in the middle of
//! a burst. To every entry they look like the least busy ones, so all send there at once; a cold endpoint
//! that gets more than a few requests a second crashes, and all that were sent to it are lost.
//!
//! Hundreds of entries share a bound of a dozen requests a second, and may not hear of each other. A share
//! for each would be less than one request. So one entry alone sends to a cold endpoint: its keeper, by
//! rendezvous hashing over the entries of the endpoint's zone. Entries whose views differ, while some start
//! or are cut off, may take two for the keeper at a time, so each keeps to half of the bound. One that hears
//! less than half of the entries that it knew is no keeper: the others may have put one in its place, and
//! several such groups would each have a keeper of their own.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use compact_str::CompactString;
use xxhash_rust::xxh3;

use crate::gateway::directory::EndpointKey;

/// DesignatedSenders of one endpoint at a time, while views differ.
const KEEPERS: f64 = 2.0;
/// The bound holds for any second; what is sent in a little more may arrive within one.
const WINDOW_MS: u64 = 1_080;
/// After a connection to an endpoint was refused it may have started again, cold, which the store tells only
/// after its next beat.
const SUSPECT_MS: u64 = 2_000;
/// After an availability zone was taken back its endpoints may have turned cold just before, which arrives
/// by another way.
pub const TAKEN_BACK_MS: u64 = 1_000;

/// Requests in a second that a cold endpoint may get from this entry, of this rate of its service.
#[must_use]
pub fn max_per_s_per_sender(per_s: f64, factor: f64, extra: f64) -> u32 {
    let part = ((per_s * factor + extra) / KEEPERS).floor();
    part.min(per_s.ceil()).max(1.0) as u32
}

/// An entry that may be the keeper of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub addr: SocketAddr,
    pub zone: CompactString,
}

/// The candidates at one time; until when they were these.
#[derive(Clone, Debug)]
struct View {
    candidates: Vec<Candidate>,
    /// This entry heard at least half of those that it knew.
    hears_half: bool,
    until_ms: u64,
}

/// An entry's place among those that may send to an endpoint, the endpoint's own zone first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Zero comes first.
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

    /// The one that sends to an endpoint of this zone.
    fn keeper(&self, endpoint: EndpointKey, zone: &str) -> Option<SocketAddr> {
        let has_zone = self.candidates.iter().any(|one| one.zone == zone);
        let entitled = self.candidates.iter().filter(|one| !has_zone || one.zone == zone);
        entitled.map(|one| one.addr).max_by_key(|addr| weight(endpoint, *addr))
    }
}

fn weight(endpoint: EndpointKey, entry: SocketAddr) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    endpoint.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}

/// The candidates as this entry has seen them lately.
///
/// A keeper acts only once it has been the keeper for the time in which the bound holds: where the views
/// change quickly, one keeper after another would each spend the bound within the same second.
#[derive(Clone, Debug, Default)]
pub struct DesignatedSenders {
    views: VecDeque<View>,
}

impl DesignatedSenders {
    /// These are the candidates now; none while this entry does not know the others.
    pub fn observe(&mut self, candidates: Vec<Candidate>, hears_half: bool, now_ms: u64) {
        let is_same =
            |last: &&mut View| last.hears_half == hears_half && last.candidates == candidates;
        match self.views.back_mut().filter(is_same) {
            Some(last) => last.until_ms = now_ms,
            None => self.views.push_back(View { candidates, hears_half, until_ms: now_ms }),
        }
        while self.views.len() > 1 && now_ms >= self.views[0].until_ms + WINDOW_MS {
            self.views.pop_front();
        }
    }

    /// This entry's place among those that may send to an endpoint: the last one that it has had lately,
    /// among the most entries. `None` while it does not know the others.
    #[must_use]
    pub fn position(&self, own: SocketAddr, endpoint: EndpointKey, zone: &str) -> Option<Position> {
        let standings: Option<Vec<Position>> =
            self.views.iter().map(|view| view.position(own, endpoint, zone)).collect();
        standings?
            .into_iter()
            .reduce(|a, b| Position { rank: a.rank.max(b.rank), entries: a.entries.max(b.entries) })
    }

    /// Whether this entry has been the keeper of an endpoint for long enough.
    #[must_use]
    pub fn is_designated(&self, own: SocketAddr, endpoint: EndpointKey, zone: &str) -> bool {
        let keeps = |view: &View| view.hears_half && view.keeper(endpoint, zone) == Some(own);
        !self.views.is_empty() && self.views.iter().all(keeps)
    }
}

/// What this entry may send to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    pub until_ms: u64,
    /// Zero where another entry is the keeper.
    pub max_per_s: u32,
}

/// Endpoints that are cold, or may be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdEndpoints {
    pub endpoints: HashMap<EndpointKey, ColdLimit>,
}

impl ColdEndpoints {
    fn allowed(&self, endpoint: EndpointKey, now_ms: u64) -> Option<ColdLimit> {
        self.endpoints.get(&endpoint).copied().filter(|allowed| now_ms < allowed.until_ms)
    }
}

/// This entry's latest sends to endpoints of services that know a cold endpoint's rate.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    at_ms: HashMap<EndpointKey, VecDeque<u64>>,
    refused_ms: HashMap<EndpointKey, u64>,
}

impl ColdSends {
    /// A connection to the endpoint was refused, or not made in time.
    pub fn record_refused(&mut self, endpoint: EndpointKey, now_ms: u64) {
        self.refused_ms.insert(endpoint, now_ms);
    }

    /// Whether the endpoint may get one more request from this entry now.
    #[must_use]
    pub fn has_room(&self, endpoint: EndpointKey, warming: &ColdEndpoints, now_ms: u64) -> bool {
        let most = match warming.allowed(endpoint, now_ms) {
            Some(allowed) => allowed.max_per_s,
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

    /// A request goes to the endpoint now.
    pub fn record_send(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let at_ms = self.at_ms.entry(endpoint).or_default();
        while at_ms.front().is_some_and(|sent_ms| now_ms >= sent_ms + WINDOW_MS) {
            at_ms.pop_front();
        }
        at_ms.push_back(now_ms);
    }

    /// Forgets what is of no matter any more.
    pub fn sweep(&mut self, now_ms: u64) {
        self.at_ms.retain(|_, at_ms| at_ms.back().is_some_and(|sent| now_ms < sent + WINDOW_MS));
        self.refused_ms.retain(|_, at_ms| now_ms < *at_ms + SUSPECT_MS);
    }
}
