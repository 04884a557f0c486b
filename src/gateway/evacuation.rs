//! Availability zones that the operators have evacuated: no new request goes to an endpoint there until
//! they take the zone back. What is running there ends in peace.
//!
//! The load pattern: a third of the engines is to get nothing more, with all the documents that they hold.
//! If all requests went elsewhere at once, the others would have to read all these documents in the same
//! moment, and everybody would wait behind that reading. So the documents leave one after the other, each
//! at the same time from all entries, within a part of the time that the operators allow.
//!
//! The set is known with the revision of the store at which it last changed, and travels whole. A newer
//! set replaces an older one, so a zone that was taken back never returns from an entry that has missed
//! it, and no tombstones are kept.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Evacuated zones that are kept at most, far more than a deployment has: entries tell each other all of them
/// in a datagram.
const MAX_ZONES: usize = 24;
/// Part of the operators' time within which requests leave a zone. The rest covers the way of the news.
const LEAVE_PART: f64 = 0.6;

/// How long requests may take to leave a zone whose evacuation was asked for just now.
#[must_use]
pub fn leave_ms(allowed_ms: u64) -> u64 {
    (allowed_ms as f64 * LEAVE_PART) as u64
}

/// One change in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Evacuated(CompactString),
    Restored(CompactString),
}

/// An evacuated zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leaving {
    /// When the first request stays away, on this entry's clock.
    begins_ms: u64,
    /// From when on no request goes there.
    closes_ms: u64,
}

impl Leaving {
    fn within(now_ms: u64, remaining_ms: u64) -> Self {
        Self { begins_ms: now_ms, closes_ms: now_ms + remaining_ms }
    }

    fn accepts(self, key: u64, now_ms: u64) -> bool {
        let span_ms = self.closes_ms.saturating_sub(self.begins_ms);
        now_ms < self.closes_ms && self.begins_ms + key % span_ms.max(1) > now_ms
    }
}

/// A zone as other entries are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSnapshot {
    zone: CompactString,
    /// Since when requests leave it, and for how much longer.
    since_ms: u32,
    remaining_ms: u32,
}

/// The evacuated zones as other entries are told of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub revision: u64,
    zones: Vec<ZoneSnapshot>,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    revision: u64,
    zones: BTreeMap<CompactString, Leaving>,
}

impl Evacuations {
    /// Revision of the store at which the set last changed; zero: nothing is known yet.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the set was read, by this entry or another.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Whether a zone is evacuated, or about to be.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    pub fn zones(&self) -> impl Iterator<Item = &CompactString> {
        self.zones.keys()
    }

    /// Whether requests with this key still go to a zone. They leave it in the order of their keys.
    #[must_use]
    pub fn accepts(&self, zone: &str, key: u64, now_ms: u64) -> bool {
        self.zones.get(zone).is_none_or(|leaving| leaving.accepts(key, now_ms))
    }

    /// Whether no request goes to a zone any more.
    #[must_use]
    pub fn is_closed(&self, zone: &str, now_ms: u64) -> bool {
        self.zones.get(zone).is_some_and(|leaving| now_ms >= leaving.closes_ms)
    }

    /// Takes a whole list of the store. Gives whether it brought anything new. Nobody knows for how long the
    /// zones that it adds have been evacuated, so they close at once.
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
        let listed: BTreeMap<CompactString, Leaving> = listed
            .map(|zone| (known(&zone).unwrap_or(Leaving::within(now_ms, 0)), zone))
            .map(|(leaving, zone)| (zone, leaving))
            .collect();
        if self.is_known() && listed == self.zones {
            return false;
        }
        self.set(listed, revision);
        true
    }

    /// Takes what a watch brought, up to the store's revision. Gives whether it brought anything new. The
    /// zones that it adds close after `remaining_ms`.
    ///
    /// A watch that goes on after an outage brings changes that another entry has told of already.
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
        for change in changes {
            match change {
                Change::Evacuated(zone) => {
                    zones.entry(zone).or_insert(Leaving::within(now_ms, remaining_ms));
                }
                Change::Restored(zone) => {
                    zones.remove(&zone);
                }
            }
        }
        let is_changed = zones != self.zones;
        if is_changed {
            self.set(zones, revision);
        }
        is_changed
    }

    /// What the other entries are told.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        let short = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let told = |(zone, leaving): (&CompactString, &Leaving)| ZoneSnapshot {
            zone: zone.clone(),
            since_ms: short(now_ms.saturating_sub(leaving.begins_ms)),
            remaining_ms: short(leaving.closes_ms.saturating_sub(now_ms)),
        };
        Snapshot { revision: self.revision, zones: self.zones.iter().map(told).collect() }
    }

    /// Takes another entry's set if it is newer. Gives whether it was.
    pub fn adopt(&mut self, other: &Snapshot, now_ms: u64) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        let leaving = |one: &ZoneSnapshot| {
            let told = Leaving {
                begins_ms: now_ms.saturating_sub(u64::from(one.since_ms)),
                closes_ms: now_ms + u64::from(one.remaining_ms),
            };
            (one.zone.clone(), self.zones.get(&one.zone).copied().unwrap_or(told))
        };
        let zones = other.zones.iter().map(leaving).collect();
        self.set(zones, other.revision);
        true
    }

    fn set(&mut self, zones: BTreeMap<CompactString, Leaving>, revision: u64) {
        self.zones = zones;
        while self.zones.len() > MAX_ZONES {
            self.zones.pop_last();
        }
        self.revision = revision;
    }
}
