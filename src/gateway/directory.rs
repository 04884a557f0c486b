//! Directory of the endpoints that the platform's store lists.
//!
//! During an outage of the store the records of live endpoints expire, and they reappear soon after the
//! store is back. So an endpoint whose record disappears around the store's return is kept for a grace period
//! and removed only if it is still missing then. An endpoint that has reported that it is leaving is removed
//! immediately.
//!
//! A grace period is a guess that an endpoint lives. No entry that hears of one uses the endpoint for longer than its own
//! knowledge allows: grace periods only become shorter on their way between entries, and none outweighs a removal that
//! an entry has seen while the store served it without failures.
//!
//! A store that comes back from an older copy lists what was true before. Lists are ordered by the store's era
//! first. The first list of a new era does not bring back a process that has left or is leaving, or an earlier process
//! in place of a later one under the same id. Such records are set aside until they are written again. Endpoints that
//! the list lacks are kept for a grace period as after an outage.

mod restored;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::store::Era;

/// Identifies an endpoint across all instances: a digest of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey([u8; 8]);

impl EndpointKey {
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3::xxh3_64(id.as_bytes()).to_le_bytes())
    }

    /// Returns the index of the partition, out of `parts`, to which the endpoint belongs.
    #[must_use]
    pub fn part_of(self, parts: u8) -> u8 {
        self.0[0] % parts.max(1)
    }
}

/// Identifies a software version of a service across all instances: a digest of both names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionKey([u8; 8]);

impl VersionKey {
    #[must_use]
    pub fn of(service: &str, version: &str) -> Self {
        let seed = xxh3::xxh3_64(service.as_bytes());
        Self(xxh3::xxh3_64_with_seed(version.as_bytes(), seed).to_le_bytes())
    }

    /// Returns a key that stands for the version of an endpoint whose record is out of date. No endpoint has it.
    #[must_use]
    pub fn unknown(endpoint: EndpointKey) -> Self {
        const SEED: u64 = 0x756e_6b6e_6f77_6e00;
        Self(xxh3::xxh3_64_with_seed(&endpoint.0, SEED).to_le_bytes())
    }
}

/// An endpoint as listed by the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    pub key: EndpointKey,
    pub id: CompactString,
    pub service: CompactString,
    pub addr: SocketAddr,
    pub zone: CompactString,
    /// Start time of this endpoint process on the platform's clock, in Unix milliseconds. It distinguishes
    /// the process from earlier ones under the same id, whose memory is lost.
    pub started_unix_ms: u64,
    /// Version of its software.
    pub version: CompactString,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// It completes its running requests and accepts no new ones.
    pub is_leaving: bool,
}

impl Endpoint {
    /// Returns the key of its software version.
    #[must_use]
    pub fn version_key(&self) -> VersionKey {
        VersionKey::of(&self.service, &self.version)
    }
}

/// A change in the store's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Present(Endpoint),
    /// The record was removed or cannot be decoded. Holds the endpoint's id.
    Gone(CompactString),
}

/// A change with the revision of the store at which it was made, if the store reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub change: Change,
    pub revision: u64,
    /// Remaining time for which the endpoint is cold; zero if it is warm.
    pub cold_ms: u32,
}

/// A cold endpoint: it accepts only a few requests per second while it warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    pub endpoint: EndpointKey,
    pub remaining_ms: u64,
}

/// Tolerance for the end of a cold period. An end that moves by up to this much is due to the delay through
/// the store; a later end means that the endpoint has become cold again.
const COLD_JITTER_MS: u64 = 400;

/// An endpoint whose record disappeared around the store's return and that is kept for a grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapsed {
    pub endpoint: EndpointKey,
    pub remaining_ms: u64,
}

/// A process of an endpoint that was removed, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Removed {
    started_unix_ms: u64,
    at_ms: u64,
    /// Whether the store served the entry that saw the removal without failures, so that the record had not expired in
    /// an outage.
    is_certain: bool,
}

/// A removal as it is sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    pub endpoint: EndpointKey,
    /// Identifies the process, as [`Endpoint::started_unix_ms`] does.
    pub started_unix_ms: u64,
    pub age_ms: u64,
    pub is_certain: bool,
}

/// How long a removal is remembered: longer than entries are cut off from each other.
const REMOVED_RETENTION_MS: u64 = 600_000;
/// Maximum number of removals that are sent to a peer, the latest ones; at most 25 bytes each.
const MAX_REMOVALS: usize = 500;

/// All endpoints, with the revision of the store at which the list last changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    revision: u64,
    endpoints: Vec<Endpoint>,
    /// Endpoints whose record disappeared around the store's return, and the end of each one's grace period.
    #[serde(skip)]
    lapsed: HashMap<EndpointKey, u64>,
    /// Cold endpoints, and the end of each one's cold period.
    #[serde(skip)]
    cold: HashMap<EndpointKey, u64>,
    /// Endpoints that this entry has removed.
    #[serde(skip)]
    removed: HashMap<EndpointKey, Removed>,
    /// Records of a restored store that are set aside, or whose endpoint is leaving.
    #[serde(skip)]
    outdated: HashMap<EndpointKey, restored::Outdated>,
    /// Revision of the first list of the store's era; records with a higher one were written in this era. Zero until
    /// the store has been restored.
    #[serde(skip)]
    restored_revision: u64,
    /// Longest time after its removal for which an endpoint may be used again because a peer keeps it.
    #[serde(skip)]
    readmission_ms: u64,
}

impl Directory {
    /// Creates an empty directory. An endpoint that it has removed is used again for at most
    /// `readmission_ms` after that because a peer keeps it for a grace period.
    #[must_use]
    pub fn new(readmission_ms: u64) -> Self {
        Self { readmission_ms, ..Self::default() }
    }

    /// Era and revision of the store at which the list last changed, see [`Era::version`].
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Returns the endpoints of a service that accept new requests.
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

    /// Applies a complete list from the store and returns whether anything changed. Endpoints that are
    /// missing from the list are kept until `keep_until_ms`, if given.
    pub fn replace(
        &mut self,
        listed: Vec<Endpoint>,
        revision: u64,
        keep_until_ms: Option<u64>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.removed.retain(|key, _| listed.iter().all(|one| one.key != *key));
        let kept_before = self.lapsed.clone();
        let mut endpoints = listed;
        for old in &self.endpoints {
            if endpoints.iter().any(|one| one.key == old.key) {
                self.lapsed.remove(&old.key);
            } else if let Some(until_ms) = keep_until_ms.filter(|_| !old.is_leaving) {
                self.lapsed.entry(old.key).or_insert(until_ms);
                endpoints.push(old.clone());
            }
        }
        self.set(endpoints, revision, &kept_before)
    }

    fn is_new_era(&self, revision: u64) -> bool {
        self.revision != 0 && Era::of(revision) > Era::of(self.revision)
    }

    /// Applies events from a watch, up to `revision` of the store, and returns whether anything changed.
    ///
    /// A watch that resumes after an outage delivers old events first. Events that a peer's newer list
    /// already reflects are skipped. Otherwise the last heartbeat of an endpoint known to be gone would bring
    /// it back, and the removal after it would look like an expired record. An endpoint whose record expired
    /// and returned would be removed after its grace period, because its return is skipped as old.
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
        let events = unseen(events.collect(), known);
        let cold = events.iter().filter_map(|event| match &event.change {
            Change::Present(endpoint) => Some((endpoint.key, event.cold_ms)),
            Change::Gone(_) => None,
        });
        let mut is_changed = self.update_cold(cold, revision, now_ms);
        for event in events {
            is_changed |= self.apply(event.change, revision.max(known), keep_until_ms);
        }
        is_changed
    }

    /// Updates cold periods, given by endpoint with the remaining time, and returns whether any endpoint became cold.
    fn update_cold(
        &mut self,
        cold: impl Iterator<Item = (EndpointKey, u32)>,
        revision: u64,
        now_ms: u64,
    ) -> bool {
        let mut is_changed = false;
        for (endpoint, cold_ms) in cold {
            is_changed |= self.set_cold(endpoint, cold_ms, now_ms);
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
        let is_known = known_ms.is_some_and(|known_ms| until_ms <= known_ms + COLD_JITTER_MS);
        let until_ms = if is_known { known_ms.unwrap_or(until_ms).min(until_ms) } else { until_ms };
        self.cold.insert(endpoint, until_ms);
        !is_known
    }

    /// Returns the end of an endpoint's cold period, or `None` if it is not cold.
    #[must_use]
    pub fn cold_until_ms(&self, endpoint: EndpointKey, now_ms: u64) -> Option<u64> {
        self.cold.get(&endpoint).copied().filter(|until_ms| now_ms < *until_ms)
    }

    /// Returns whether any endpoint is cold.
    #[must_use]
    pub fn has_cold(&self, now_ms: u64) -> bool {
        self.cold.values().any(|until_ms| now_ms < *until_ms)
    }

    /// Returns the cold endpoints with their remaining time, to send to peers.
    #[must_use]
    pub fn cold(&self, now_ms: u64) -> Vec<Cold> {
        let cold = self.cold.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        cold.map(|(endpoint, until_ms)| Cold {
            endpoint: *endpoint,
            remaining_ms: until_ms - now_ms,
        })
        .collect()
    }

    /// Applies one change from the store and returns whether anything changed.
    pub fn apply(&mut self, change: Change, revision: u64, keep_until_ms: Option<u64>) -> bool {
        let kept_before = self.lapsed.clone();
        let mut endpoints = self.endpoints.clone();
        match change {
            Change::Present(endpoint) => {
                self.lapsed.remove(&endpoint.key);
                self.removed.remove(&endpoint.key);
                self.outdated.remove(&endpoint.key);
                endpoints.retain(|one| one.key != endpoint.key);
                endpoints.push(endpoint);
            }
            Change::Gone(id) => {
                let key = EndpointKey::of(&id);
                self.outdated.remove(&key);
                let leaving = self.find(key).is_none_or(|one| one.is_leaving);
                match keep_until_ms.filter(|_| !leaving) {
                    Some(until_ms) => {
                        self.lapsed.entry(key).or_insert(until_ms);
                    }
                    None => {
                        self.lapsed.remove(&key);
                        endpoints.retain(|one| one.key != key);
                    }
                }
            }
        }
        self.set(endpoints, revision, &kept_before)
    }

    /// Removes endpoints whose grace period is over and returns whether there were any. Also drops expired
    /// cold periods.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.endpoints.len();
        let lapsed = &mut self.lapsed;
        self.endpoints.retain(|one| lapsed.get(&one.key).is_none_or(|until_ms| now_ms < *until_ms));
        lapsed.retain(|_, until_ms| now_ms < *until_ms);
        self.cold.retain(|_, until_ms| now_ms < *until_ms);
        let is_any_removed = self.endpoints.len() != before;
        is_any_removed | self.accept_outdated(now_ms)
    }

    /// Returns the endpoints in their grace period with the remaining time, to send to peers.
    #[must_use]
    pub fn lapsed(&self, now_ms: u64) -> Vec<Lapsed> {
        let lapsed = |(endpoint, until_ms): (&EndpointKey, &u64)| Lapsed {
            endpoint: *endpoint,
            remaining_ms: until_ms.saturating_sub(now_ms),
        };
        self.lapsed.iter().map(lapsed).collect()
    }

    /// Replaces this directory with a peer's directory if that is newer, and returns whether it was. Grace
    /// periods end here when they end at the peer, or earlier for endpoints whose record this entry has missed or
    /// that it has removed: a peer that has just reached the store again sees a removal later than this entry did.
    pub fn adopt(&mut self, other: Self, lapsed: &[Lapsed], cold: &[Cold], now_ms: u64) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        let is_new_era = self.is_new_era(other.revision);
        if is_new_era {
            self.restored_revision = other.revision;
        }
        let endpoints = self.without_outdated(other.endpoints, is_new_era, now_ms);
        // An endpoint that a restored store lacks, or lists as an earlier process, may not have been written yet.
        let is_missing = |old: &&Endpoint| {
            let is_doubtful = is_new_era || self.is_set_aside(old.key);
            is_doubtful && !old.is_leaving && endpoints.iter().all(|one| one.key != old.key)
        };
        let until_ms = now_ms + self.readmission_ms;
        let kept_until_ms = |key| self.lapsed.get(key).map_or(until_ms, |own| until_ms.min(*own));
        let missing = self.endpoints.iter().filter(is_missing);
        let missing: Vec<(Endpoint, u64)> =
            missing.map(|one| (one.clone(), kept_until_ms(&one.key))).collect();
        self.revision = other.revision;
        self.endpoints = endpoints;
        self.lapsed = lapsed
            .iter()
            .map(|one| (one.endpoint, self.grace_end_ms(one.endpoint, now_ms + one.remaining_ms)))
            .collect();
        let (listed, kept) = (&self.endpoints, &self.lapsed);
        self.removed
            .retain(|key, _| kept.contains_key(key) || listed.iter().all(|one| one.key != *key));
        for (endpoint, until_ms) in missing {
            self.lapsed.insert(endpoint.key, until_ms);
            self.endpoints.push(endpoint);
        }
        self.endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        let mut cold_until_ms: HashMap<EndpointKey, u64> =
            cold.iter().map(|one| (one.endpoint, now_ms + one.remaining_ms)).collect();
        let kept_cold = self.cold.iter().filter(|(key, _)| self.is_set_aside(**key));
        cold_until_ms.extend(kept_cold.map(|(key, until_ms)| (*key, *until_ms)));
        self.cold = cold_until_ms;
        self.expire(now_ms);
        true
    }

    /// Returns the end of a grace period that lasts until `until_ms` at a peer.
    fn grace_end_ms(&self, endpoint: EndpointKey, until_ms: u64) -> u64 {
        let own_until_ms = self.lapsed.get(&endpoint).copied().unwrap_or(until_ms);
        let started_unix_ms = self.find(endpoint).map(|one| one.started_unix_ms);
        let removed = self.removed.get(&endpoint);
        let removed = removed.filter(|one| Some(one.started_unix_ms) == started_unix_ms);
        let removed_until_ms = removed.map_or(until_ms, |one| match one.is_certain {
            true => one.at_ms,
            false => one.at_ms + self.readmission_ms,
        });
        until_ms.min(own_until_ms).min(removed_until_ms)
    }

    /// Records which endpoints of an earlier state are removed in this one. `is_certain` says that the store has
    /// served this entry without failures, so that no record has expired in an outage.
    pub fn record_removals(&mut self, before: &Self, now_ms: u64, is_certain: bool) {
        self.removed.retain(|_, one| now_ms < one.at_ms + REMOVED_RETENTION_MS);
        for old in &before.endpoints {
            if self.find(old.key).is_none() {
                let started_unix_ms = old.started_unix_ms;
                let removed = Removed { started_unix_ms, at_ms: now_ms, is_certain };
                self.merge_removed(old.key, removed);
            }
        }
    }

    fn merge_removed(&mut self, endpoint: EndpointKey, removed: Removed) {
        let known = self.removed.entry(endpoint).or_insert(removed);
        if known.started_unix_ms == removed.started_unix_ms {
            known.at_ms = known.at_ms.min(removed.at_ms);
            known.is_certain |= removed.is_certain;
        } else if known.started_unix_ms < removed.started_unix_ms {
            *known = removed;
        }
    }

    /// Returns the latest removals, to send to peers.
    #[must_use]
    pub fn removals(&self, now_ms: u64) -> Vec<Removal> {
        let removals = self.removed.iter().map(|(endpoint, removed)| Removal {
            endpoint: *endpoint,
            started_unix_ms: removed.started_unix_ms,
            age_ms: now_ms.saturating_sub(removed.at_ms),
            is_certain: removed.is_certain,
        });
        let mut removals: Vec<Removal> = removals.collect();
        removals.sort_unstable_by_key(|removal| (removal.age_ms, removal.endpoint));
        removals.truncate(MAX_REMOVALS);
        removals
    }

    /// Records removals that a peer has seen, after its list was adopted. Returns whether an endpoint in its grace
    /// period was removed.
    pub fn learn_removals(&mut self, removals: &[Removal], now_ms: u64) -> bool {
        for removal in removals {
            let known = self.find(removal.endpoint);
            let is_same =
                known.is_some_and(|known| known.started_unix_ms == removal.started_unix_ms);
            if known.is_some() && !(is_same && self.lapsed.contains_key(&removal.endpoint)) {
                continue;
            }
            self.merge_removed(
                removal.endpoint,
                Removed {
                    started_unix_ms: removal.started_unix_ms,
                    at_ms: now_ms.saturating_sub(removal.age_ms),
                    is_certain: removal.is_certain,
                },
            );
            if let Some(until_ms) = self.lapsed.get(&removal.endpoint).copied() {
                let until_ms = self.grace_end_ms(removal.endpoint, until_ms);
                self.lapsed.insert(removal.endpoint, until_ms);
            }
        }
        self.expire(now_ms)
    }

    /// Sets the endpoints as of a revision, and returns whether they or those in their grace period have changed since
    /// `kept_before`. Peers pull only what is newer, so grace periods that begin or end early are changes as well.
    fn set(
        &mut self,
        mut endpoints: Vec<Endpoint>,
        revision: u64,
        kept_before: &HashMap<EndpointKey, u64>,
    ) -> bool {
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        let is_kept_before = |key| kept_before.contains_key(key);
        let keeps_same =
            self.lapsed.len() == kept_before.len() && self.lapsed.keys().all(is_kept_before);
        if endpoints == self.endpoints && keeps_same && self.revision != 0 {
            if self.is_new_era(revision) {
                self.revision = revision;
            }
            return false;
        }
        self.endpoints = endpoints;
        self.revision = revision;
        true
    }
}

/// Returns the events that a list as of revision `known` does not reflect yet.
///
/// A removal carries the revision of the endpoint's last heartbeat, so its own revision does not show its
/// age. It counts as old only if it is followed by a return of the endpoint that the list reflects.
fn unseen(events: Vec<Event>, known: u64) -> Vec<Event> {
    let mut returned = HashSet::new();
    let mut unseen: Vec<Event> = Vec::with_capacity(events.len());
    for event in events.into_iter().rev() {
        match &event.change {
            Change::Present(endpoint) if event.revision <= known => {
                returned.insert(endpoint.key);
            }
            Change::Gone(id) if returned.contains(&EndpointKey::of(id)) => {}
            Change::Present(_) | Change::Gone(_) => unseen.push(event),
        }
    }
    unseen.reverse();
    unseen
}
