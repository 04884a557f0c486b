//! Software versions that have served lately. A stream of unknown version may go on only if a single version
//! has served its service for as long as streams last.

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

/// Versions that have left within the retention time, and since when changes are known.
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    since_ms: Option<u64>,
    left: Vec<Left>,
}

impl ServedVersions {
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
        self.since_ms.filter(|since_ms| since_ms + RETENTION_MS <= now_ms)?;
        self.only_recent_version(services, directory, now_ms)
    }

    /// Returns what other entries need that have started later.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        let left = self.left.iter().map(|left| LeftVersion {
            service: left.service.clone(),
            version: left.version,
            age_ms: now_ms - left.at_ms,
        });
        let known_for_ms = self.since_ms.map_or(0, |since_ms| now_ms - since_ms);
        Snapshot { known_for_ms, left: left.collect() }
    }

    /// Adds what an entry that has started earlier knows.
    pub fn merge(&mut self, snapshot: Snapshot, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(snapshot.known_for_ms);
        self.since_ms = Some(self.since_ms.map_or(since_ms, |own_ms| own_ms.min(since_ms)));
        for left in snapshot.left {
            self.add(&left.service, left.version, now_ms.saturating_sub(left.age_ms));
        }
    }
}
