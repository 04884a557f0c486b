//! Availability zones that the operators have evacuated: no new request is sent to an endpoint there until
//! the evacuation is revoked. Running requests complete.
//!
//! An evacuation withdraws, for example, a third of the engines together with the documents in their prefix
//! caches. If all requests moved elsewhere together, the remaining engines would prefill all these documents
//! at the same time and all requests would queue behind that work. So documents move one after the other,
//! each at the same time on all entries, within a fraction of the time that the operators allow.
//!
//! The set carries the revision of the store up to which a list or changes confirmed it, and is always sent as
//! a whole. A newer set replaces an older one, so an entry that missed the end of an evacuation cannot spread
//! it again, and no tombstones are needed.
//!
//! Revisions are ordered by the store's era first. After the store has come back from an older copy, the first set
//! of the new era may lack an evacuation that the operators have not written again yet, so it takes back no zone.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::store::Era;

/// Maximum number of evacuated zones that are kept, far more than a deployment has. Entries send all of them
/// in one datagram.
const MAX_ZONES: usize = 24;
/// Fraction of the time allowed by the operators within which requests leave a zone. The rest covers the
/// propagation delay.
const LEAVE_FRACTION: f64 = 0.6;

/// Returns the time within which requests leave a zone whose evacuation was requested just now.
#[must_use]
pub fn leave_ms(allowed_ms: u64) -> u64 {
    (allowed_ms as f64 * LEAVE_FRACTION) as u64
}

/// A change to the set of evacuated zones in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Evacuated(CompactString),
    Restored(CompactString),
}

/// Period in which requests leave an evacuated zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Schedule {
    /// When the first requests move away, on this entry's clock.
    begins_ms: u64,
    /// From when on no request is sent to the zone.
    closes_ms: u64,
}

impl Schedule {
    fn starting_now(now_ms: u64, remaining_ms: u64) -> Self {
        Self { begins_ms: now_ms, closes_ms: now_ms + remaining_ms }
    }

    fn accepts(self, key: u64, now_ms: u64) -> bool {
        let span_ms = self.closes_ms.saturating_sub(self.begins_ms);
        now_ms < self.closes_ms && self.begins_ms + key % span_ms.max(1) > now_ms
    }
}

/// An evacuated zone as sent to other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSnapshot {
    zone: CompactString,
    /// Time since requests began to leave the zone.
    since_ms: u32,
    /// Time until no request is sent to the zone.
    remaining_ms: u32,
}

/// The set of evacuated zones as sent to other entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub revision: u64,
    zones: Vec<ZoneSnapshot>,
}

/// The set of evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    revision: u64,
    zones: BTreeMap<CompactString, Schedule>,
}

impl Evacuations {
    /// Revision of the store up to which the set was last confirmed; zero if it is not known yet.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the set has been read from the store, by this entry or another.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Returns whether a zone is evacuated or being evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    pub fn zones(&self) -> impl Iterator<Item = &CompactString> {
        self.zones.keys()
    }

    /// Returns whether requests with this key are still sent to a zone. The key, modulo the length of the
    /// period, determines when they leave it.
    #[must_use]
    pub fn accepts(&self, zone: &str, key: u64, now_ms: u64) -> bool {
        self.zones.get(zone).is_none_or(|schedule| schedule.accepts(key, now_ms))
    }

    /// Returns whether a zone receives no more requests.
    #[must_use]
    pub fn is_closed(&self, zone: &str, now_ms: u64) -> bool {
        self.zones.get(zone).is_some_and(|schedule| now_ms >= schedule.closes_ms)
    }

    /// Applies a complete list from the store and returns whether it changed anything. A list does not say
    /// since when its zones are evacuated, so zones that it adds close immediately.
    ///
    /// An unchanged set takes the list's revision too: another entry may know an intermediate set, for example
    /// without a zone that has been evacuated again, which must not replace this one.
    pub fn replace(
        &mut self,
        listed: impl Iterator<Item = CompactString>,
        revision: u64,
        now_ms: u64,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        let known = |zone: &CompactString| self.zones.get(zone).copied();
        let listed: BTreeMap<CompactString, Schedule> = listed
            .map(|zone| (known(&zone).unwrap_or(Schedule::starting_now(now_ms, 0)), zone))
            .map(|(schedule, zone)| (zone, schedule))
            .collect();
        let is_changed = !self.is_known() || listed != self.zones;
        self.set(listed, revision);
        is_changed
    }

    /// Applies the first complete list that a watcher has received in a new era of the store, as [`Self::replace`].
    /// It is as old as the copy from which the store came back, so the zones known now stay evacuated.
    pub fn restore(
        &mut self,
        listed: impl Iterator<Item = CompactString>,
        revision: u64,
        now_ms: u64,
    ) -> bool {
        let known: Vec<CompactString> = self.zones.keys().cloned().collect();
        self.replace(listed.chain(known), revision, now_ms)
    }

    /// Applies changes from a watch, up to `revision` of the store, and returns whether they changed
    /// anything. Zones that they add close after `remaining_ms`.
    ///
    /// Older revisions are ignored: a watch that resumes after an outage delivers changes that this entry
    /// has already received from another one.
    pub fn apply_changes(
        &mut self,
        changes: impl Iterator<Item = Change>,
        revision: u64,
        remaining_ms: u64,
        now_ms: u64,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        let mut zones = self.zones.clone();
        let mut has_changes = false;
        for change in changes {
            has_changes = true;
            match change {
                Change::Evacuated(zone) => {
                    zones.entry(zone).or_insert(Schedule::starting_now(now_ms, remaining_ms));
                }
                Change::Restored(zone) => {
                    zones.remove(&zone);
                }
            }
        }
        let is_changed = zones != self.zones;
        // Changes that cancel each other out raise the revision, as in `replace`.
        if has_changes {
            self.set(zones, revision);
        }
        is_changed
    }

    /// Returns the set in the form sent to other entries.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        let saturate = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let snapshot = |(zone, schedule): (&CompactString, &Schedule)| ZoneSnapshot {
            zone: zone.clone(),
            since_ms: saturate(now_ms.saturating_sub(schedule.begins_ms)),
            remaining_ms: saturate(schedule.closes_ms.saturating_sub(now_ms)),
        };
        Snapshot { revision: self.revision, zones: self.zones.iter().map(snapshot).collect() }
    }

    /// Replaces this set with another entry's set if that is newer, and returns whether it was. Zones that
    /// are already known keep their schedule.
    pub fn adopt(&mut self, other: &Snapshot, now_ms: u64) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        let schedule = |one: &ZoneSnapshot| {
            let received = Schedule {
                begins_ms: now_ms.saturating_sub(u64::from(one.since_ms)),
                closes_ms: now_ms + u64::from(one.remaining_ms),
            };
            (one.zone.clone(), self.zones.get(&one.zone).copied().unwrap_or(received))
        };
        let mut zones: BTreeMap<CompactString, Schedule> =
            other.zones.iter().map(schedule).collect();
        if Era::of(other.revision) > Era::of(self.revision) {
            zones.extend(self.zones.iter().map(|(zone, schedule)| (zone.clone(), *schedule)));
        }
        self.set(zones, other.revision);
        true
    }

    fn set(&mut self, zones: BTreeMap<CompactString, Schedule>, revision: u64) {
        self.zones = zones;
        while self.zones.len() > MAX_ZONES {
            self.zones.pop_last();
        }
        self.revision = revision;
    }
}
