//! Software versions that have served lately. A stream of unknown version may go on only if a single version
//! has served its service for as long as streams last.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::directory::{Directory, Endpoint, VersionKey};
use super::stream_versions::RETENTION_MS;

/// A version whose last endpoint may have left.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Left {
    service: CompactString,
    version: VersionKey,
    at_ms: u64,
}

/// A version that has left, as sent to other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftVersion {
    service: CompactString,
    version: VersionKey,
    age_ms: u64,
}

/// What an entry knows about the versions that have served, as sent to other entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    known_for_ms: u64,
    left: Vec<LeftVersion>,
}

/// A version in the stored history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ServedVersion {
    service: CompactString,
    version: VersionKey,
    /// When its last endpoint left, in Unix milliseconds; `None` while an endpoint is listed.
    left_unix_ms: Option<u64>,
}

/// The versions that have served within the retention time, as stored for entries that start when no other
/// entry is left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Era of the store in which the history was written.
    pub era: u64,
    versions: Vec<ServedVersion>,
}

impl History {
    /// Returns whether two histories list the same versions. The times at which versions left differ between
    /// entries.
    #[must_use]
    pub fn lists_same(&self, other: &Self) -> bool {
        let listed = |history: &Self| -> BTreeSet<VersionKey> {
            let listed = history.versions.iter().filter(|one| one.left_unix_ms.is_none());
            listed.map(|one| one.version).collect()
        };
        self.era == other.era && listed(self) == listed(other)
    }

    /// Adds versions that another history names as listed or left since `since_unix_ms`. Those that it lists and
    /// this one does not have left now.
    pub fn add_left(&mut self, other: &Self, since_unix_ms: u64, now_unix_ms: u64) {
        for one in &other.versions {
            let left_unix_ms = one.left_unix_ms.unwrap_or(now_unix_ms);
            let is_known = self.versions.iter().any(|known| known.version == one.version);
            if !is_known && left_unix_ms >= since_unix_ms {
                let left = ServedVersion { left_unix_ms: Some(left_unix_ms), ..one.clone() };
                self.versions.push(left);
            }
        }
    }
}

/// Versions that have left within the retention time, and since when changes are known.
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    since_ms: Option<u64>,
    /// Whether the versions of the whole retention time are known from the store or another entry.
    is_complete: bool,
    /// Whether the stored history has been read, whatever it contains.
    is_history_read: bool,
    left: Vec<Left>,
}

impl ServedVersions {
    /// Returns whether the versions of the whole retention time are known.
    #[must_use]
    pub fn is_complete(&self, now_ms: u64) -> bool {
        self.is_complete || self.since_ms.is_some_and(|since_ms| since_ms + RETENTION_MS <= now_ms)
    }

    /// Returns whether the stored history has been read.
    #[must_use]
    pub fn is_history_read(&self) -> bool {
        self.is_history_read
    }

    /// Learns the stored history at the start of this entry; `None` if there is none, since no entry has run
    /// before. Versions that it lists count as having left now: nobody was there to see them leave.
    pub fn load(&mut self, history: Option<&History>, now_ms: u64, now_unix_ms: u64) {
        self.is_history_read = true;
        self.is_complete = true;
        for one in history.iter().flat_map(|history| &history.versions) {
            let left_unix_ms = one.left_unix_ms.unwrap_or(now_unix_ms);
            let age_ms = now_unix_ms.saturating_sub(left_unix_ms);
            if age_ms < RETENTION_MS {
                self.add(&one.service, one.version, now_ms.saturating_sub(age_ms));
            }
        }
    }

    /// Notes that the stored history says nothing: it may lack versions.
    pub fn skip_history(&mut self) {
        self.is_history_read = true;
    }

    /// Returns the history of these services to be stored.
    #[must_use]
    pub fn history(
        &self,
        services: &[&str],
        directory: &Directory,
        era: u64,
        now_ms: u64,
        now_unix_ms: u64,
    ) -> History {
        let is_asked = |service: &str| services.contains(&service);
        let mut versions: Vec<ServedVersion> = Vec::new();
        for endpoint in directory.endpoints().iter().filter(|one| is_asked(&one.service)) {
            let version = endpoint.version_key();
            if versions.iter().all(|one| one.version != version) {
                let service = endpoint.service.clone();
                versions.push(ServedVersion { service, version, left_unix_ms: None });
            }
        }
        for left in self.left.iter().filter(|left| is_asked(&left.service)) {
            let is_listed = versions.iter().any(|one| one.version == left.version);
            if !is_listed && now_ms < left.at_ms + RETENTION_MS {
                versions.push(ServedVersion {
                    service: left.service.clone(),
                    version: left.version,
                    left_unix_ms: Some(
                        now_unix_ms.saturating_sub(now_ms.saturating_sub(left.at_ms)),
                    ),
                });
            }
        }
        History { era, versions }
    }

    /// Records a new state of the directory that replaces an earlier one.
    pub fn observe(&mut self, before: &Directory, now: &Directory, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.left.retain(|left| now_ms < left.at_ms + RETENTION_MS);
        for old in before.endpoints() {
            let is_listed = now.find(old.key).is_some_and(|new| new.version == old.version);
            if !is_listed {
                self.add(&old.service, old.version_key(), now_ms);
            }
        }
    }

    fn add(&mut self, service: &str, version: VersionKey, at_ms: u64) {
        let known = self.left.iter_mut().find(|left| left.version == version);
        match known {
            Some(left) => left.at_ms = left.at_ms.max(at_ms),
            None => self.left.push(Left { service: service.into(), version, at_ms }),
        }
    }

    /// Returns the only version of these services that is listed or has left within the retention time.
    /// `None` if there are several.
    #[must_use]
    pub fn only_recent_version(
        &self,
        services: &[&str],
        directory: &Directory,
        now_ms: u64,
    ) -> Option<VersionKey> {
        let is_asked = |service: &str| services.contains(&service);
        let listed = directory.endpoints().iter().filter(|one| is_asked(&one.service));
        let left = self
            .left
            .iter()
            .filter(|left| is_asked(&left.service) && now_ms < left.at_ms + RETENTION_MS);
        let mut versions = listed.map(Endpoint::version_key).chain(left.map(|left| left.version));
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Returns the only version of these services that has served within the retention time. `None` if there
    /// were several, or if this entry has not known the directory for as long.
    #[must_use]
    pub fn only_version(
        &self,
        services: &[&str],
        directory: &Directory,
        now_ms: u64,
    ) -> Option<VersionKey> {
        if !self.is_complete(now_ms) {
            return None;
        }
        self.only_recent_version(services, directory, now_ms)
    }

    /// Returns what other entries need that have started later.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        let left = self.left.iter().map(|left| LeftVersion {
            service: left.service.clone(),
            version: left.version,
            age_ms: now_ms.saturating_sub(left.at_ms),
        });
        let known_for_ms = self.since_ms.map_or(0, |since_ms| now_ms - since_ms);
        let known_for_ms = if self.is_complete { RETENTION_MS } else { known_for_ms };
        Snapshot { known_for_ms, left: left.collect() }
    }

    /// Adds what an entry that has started earlier knows.
    pub fn merge(&mut self, snapshot: Snapshot, now_ms: u64) {
        self.is_complete |= snapshot.known_for_ms >= RETENTION_MS;
        let since_ms = now_ms.saturating_sub(snapshot.known_for_ms);
        self.since_ms = Some(self.since_ms.map_or(since_ms, |own_ms| own_ms.min(since_ms)));
        for left in snapshot.left {
            self.add(&left.service, left.version, now_ms.saturating_sub(left.age_ms));
        }
    }
}
