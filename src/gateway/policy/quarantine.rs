//! Requests and prompt parts on which endpoints end: which are suspected, and what is no longer sent.
//!
//! A request can be such that each endpoint ends that works on it, by its content as a whole or by a part of its
//! prompt that other prompts have as well. It takes all other requests of the endpoint along, at any entry, and
//! its caller sends it again. An entry records the fingerprints and the shared parts of the requests that were
//! under way at an endpoint that ended, and entries exchange these records. A key, which is one or the other, is
//! in quarantine after crashes at [`MIN_MOMENTS`] moments that nothing clears it of. Endpoints that end at the
//! same moment, as with their rack, count as one crash, unless there are many of them.
//!
//! A key is cleared of a crash by an endpoint that went on with it, shortly before or at any time since, for
//! longer than the one that ended: endpoints end on a key always after about the same time of answering. Requests
//! that many callers send succeed all the time, also while endpoints end for other reasons.
//!
//! Of several keys that were lost together, only those are in quarantine that explain most crashes, and of those
//! that explain the same ones a request before a part: sound requests have the part as well. A part is the cause
//! only where no single request explains its crashes.
//!
//! A key that was condemned in error does not succeed, as nothing with it is sent. So one entry sends a single
//! request with it from time to time, at intervals that grow with each one that ends an endpoint.

mod suspect;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use self::suspect::{COMPLETE, Crash, LEVELS, PROTECTION_MS, Progress, Suspect};
pub use self::suspect::{
    Key, Loss, MANY_CRASHES, MIN_LATE_MOMENTS, MIN_MOMENTS, MIN_PROGRESS_MS, TRIAL_MS,
};
use crate::gateway::directory::EndpointKey;

/// Number of moments with crashes of a part that no single request explains.
const MIN_UNEXPLAINED_MOMENTS: usize = 2;
/// How long a key stays in quarantine after its last crash, and how long crashes and successes are kept.
pub const RETENTION_MS: u64 = 600_000;
/// How long a changed record is sent to the other entries; long enough to reach those that were cut off for a
/// while. Records of keys in quarantine are sent for as long as they are.
const GOSSIP_MS: u64 = 10_000;
/// Interval at which other records take their turn if there are more than [`MAX_SENT`].
const TURN_MS: u64 = 200;
/// Maximum number of suspected parts; about 300 bytes each. Those with the fewest crashes are dropped first.
const MAX_SUSPECTED_PARTS: usize = 256;
/// Maximum number of suspected requests, likewise. An endpoint ends with more requests than they have parts.
const MAX_SUSPECTED_REQUESTS: usize = 512;
/// Maximum number of parts whose progress is kept; about 100 bytes each.
const MAX_PROGRESS: usize = 20_000;
/// Parts that are kept if there are more than [`MAX_PROGRESS`].
const RECENT_PROGRESS_MS: u64 = 60_000;
/// Shortest time after which the caller of a request in quarantine is asked to return.
const MIN_WAIT_MS: u64 = 1_000;
/// Maximum number of records that are sent at a time.
const MAX_SENT: usize = 32;

/// What an entry knows of a suspected key, as sent to other entries. Times are ages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    key: Key,
    progress_ages_ms: [Option<u64>; LEVELS],
    crashes: Vec<ToldCrash>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ToldCrash {
    endpoint: EndpointKey,
    age_ms: u64,
    answered_ms: u64,
}

impl Suspicion {
    /// Whether more than one crash is known, so that the next one may put the key in quarantine.
    #[must_use]
    pub fn is_strong(&self) -> bool {
        self.crashes.len() > 1
    }
}

/// A key that came into quarantine or was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub key: Key,
    pub is_quarantined: bool,
    /// Number of crashes that the key is suspected of.
    pub crashes: usize,
}

/// A request that may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub key: Key,
    /// Time in milliseconds after which the caller may return.
    pub wait_ms: u64,
}

/// Suspected keys, and those in quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Key, Suspect>,
    /// Progress with shared prompt parts. That with requests is only kept of suspects: most are sent once.
    parts: HashMap<u64, Progress>,
    /// Keys in quarantine, with the end of it.
    until_ms: HashMap<Key, u64>,
    /// Keys of which this entry may send a request as a trial, with the time of the last one.
    trials: HashMap<Key, Option<u64>>,
    stamp: u64,
}

impl Quarantine {
    /// Records what was under way at an endpoint that crashed at `now_ms`.
    pub fn record_crash(
        &mut self,
        endpoint: EndpointKey,
        losses: impl IntoIterator<Item = Loss>,
        now_ms: u64,
    ) -> Vec<Change> {
        let mut must_update = false;
        for Loss { key, answered_ms } in losses {
            let crash = Crash { endpoint, at_ms: now_ms, answered_ms };
            let progress = self.part_progress(key);
            if progress.clears(&crash) {
                continue;
            }
            let suspect = self.suspects.entry(key).or_default();
            suspect.progress.merge(&progress);
            if suspect.add_crash(crash) {
                suspect.changed_ms = now_ms;
                must_update |= suspect.counted().count() >= MIN_MOMENTS;
            }
        }
        self.drop_excess();
        if must_update || !self.until_ms.is_empty() { self.update(now_ms) } else { Vec::new() }
    }

    /// Records that endpoints have answered requests with these keys completely.
    pub fn record_success(
        &mut self,
        keys: impl IntoIterator<Item = Key>,
        now_ms: u64,
    ) -> Vec<Change> {
        self.record_level(keys, COMPLETE, now_ms)
    }

    /// Records that endpoints have been answering requests with these keys for this time, and go on.
    pub fn record_progress(
        &mut self,
        keys: impl IntoIterator<Item = Key>,
        answered_ms: u64,
        now_ms: u64,
    ) -> Vec<Change> {
        match Progress::level_reached(answered_ms) {
            Some(level) => self.record_level(keys, level, now_ms),
            None => Vec::new(),
        }
    }

    fn record_level(
        &mut self,
        keys: impl IntoIterator<Item = Key>,
        level: usize,
        now_ms: u64,
    ) -> Vec<Change> {
        let mut must_update = false;
        for key in keys {
            if let Key::Part(id) = key {
                self.parts.entry(id).or_default().record(level, now_ms);
            }
            if let Some(suspect) = self.suspects.get_mut(&key) {
                let before = suspect.counted().count();
                suspect.progress.record(level, now_ms);
                if suspect.counted().count() != before {
                    suspect.changed_ms = now_ms;
                    must_update |= self.until_ms.contains_key(&key);
                }
            }
        }
        if must_update { self.update(now_ms) } else { Vec::new() }
    }

    /// Adds what another entry has sent.
    pub fn merge(&mut self, received: &[Suspicion], now_ms: u64) -> Vec<Change> {
        let mut must_update = false;
        for suspicion in received {
            let own = self.part_progress(suspicion.key);
            let suspect = self.suspects.entry(suspicion.key).or_default();
            let before = suspect.counted().count();
            let ages_ms = suspicion.progress_ages_ms.iter();
            let at_ms = |age_ms: u64| now_ms.saturating_sub(age_ms);
            let mut told = Suspect::default();
            for (last_ms, age_ms) in told.progress.last_ms.iter_mut().zip(ages_ms) {
                *last_ms = age_ms.map(at_ms);
            }
            suspect.progress.merge(&told.progress);
            suspect.progress.merge(&own);
            for crash in &suspicion.crashes {
                let ToldCrash { endpoint, age_ms, answered_ms } = *crash;
                let crash = Crash { endpoint, at_ms: at_ms(age_ms), answered_ms };
                told.crashes.push(crash);
                suspect.add_crash(crash);
            }
            let counted = suspect.counted().count();
            // The sender may not know what clears the key.
            if counted != before || counted < told.counted().count() {
                suspect.changed_ms = now_ms;
                must_update |= before.max(counted) >= MIN_MOMENTS || !self.until_ms.is_empty();
            }
        }
        self.drop_excess();
        if must_update { self.update(now_ms) } else { Vec::new() }
    }

    fn part_progress(&self, key: Key) -> Progress {
        match key {
            Key::Part(id) => self.parts.get(&id).copied().unwrap_or_default(),
            Key::Request(_) => Progress::default(),
        }
    }

    /// Returns the records to send to the other entries: those with the most crashes first, the rest in turn.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<Suspicion> {
        let recent = self.suspects.iter().filter(|(key, suspect)| {
            now_ms < suspect.changed_ms + GOSSIP_MS || self.until_ms.contains_key(key)
        });
        let mut recent: Vec<(&Key, &Suspect)> = recent.collect();
        let turn = (now_ms / TURN_MS % u64::from(u64::BITS)) as u32;
        recent.sort_unstable_by_key(|(key, suspect)| {
            (std::cmp::Reverse(suspect.crashes.len()), key.seed().rotate_left(turn), **key)
        });
        recent.truncate(MAX_SENT);
        recent.into_iter().map(|(key, suspect)| suspicion(*key, suspect, now_ms)).collect()
    }

    /// Returns all records, for an entry that has just started.
    #[must_use]
    pub fn all(&self, now_ms: u64) -> Vec<Suspicion> {
        let all = self.suspects.iter();
        all.map(|(key, suspect)| suspicion(*key, suspect, now_ms)).collect()
    }

    /// Stamp of the newest change of the keys in quarantine, which other entries have to know at once.
    #[must_use]
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Decides whether a request with these keys may be sent.
    ///
    /// # Errors
    /// The key in quarantine, if there is one, and the time to wait.
    pub fn admit(&mut self, keys: impl IntoIterator<Item = Key>, now_ms: u64) -> Result<(), Held> {
        let is_held = |key: &Key| self.until_ms.get(key).is_some_and(|end_ms| now_ms < *end_ms);
        let Some(key) = keys.into_iter().filter(is_held).min() else {
            return Ok(());
        };
        let trial_ms = self.suspects.get(&key).map_or(u64::MAX, Suspect::next_trial_ms);
        match self.trials.get_mut(&key) {
            Some(last_ms)
                if now_ms >= trial_ms.max(last_ms.map_or(0, |at_ms| at_ms + TRIAL_MS)) =>
            {
                *last_ms = Some(now_ms);
                Ok(())
            }
            _ => {
                let end_ms = self.until_ms.get(&key).copied().unwrap_or(now_ms);
                let wait_ms = trial_ms.min(end_ms).saturating_sub(now_ms).max(MIN_WAIT_MS);
                Err(Held { key, wait_ms })
            }
        }
    }

    /// Returns the keys in quarantine.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.until_ms.keys().copied()
    }

    /// Sets the keys of which this entry may send a request as a trial.
    pub fn set_trial_keys(&mut self, keys: &[Key]) {
        self.trials.retain(|key, _| keys.contains(key));
        for key in keys {
            self.trials.entry(*key).or_default();
        }
    }

    /// Returns whether endpoints have not gone on with one of these parts lately.
    pub fn has_unproven_part(&self, parts: impl IntoIterator<Item = u64>, now_ms: u64) -> bool {
        let is_proven = |part| {
            let newest_ms = self.parts.get(&part).and_then(Progress::newest_ms);
            newest_ms.is_some_and(|newest_ms| now_ms <= newest_ms + PROTECTION_MS)
        };
        !parts.into_iter().all(is_proven)
    }

    /// Returns whether a request is suspected of a crash.
    #[must_use]
    pub fn is_suspected(&self, key: Key) -> bool {
        self.suspects.get(&key).is_some_and(|suspect| suspect.counted().next().is_some())
    }

    /// Whether anything is suspected, so that it matters which requests succeed.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether nothing is in quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.until_ms.is_empty()
    }

    /// Number of requests and of prompt parts in quarantine.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let requests = self.until_ms.keys().filter(|key| key.is_request()).count();
        (requests, self.until_ms.len() - requests)
    }

    /// Drops what is older than the retention time, and what is beyond the limits.
    pub fn sweep(&mut self, now_ms: u64) -> Vec<Change> {
        let retain_from = |parts: &mut HashMap<u64, Progress>, age_ms: u64| {
            parts.retain(|_, progress| {
                progress.newest_ms().is_some_and(|newest_ms| now_ms < newest_ms + age_ms)
            });
        };
        retain_from(&mut self.parts, RETENTION_MS);
        if self.parts.len() > MAX_PROGRESS {
            retain_from(&mut self.parts, RECENT_PROGRESS_MS);
        }
        if self.parts.len() > MAX_PROGRESS {
            self.parts.clear();
        }
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|crash| now_ms < crash.at_ms + RETENTION_MS);
            suspect.counted().next().is_some() || now_ms < suspect.changed_ms + GOSSIP_MS
        });
        let has_ended = self.until_ms.values().any(|until_ms| *until_ms <= now_ms);
        if has_ended { self.update(now_ms) } else { Vec::new() }
    }

    /// Determines the keys in quarantine and returns which were added and removed.
    fn update(&mut self, now_ms: u64) -> Vec<Change> {
        let accused: Vec<(Key, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(key, suspect)| {
                suspect.is_accused(**key) && !self.is_part_explained(**key, suspect)
            })
            .map(|(key, suspect)| (*key, suspect))
            .collect();
        let is_cause = |key: Key, suspect: &Suspect| {
            !accused.iter().any(|(other_key, other)| is_explained(key, suspect, *other_key, other))
                && now_ms < suspect.last_crash_ms() + RETENTION_MS
        };
        let causes = accused.iter().filter(|(key, suspect)| is_cause(*key, suspect));
        let until_ms: HashMap<Key, u64> =
            causes.map(|(key, suspect)| (*key, suspect.last_crash_ms() + RETENTION_MS)).collect();
        let change = |key: Key, is_quarantined: bool| {
            let suspect = self.suspects.get(&key);
            let crashes = suspect.map_or(0, |suspect| suspect.counted().count());
            Change { key, is_quarantined, crashes }
        };
        let added = until_ms.keys().filter(|key| !self.until_ms.contains_key(key));
        let removed = self.until_ms.keys().filter(|key| !until_ms.contains_key(key));
        let changes: Vec<Change> = added
            .map(|key| change(*key, true))
            .chain(removed.map(|key| change(*key, false)))
            .collect();
        self.stamp += u64::from(!changes.is_empty());
        self.until_ms = until_ms;
        changes
    }

    /// Whether a single request explains the crashes of a part.
    fn is_part_explained(&self, key: Key, part: &Suspect) -> bool {
        !key.is_request()
            && self.suspects.iter().any(|(other_key, other)| {
                other_key.is_request() && part.moments_without(other) < MIN_UNEXPLAINED_MOMENTS
            })
    }

    fn drop_excess(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTED_PARTS {
            return;
        }
        let mut order: Vec<(usize, u64, Key)> = self
            .suspects
            .iter()
            .map(|(key, suspect)| (suspect.counted().count(), suspect.changed_ms, *key))
            .collect();
        order.sort_unstable();
        let (requests, parts): (Vec<Key>, Vec<Key>) =
            order.into_iter().map(|(_, _, key)| key).partition(|key| key.is_request());
        for (keys, max) in [(requests, MAX_SUSPECTED_REQUESTS), (parts, MAX_SUSPECTED_PARTS)] {
            let excess = keys.len().saturating_sub(max);
            for key in &keys[..excess] {
                self.suspects.remove(key);
            }
        }
    }
}

/// Whether the crashes of a key are among those of another one that explains more of them, or the same ones and
/// is a request, or had no success as late.
fn is_explained(key: Key, suspect: &Suspect, other_key: Key, other: &Suspect) -> bool {
    let is_shared = |crash: &Crash| other.counted().any(|one| one.is_same(crash));
    let (own_count, other_count) = (suspect.counted().count(), other.counted().count());
    let is_weaker = match own_count.cmp(&other_count) {
        std::cmp::Ordering::Less => true,
        std::cmp::Ordering::Equal if key.is_request() != other_key.is_request() => {
            other_key.is_request()
        }
        std::cmp::Ordering::Equal => suspect.progress.newest_ms() > other.progress.newest_ms(),
        std::cmp::Ordering::Greater => false,
    };
    is_weaker && suspect.counted().all(is_shared)
}

fn suspicion(key: Key, suspect: &Suspect, now_ms: u64) -> Suspicion {
    let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
    let told = |crash: &Crash| ToldCrash {
        endpoint: crash.endpoint,
        age_ms: age_ms(crash.at_ms),
        answered_ms: crash.answered_ms,
    };
    Suspicion {
        key,
        progress_ages_ms: suspect.progress.last_ms.map(|at_ms| at_ms.map(age_ms)),
        crashes: suspect.crashes.iter().map(told).collect(),
    }
}
