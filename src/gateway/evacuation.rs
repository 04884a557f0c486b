//! Availability zones that the operators have evacuated: no new request goes to an endpoint there until
//! they take the zone back. What is running there ends in peace.
//!
//! The set is known with the revision of the store at which it last changed, and travels whole. A newer
//! set replaces an older one, so a zone that was taken back never returns from an entry that has missed
//! it, and no tombstones are kept.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Evacuated zones that are kept at most, far more than a deployment has: entries tell each other all of them
/// in a datagram.
const MAX_ZONES: usize = 24;

/// One change in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Evacuated(CompactString),
    TakenBack(CompactString),
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: u64,
    zones: BTreeSet<CompactString>,
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

    #[must_use]
    pub fn has(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    pub fn zones(&self) -> impl Iterator<Item = &CompactString> {
        self.zones.iter()
    }

    /// Takes a whole list of the store. Gives whether it brought anything new.
    pub fn replace(&mut self, listed: BTreeSet<CompactString>, revision: u64) -> bool {
        if revision <= self.revision || (self.is_known() && listed == self.zones) {
            return false;
        }
        self.zones = listed;
        self.set_revision(revision);
        true
    }

    /// Takes what a watch brought, up to the store's revision. Gives whether it brought anything new.
    ///
    /// A watch that goes on after an outage brings changes that another entry has told of already.
    pub fn follow(&mut self, changes: impl Iterator<Item = Change>, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        let before = self.zones.clone();
        for change in changes {
            match change {
                Change::Evacuated(zone) => self.zones.insert(zone),
                Change::TakenBack(zone) => self.zones.remove(&zone),
            };
        }
        let is_changed = self.zones != before;
        if is_changed {
            self.set_revision(revision);
        }
        is_changed
    }

    /// Takes another entry's set if it is newer. Gives whether it was.
    pub fn adopt(&mut self, other: &Self) -> bool {
        let is_newer = other.revision > self.revision;
        if is_newer {
            self.clone_from(other);
        }
        is_newer
    }

    fn set_revision(&mut self, revision: u64) {
        while self.zones.len() > MAX_ZONES {
            self.zones.pop_last();
        }
        self.revision = revision;
    }
}
