//! Lists of a store that has come back from an older copy.
//!
//! From one era to the next, the start times in records order the processes of an endpoint until a record is written
//! again: a live endpoint writes every heartbeat, one that has ended never does. Within an era the store's order
//! holds, also where an endpoint's clock has gone back.

use std::cmp::Ordering;
use std::collections::HashSet;

use super::{Change, Directory, Endpoint, EndpointKey, Event};

/// How an endpoint's process has gone on since a restored store's record of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Leaving,
    /// It was removed, or a later process has run under its id.
    Ended,
}

/// A record of a restored store that nobody has written since, of a process of which more is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outdated {
    listed: Endpoint,
    progress: Progress,
    until_ms: u64,
}

/// How long a record counts as outdated if nothing shows whether it was written again: longer than the platform keeps
/// the record of an endpoint that does not write.
const OUTDATED_MS: u64 = 20_000;

impl Directory {
    /// Applies a complete list from the store with the revisions of its records, and returns whether anything changed.
    /// Records that are as old as the copy from which the store came back undo nothing.
    pub fn list(
        &mut self,
        events: Vec<Event>,
        revision: u64,
        keep_until_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        if self.is_new_era(revision) {
            self.restored_revision = revision;
        }
        let written_after = self.restored_revision;
        let (mut listed, mut cold) = (Vec::with_capacity(events.len()), Vec::new());
        let mut keys = HashSet::new();
        for event in events {
            let Change::Present(endpoint) = event.change else { continue };
            let is_written = event.revision > written_after;
            let progress = if is_written { None } else { self.progress(&endpoint) };
            keys.insert(endpoint.key);
            if let Some(endpoint) = self.current(endpoint, progress, now_ms) {
                cold.push((endpoint.key, event.cold_ms));
                listed.push(endpoint);
            }
        }
        self.outdated.retain(|key, _| keys.contains(key));
        let is_changed = self.replace(listed, revision, keep_until_ms);
        is_changed | self.update_cold(cold.into_iter(), revision, now_ms)
    }

    /// Returns how a listed process has gone on, if more is known of it than the record says.
    fn progress(&self, listed: &Endpoint) -> Option<Progress> {
        let removed = self.removed.get(&listed.key);
        if removed.is_some_and(|removed| removed.started_unix_ms >= listed.started_unix_ms) {
            return Some(Progress::Ended);
        }
        let known = self.find(listed.key)?;
        match known.started_unix_ms.cmp(&listed.started_unix_ms) {
            Ordering::Greater => Some(Progress::Ended),
            Ordering::Equal => known.is_leaving.then_some(Progress::Leaving),
            Ordering::Less => None,
        }
    }

    /// Returns a listed endpoint as it is now, given how its process has gone on; `None` if its record is set aside.
    fn current(
        &mut self,
        mut listed: Endpoint,
        progress: Option<Progress>,
        now_ms: u64,
    ) -> Option<Endpoint> {
        let before = self.outdated.remove(&listed.key);
        if let Some(progress) = progress {
            // The same record counts as outdated from when it was first seen.
            let before = before.filter(|one| one.listed.started_unix_ms == listed.started_unix_ms);
            let until_ms = before.map_or(now_ms + OUTDATED_MS, |before| before.until_ms);
            let outdated = Outdated { listed: listed.clone(), progress, until_ms };
            self.outdated.insert(listed.key, outdated);
        }
        listed.is_leaving |= progress == Some(Progress::Leaving);
        (progress != Some(Progress::Ended)).then_some(listed)
    }

    /// Returns the endpoints of a peer's list without those whose record is outdated. The peer may not know that.
    pub(super) fn without_outdated(
        &mut self,
        listed: Vec<Endpoint>,
        is_new_era: bool,
        now_ms: u64,
    ) -> Vec<Endpoint> {
        let mut current = Vec::with_capacity(listed.len());
        for endpoint in listed {
            let known = self.outdated.get(&endpoint.key);
            let known = known.filter(|one| one.listed.started_unix_ms == endpoint.started_unix_ms);
            let progress = match is_new_era {
                true => self.progress(&endpoint),
                false => known.map(|known| known.progress),
            };
            current.extend(self.current(endpoint, progress, now_ms));
        }
        current
    }

    pub(super) fn is_set_aside(&self, endpoint: EndpointKey) -> bool {
        self.outdated.get(&endpoint).is_some_and(|one| one.progress == Progress::Ended)
    }

    /// Returns the listed processes that are set aside because a restored store's record of them is outdated.
    pub fn set_aside(&self) -> impl Iterator<Item = &Endpoint> {
        let ended = self.outdated.values().filter(|one| one.progress == Progress::Ended);
        ended.map(|one| &one.listed)
    }

    /// Accepts records that have counted as outdated for too long, and returns whether there were any.
    pub(super) fn accept_outdated(&mut self, now_ms: u64) -> bool {
        let is_due = |one: &Outdated| now_ms >= one.until_ms;
        let due = self.outdated.extract_if(|_, one| is_due(one)).map(|(_, one)| one);
        let ended: Vec<Outdated> = due.filter(|one| one.progress == Progress::Ended).collect();
        if ended.is_empty() {
            return false;
        }
        for one in &ended {
            self.removed.remove(&one.listed.key);
            self.endpoints.retain(|known| known.key != one.listed.key);
            self.endpoints.push(one.listed.clone());
        }
        self.endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        true
    }
}
