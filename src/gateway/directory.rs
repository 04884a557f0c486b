//! The endpoints that may take requests, as the platform's store lists them.
//!
//! Entries lapse while the store is away although their endpoints live on; such entries come back
//! soon after the store does. So what vanishes around the store's return is kept for a grace time,
//! and taken out when it is still missing then. What says that it is leaving goes at once.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Names an endpoint across all instances: a digest of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey([u8; 8]);

impl EndpointKey {
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3::xxh3_64(id.as_bytes()).to_le_bytes())
    }

    /// Which of so many parts of a table the endpoint belongs to.
    #[must_use]
    pub fn part_of(self, parts: u8) -> u8 {
        self.0[0] % parts.max(1)
    }
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    pub key: EndpointKey,
    pub id: CompactString,
    pub service: CompactString,
    pub addr: SocketAddr,
    pub zone: CompactString,
    /// When this start of it began, on the platform's clock in Unix milliseconds: tells it from an earlier
    /// one under the same id, whose memory is lost.
    pub started_unix_ms: u64,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// It serves what it has and takes nothing new.
    pub is_leaving: bool,
}

/// One change in the store's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Present(Endpoint),
    /// The entry is gone, or can't be read.
    Gone(CompactString),
}

/// A change with the store's revision at which it was made, where the store tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub change: Change,
    pub revision: u64,
    /// For how long the endpoint stays cold.
    pub cold_ms: u32,
}

/// An endpoint that is cold: it takes only few requests a second for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    pub endpoint: EndpointKey,
    pub remaining_ms: u64,
}

/// News of a cold endpoint that would end its time this much later come of their way through the store;
/// what is later means that it has turned cold once more.
const COLD_LATE_MS: u64 = 400;

/// An entry that has vanished around the store's return and is kept for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapsed {
    pub endpoint: EndpointKey,
    pub remaining_ms: u64,
}

/// All endpoints, with the revision of the store at which they last changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    revision: u64,
    endpoints: Vec<Endpoint>,
    /// Entries that vanished around the store's return, and when each is given up.
    #[serde(skip)]
    lapsed: HashMap<EndpointKey, u64>,
    /// Endpoints that are cold, and until when.
    #[serde(skip)]
    cold: HashMap<EndpointKey, u64>,
}

impl Directory {
    /// Revision of the store at which the list last changed.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Endpoints of a service that take new requests.
    pub fn accepting<'a, 'b>(
        &'a self,
        service: &'b str,
    ) -> impl Iterator<Item = &'a Endpoint> + use<'a, 'b> {
        self.endpoints.iter().filter(move |one| one.service == service && !one.is_leaving)
    }

    #[must_use]
    pub fn find(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.iter().find(|one| one.key == key)
    }

    /// Takes a whole list of the store. `keep_until_ms`: what is missing from the list is kept until
    /// then. Gives whether anything changed.
    pub fn replace(
        &mut self,
        listed: Vec<Endpoint>,
        revision: u64,
        keep_until_ms: Option<u64>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let mut endpoints = listed;
        for old in &self.endpoints {
            if endpoints.iter().any(|one| one.key == old.key) {
                self.lapsed.remove(&old.key);
            } else if let Some(until_ms) = keep_until_ms.filter(|_| !old.is_leaving) {
                self.lapsed.entry(old.key).or_insert(until_ms);
                endpoints.push(old.clone());
            }
        }
        self.set(endpoints, revision)
    }

    /// Takes what a watch brought, up to the store's revision. Gives whether anything changed.
    ///
    /// A watch that goes on after an outage brings old changes first. What a peer's newer list has
    /// told already is left out: an endpoint that is known to be gone would come back by its last
    /// beat, and its removal behind that would look like a lapse. One that lapsed and came back would be
    /// given up after its grace time, since its return is left out as old.
    pub fn apply_events(
        &mut self,
        events: impl Iterator<Item = Event>,
        revision: u64,
        keep_until_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let known = self.revision;
        if revision <= known {
            return false;
        }
        let events = newer(events.collect(), known);
        let mut is_changed = self.update_cold(&events, revision, now_ms);
        for event in events {
            is_changed |= self.apply(event.change, revision.max(known), keep_until_ms);
        }
        is_changed
    }

    /// Takes from the store how long endpoints stay cold. Gives whether any has turned cold.
    pub fn update_cold(&mut self, events: &[Event], revision: u64, now_ms: u64) -> bool {
        let mut is_changed = false;
        for event in events {
            if let Change::Present(endpoint) = &event.change {
                is_changed |= self.set_cold(endpoint.key, event.cold_ms, now_ms);
            }
        }
        if is_changed {
            self.revision = self.revision.max(revision);
        }
        is_changed
    }

    fn set_cold(&mut self, endpoint: EndpointKey, cold_ms: u32, now_ms: u64) -> bool {
        let until_ms = now_ms + u64::from(cold_ms);
        let known_ms = self.cold_until_ms(endpoint, now_ms);
        if cold_ms == 0 {
            self.cold.remove(&endpoint);
            return false;
        }
        let is_known = known_ms.is_some_and(|known_ms| until_ms <= known_ms + COLD_LATE_MS);
        let until_ms = if is_known { known_ms.unwrap_or(until_ms).min(until_ms) } else { until_ms };
        self.cold.insert(endpoint, until_ms);
        !is_known
    }

    /// Until when an endpoint is cold, if it is.
    #[must_use]
    pub fn cold_until_ms(&self, endpoint: EndpointKey, now_ms: u64) -> Option<u64> {
        self.cold.get(&endpoint).copied().filter(|until_ms| now_ms < *until_ms)
    }

    /// Whether any endpoint is cold.
    #[must_use]
    pub fn has_cold(&self, now_ms: u64) -> bool {
        self.cold.values().any(|until_ms| now_ms < *until_ms)
    }

    /// Endpoints that are cold, with the time left for each, for peers.
    #[must_use]
    pub fn cold(&self, now_ms: u64) -> Vec<Cold> {
        let cold = self.cold.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        cold.map(|(endpoint, until_ms)| Cold {
            endpoint: *endpoint,
            remaining_ms: until_ms - now_ms,
        })
        .collect()
    }

    /// Takes one change of the store. Gives whether anything changed.
    pub fn apply(&mut self, change: Change, revision: u64, keep_until_ms: Option<u64>) -> bool {
        let mut endpoints = self.endpoints.clone();
        match change {
            Change::Present(endpoint) => {
                self.lapsed.remove(&endpoint.key);
                endpoints.retain(|one| one.key != endpoint.key);
                endpoints.push(endpoint);
            }
            Change::Gone(id) => {
                let key = EndpointKey::of(&id);
                let leaving = self.find(key).is_none_or(|one| one.is_leaving);
                match keep_until_ms.filter(|_| !leaving) {
                    Some(until_ms) => {
                        self.lapsed.entry(key).or_insert(until_ms);
                    }
                    None => endpoints.retain(|one| one.key != key),
                }
            }
        }
        self.set(endpoints, revision)
    }

    /// Takes out what has been missing for its whole grace time. Gives whether anything changed.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.endpoints.len();
        let lapsed = &mut self.lapsed;
        self.endpoints.retain(|one| lapsed.get(&one.key).is_none_or(|until_ms| now_ms < *until_ms));
        lapsed.retain(|_, until_ms| now_ms < *until_ms);
        self.cold.retain(|_, until_ms| now_ms < *until_ms);
        self.endpoints.len() != before
    }

    /// Entries that have vanished and are still kept, with the time left for each, for peers.
    #[must_use]
    pub fn lapsed(&self, now_ms: u64) -> Vec<Lapsed> {
        let left = |(endpoint, until_ms): (&EndpointKey, &u64)| Lapsed {
            endpoint: *endpoint,
            remaining_ms: until_ms.saturating_sub(now_ms),
        };
        self.lapsed.iter().map(left).collect()
    }

    /// Takes a peer's directory if it is newer than this one. What the peer keeps for a grace time
    /// is kept here for no longer.
    pub fn adopt(&mut self, other: Self, lapsed: &[Lapsed], cold: &[Cold], now_ms: u64) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        *self = other;
        self.lapsed = lapsed.iter().map(|one| (one.endpoint, now_ms + one.remaining_ms)).collect();
        self.cold = cold.iter().map(|one| (one.endpoint, now_ms + one.remaining_ms)).collect();
        true
    }

    fn set(&mut self, mut endpoints: Vec<Endpoint>, revision: u64) -> bool {
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        if endpoints == self.endpoints && self.revision != 0 {
            return false;
        }
        self.endpoints = endpoints;
        self.revision = revision;
        true
    }
}

/// The changes that a list as of revision `known` does not tell yet.
///
/// A removal bears the revision of the endpoint's last beat, so only a return behind it that the list tells
/// shows that it is old as well.
fn newer(events: Vec<Event>, known: u64) -> Vec<Event> {
    let mut returned = HashSet::new();
    let mut newer: Vec<Event> = Vec::with_capacity(events.len());
    for event in events.into_iter().rev() {
        match &event.change {
            Change::Present(endpoint) if event.revision <= known => {
                returned.insert(endpoint.key);
            }
            Change::Gone(id) if returned.contains(&EndpointKey::of(id)) => {}
            Change::Present(_) | Change::Gone(_) => newer.push(event),
        }
    }
    newer.reverse();
    newer
}
