//! Prompt parts on which engines end: which are suspected, and which prompts are no longer sent.
//!
//! A part can be such that each engine ends as it begins to write an answer on it. Every prompt with the part
//! takes an engine and all its streams along, at any entry. An entry records the shared parts of the prompts
//! that were lost unanswered with an engine, and entries exchange these records. A part is in quarantine after
//! crashes at [`MIN_MOMENTS`] moments without a success: an answer that an engine has written on it since or
//! shortly before. Parts that other prompts have as well succeed all the time, also while engines end for other
//! reasons. Engines that end at the same moment, as with their rack, count as one crash, unless there are many
//! of them. Of several parts that were lost together, only those are in quarantine that explain most crashes.
//!
//! A part that was condemned in error gets no success, as no prompt with it is sent. So one entry sends a single
//! prompt with it from time to time, at intervals that grow with each one that ends an engine.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::EndpointKey;

/// Number of moments with crashes after which a part is in quarantine.
pub const MIN_MOMENTS: usize = 3;
/// Number of crashes after which two moments are enough: many prompts with the part may arrive at once.
pub const MANY_CRASHES: usize = 5;
/// Crashes within this time are taken to be at the same moment.
const SAME_MOMENT_MS: u64 = 150;
/// How long a part stays in quarantine after its last crash, and how long crashes and successes are kept.
pub const RETENTION_MS: u64 = 600_000;
/// A part on which an engine has written an answer up to this long before a crash is not suspected of it.
const PROTECTION_MS: u64 = 2_000;
/// Reports of an endpoint's crash within this time are about the same one: it takes longer to start again.
const SAME_CRASH_MS: u64 = 1_000;
/// Time after the last crash from which one prompt with the part is sent. It is multiplied by
/// [`TRIAL_FACTOR`] for each such prompt that has ended an engine.
pub const TRIAL_MS: u64 = 30_000;
const TRIAL_FACTOR: u64 = 4;
/// A crash this long after the one before was that of a trial: no other prompt with the part is sent.
const TRIAL_GAP_MS: u64 = 10_000;
/// How long a changed record is sent to the other entries; long enough to reach those that were cut off for a
/// while. Records of parts in quarantine are sent for as long as they are.
const GOSSIP_MS: u64 = 10_000;
/// Maximum number of suspected parts; about 150 bytes each. Those with the fewest crashes are dropped first.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of crashes that are kept of a part.
const MAX_CRASHES: usize = 8;
/// Maximum number of parts whose last success is kept; about 30 bytes each.
const MAX_SUCCESSES: usize = 20_000;
/// Successes that are kept if there are more than [`MAX_SUCCESSES`].
const RECENT_SUCCESS_MS: u64 = 60_000;
/// Shortest time after which the caller of a prompt in quarantine is asked to return.
const MIN_WAIT_MS: u64 = 1_000;
/// Maximum number of records that are sent at a time.
const MAX_SENT: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    endpoint: EndpointKey,
    at_ms: u64,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.at_ms.abs_diff(other.at_ms) < SAME_CRASH_MS
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes of engines with which prompts with the part were lost unanswered.
    crashes: Vec<Crash>,
    /// When an engine last wrote an answer on the part, as far as any entry has told.
    success_ms: Option<u64>,
    changed_ms: u64,
}

impl Suspect {
    /// Crashes that the last success does not clear the part of.
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        let cleared_ms = self.success_ms.map_or(0, |success_ms| success_ms + PROTECTION_MS);
        self.crashes.iter().filter(move |crash| crash.at_ms > cleared_ms)
    }

    /// Whether the part is taken for the cause of its crashes, as long as no other one explains them.
    fn is_accused(&self) -> bool {
        let mut times_ms: Vec<u64> = self.counted().map(|crash| crash.at_ms).collect();
        times_ms.sort_unstable();
        let mut last_ms = None;
        let moments = times_ms.iter().filter(|at_ms| {
            let is_new = last_ms.is_none_or(|last_ms: u64| last_ms + SAME_MOMENT_MS <= **at_ms);
            if is_new {
                last_ms = Some(**at_ms);
            }
            is_new
        });
        let moments = moments.count();
        moments >= MIN_MOMENTS || (moments + 1 >= MIN_MOMENTS && times_ms.len() >= MANY_CRASHES)
    }

    fn add_crash(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|one| one.is_same(&crash)) {
            return false;
        }
        let at = self.crashes.partition_point(|one| one.at_ms <= crash.at_ms);
        if self.crashes.len() >= MAX_CRASHES && at == 0 {
            return false;
        }
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// When a prompt with the part may be sent to find out whether engines still end on it.
    fn next_trial_ms(&self) -> u64 {
        let is_trial = |pair: &&[Crash]| pair[1].at_ms >= pair[0].at_ms + TRIAL_GAP_MS;
        let trials = self.crashes.windows(2).rev().take_while(is_trial).count() as u32;
        self.last_crash_ms() + TRIAL_MS * TRIAL_FACTOR.pow(trials)
    }

    /// Returns whether the crashes of this part are among those of another one that explains more of them, or
    /// as many without a success as late.
    fn is_explained_by(&self, other: &Self) -> bool {
        let is_shared = |crash: &Crash| other.counted().any(|one| one.is_same(crash));
        let (own, others) = (self.counted().count(), other.counted().count());
        let is_weaker = own < others || (own == others && self.success_ms > other.success_ms);
        is_weaker && self.counted().all(is_shared)
    }

    fn last_crash_ms(&self) -> u64 {
        self.counted().map(|crash| crash.at_ms).max().unwrap_or(0)
    }
}

/// What an entry knows of a suspected part, as sent to other entries. Times are ages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    part: u64,
    success_age_ms: Option<u64>,
    crashes: Vec<(EndpointKey, u64)>,
}

impl Suspicion {
    /// Whether more than one crash is known, so that the next one may put the part in quarantine.
    #[must_use]
    pub fn is_strong(&self) -> bool {
        self.crashes.len() > 1
    }
}

/// A part that came into quarantine or was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub part: u64,
    pub is_quarantined: bool,
    /// Number of crashes that the part is suspected of.
    pub crashes: usize,
}

/// Suspected parts, and those in quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    /// When engines last wrote answers on parts of the prompts that this entry has sent.
    successes: HashMap<u64, u64>,
    /// End of the quarantine of each part that is in it.
    until_ms: HashMap<u64, u64>,
    /// Parts in quarantine of which this entry may send a prompt as a trial, and when it last did.
    trials: HashMap<u64, Option<u64>>,
    stamp: u64,
}

impl Quarantine {
    /// Records that prompts with these parts were lost unanswered when an endpoint crashed at `now_ms`.
    pub fn record_crash(
        &mut self,
        endpoint: EndpointKey,
        parts: impl IntoIterator<Item = u64>,
        now_ms: u64,
    ) -> Vec<Change> {
        let mut is_changed = false;
        for part in parts {
            let success_ms = self.successes.get(&part).copied();
            if success_ms.is_some_and(|success_ms| now_ms <= success_ms + PROTECTION_MS) {
                continue;
            }
            let suspect = self.suspects.entry(part).or_default();
            suspect.success_ms = suspect.success_ms.max(success_ms);
            if suspect.add_crash(Crash { endpoint, at_ms: now_ms }) {
                suspect.changed_ms = now_ms;
                is_changed = true;
            }
        }
        if is_changed { self.update(now_ms) } else { Vec::new() }
    }

    /// Records that an engine has written an answer on a prompt with these parts.
    pub fn record_success(
        &mut self,
        parts: impl IntoIterator<Item = u64>,
        now_ms: u64,
    ) -> Vec<Change> {
        let mut is_changed = false;
        for part in parts {
            self.successes.insert(part, now_ms);
            if let Some(suspect) = self.suspects.get_mut(&part) {
                if suspect.counted().next().is_some() {
                    suspect.changed_ms = now_ms;
                    is_changed = true;
                }
                suspect.success_ms = Some(now_ms);
            }
        }
        if is_changed { self.update(now_ms) } else { Vec::new() }
    }

    /// Adds what another entry has sent.
    pub fn merge(&mut self, received: &[Suspicion], now_ms: u64) -> Vec<Change> {
        let mut is_changed = false;
        for suspicion in received {
            let suspect = self.suspects.entry(suspicion.part).or_default();
            let before = suspect.counted().count();
            let told_ms = suspicion.success_age_ms.map(|age_ms| now_ms.saturating_sub(age_ms));
            let own_ms = self.successes.get(&suspicion.part).copied();
            suspect.success_ms = suspect.success_ms.max(told_ms).max(own_ms);
            let crash = |(endpoint, age_ms): &(EndpointKey, u64)| Crash {
                endpoint: *endpoint,
                at_ms: now_ms.saturating_sub(*age_ms),
            };
            let told = Suspect {
                crashes: suspicion.crashes.iter().map(crash).collect(),
                success_ms: told_ms,
                changed_ms: 0,
            };
            told.crashes.iter().for_each(|crash| {
                suspect.add_crash(*crash);
            });
            let counted = suspect.counted().count();
            // The sender may not know a success that clears the part.
            if counted != before || counted < told.counted().count() {
                suspect.changed_ms = now_ms;
                is_changed = true;
            }
        }
        if is_changed { self.update(now_ms) } else { Vec::new() }
    }

    /// Returns the records to send to the other entries, those with the most crashes first.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<Suspicion> {
        let recent = self.suspects.iter().filter(|(part, suspect)| {
            now_ms < suspect.changed_ms + GOSSIP_MS || self.until_ms.contains_key(part)
        });
        let mut recent: Vec<(&u64, &Suspect)> = recent.collect();
        recent.sort_unstable_by_key(|(part, suspect)| {
            (std::cmp::Reverse(suspect.crashes.len()), **part)
        });
        recent.truncate(MAX_SENT);
        recent.into_iter().map(|(part, suspect)| suspicion(*part, suspect, now_ms)).collect()
    }

    /// Returns all records, for an entry that has just started.
    #[must_use]
    pub fn all(&self, now_ms: u64) -> Vec<Suspicion> {
        let all = self.suspects.iter();
        all.map(|(part, suspect)| suspicion(*part, suspect, now_ms)).collect()
    }

    /// Stamp of the newest change of the parts in quarantine, which other entries have to know at once.
    #[must_use]
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Decides whether a prompt with these parts may be sent.
    ///
    /// # Errors
    /// The time in milliseconds after which it may be, if a part is in quarantine.
    pub fn admit(&mut self, parts: impl IntoIterator<Item = u64>, now_ms: u64) -> Result<(), u64> {
        let is_held = |part: &u64| self.until_ms.get(part).is_some_and(|end_ms| now_ms < *end_ms);
        let Some(part) = parts.into_iter().filter(is_held).min() else {
            return Ok(());
        };
        let trial_ms = self.suspects.get(&part).map_or(u64::MAX, Suspect::next_trial_ms);
        match self.trials.get_mut(&part) {
            Some(last_ms)
                if now_ms >= trial_ms.max(last_ms.map_or(0, |at_ms| at_ms + TRIAL_MS)) =>
            {
                *last_ms = Some(now_ms);
                Ok(())
            }
            _ => {
                let end_ms = self.until_ms.get(&part).copied().unwrap_or(now_ms);
                Err(trial_ms.min(end_ms).saturating_sub(now_ms).max(MIN_WAIT_MS))
            }
        }
    }

    /// Returns the parts in quarantine.
    pub fn parts(&self) -> impl Iterator<Item = u64> {
        self.until_ms.keys().copied()
    }

    /// Sets the parts of which this entry may send a prompt as a trial.
    pub fn set_trial_parts(&mut self, parts: &[u64]) {
        self.trials.retain(|part, _| parts.contains(part));
        for part in parts {
            self.trials.entry(*part).or_default();
        }
    }

    /// Returns whether any of these parts has not succeeded lately.
    pub fn has_unproven(&self, parts: impl IntoIterator<Item = u64>, now_ms: u64) -> bool {
        let is_proven = |part| {
            let success_ms = self.successes.get(&part);
            success_ms.is_some_and(|success_ms| now_ms <= success_ms + PROTECTION_MS)
        };
        !parts.into_iter().all(is_proven)
    }

    /// Number of parts in quarantine.
    #[must_use]
    pub fn count(&self) -> usize {
        self.until_ms.len()
    }

    /// Drops what is older than the retention time, and what is beyond the limits.
    pub fn sweep(&mut self, now_ms: u64) -> Vec<Change> {
        self.successes.retain(|_, at_ms| now_ms < *at_ms + RETENTION_MS);
        if self.successes.len() > MAX_SUCCESSES {
            self.successes.retain(|_, at_ms| now_ms < *at_ms + RECENT_SUCCESS_MS);
        }
        if self.successes.len() > MAX_SUCCESSES {
            self.successes.clear();
        }
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|crash| now_ms < crash.at_ms + RETENTION_MS);
            suspect.counted().next().is_some() || now_ms < suspect.changed_ms + GOSSIP_MS
        });
        let has_ended = self.until_ms.values().any(|until_ms| *until_ms <= now_ms);
        if has_ended { self.update(now_ms) } else { Vec::new() }
    }

    /// Determines the parts in quarantine and returns which were added and removed.
    fn update(&mut self, now_ms: u64) -> Vec<Change> {
        self.drop_excess();
        let accused: Vec<(u64, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_accused())
            .map(|(part, suspect)| (*part, suspect))
            .collect();
        let is_cause = |suspect: &Suspect| {
            !accused.iter().any(|(_, other)| suspect.is_explained_by(other))
                && now_ms < suspect.last_crash_ms() + RETENTION_MS
        };
        let causes = accused.iter().filter(|(_, suspect)| is_cause(suspect));
        let until_ms: HashMap<u64, u64> =
            causes.map(|(part, suspect)| (*part, suspect.last_crash_ms() + RETENTION_MS)).collect();
        let change = |part: u64, is_quarantined: bool| {
            let suspect = self.suspects.get(&part);
            let crashes = suspect.map_or(0, |suspect| suspect.counted().count());
            Change { part, is_quarantined, crashes }
        };
        let added = until_ms.keys().filter(|part| !self.until_ms.contains_key(part));
        let removed = self.until_ms.keys().filter(|part| !until_ms.contains_key(part));
        let changes: Vec<Change> = added
            .map(|part| change(*part, true))
            .chain(removed.map(|part| change(*part, false)))
            .collect();
        self.stamp += u64::from(!changes.is_empty());
        self.until_ms = until_ms;
        changes
    }

    fn drop_excess(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let weakest = self
                .suspects
                .iter()
                .min_by_key(|(part, suspect)| {
                    (suspect.counted().count(), suspect.changed_ms, **part)
                })
                .map(|(part, _)| *part);
            weakest.map(|part| self.suspects.remove(&part));
        }
    }
}

fn suspicion(part: u64, suspect: &Suspect, now_ms: u64) -> Suspicion {
    let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
    let crashes = suspect.crashes.iter().map(|crash| (crash.endpoint, age_ms(crash.at_ms)));
    Suspicion { part, success_age_ms: suspect.success_ms.map(age_ms), crashes: crashes.collect() }
}
