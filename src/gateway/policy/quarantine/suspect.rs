//! A key that is suspected of ending endpoints, and what speaks for and against it.

use serde::{Deserialize, Serialize};

use crate::gateway::directory::EndpointKey;
use crate::gateway::fingerprint::Fingerprint;

/// Number of moments with crashes after which a key is in quarantine.
pub const MIN_MOMENTS: usize = 3;
/// Number of moments that it takes for a part if endpoints had been answering for a while: long answers with it
/// are lost with each endpoint that ends for another reason.
pub const MIN_LATE_MOMENTS: usize = 5;
/// Number of crashes after which two moments are enough: many requests with the key may arrive at once.
pub const MANY_CRASHES: usize = 5;
/// Crashes within this time are taken to be at the same moment.
const SAME_MOMENT_MS: u64 = 150;
/// A key with which an endpoint has gone on up to this long before a crash is not suspected of it.
pub(super) const PROTECTION_MS: u64 = 2_000;
/// Reports of an endpoint's crash within this time are about the same one: it takes longer to start again.
const SAME_CRASH_MS: u64 = 1_000;
/// Time after the last crash from which one request with the key is sent. It is multiplied by
/// [`TRIAL_FACTOR`] for each such request that has ended an endpoint.
pub const TRIAL_MS: u64 = 30_000;
const TRIAL_FACTOR: u64 = 4;
/// A crash this long after the one before was that of a trial: no other request with the key is sent.
const TRIAL_GAP_MS: u64 = 10_000;
/// Maximum number of crashes that are kept of a key.
const MAX_CRASHES: usize = 8;

/// What a crash is blamed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// All attempts with the same request.
    Request(Fingerprint),
    /// All prompts with this part.
    Part(u64),
}

impl Key {
    /// Returns the key as a seed for choosing an entry by rendezvous hashing.
    #[must_use]
    pub fn seed(self) -> u64 {
        match self {
            Self::Request(fingerprint) => fingerprint.seed(),
            Self::Part(id) => id,
        }
    }

    pub(super) fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// A key that was lost with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    pub key: Key,
    /// Time for which the endpoint had been answering; zero before the answer began.
    pub answered_ms: u64,
}

/// Shortest time of answering that is told from none, and lowest level of [`Progress`].
pub const MIN_PROGRESS_MS: u64 = 200;
/// Levels of progress: each stands for twice the time of the one before, the last for a whole answer.
pub(super) const LEVELS: usize = 9;
pub(super) const COMPLETE: usize = LEVELS - 1;

/// When endpoints last went on with a key for certain times of answering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// By level, when it was last reached. It never rises from one level to the next.
    pub(super) last_ms: [Option<u64>; LEVELS],
}

impl Progress {
    /// Returns the first level that stands for at least this time of answering.
    fn level_from(answered_ms: u64) -> usize {
        let level = (0..COMPLETE).find(|level| answered_ms <= MIN_PROGRESS_MS << level);
        level.unwrap_or(COMPLETE)
    }

    /// Returns the last level that is reached by this time of answering.
    pub(super) fn level_reached(answered_ms: u64) -> Option<usize> {
        (0..COMPLETE).rfind(|level| answered_ms >= MIN_PROGRESS_MS << level)
    }

    pub(super) fn record(&mut self, level: usize, at_ms: u64) {
        for last_ms in &mut self.last_ms[..=level] {
            *last_ms = (*last_ms).max(Some(at_ms));
        }
    }

    pub(super) fn merge(&mut self, other: &Self) {
        for (own_ms, other_ms) in self.last_ms.iter_mut().zip(other.last_ms) {
            *own_ms = (*own_ms).max(other_ms);
        }
    }

    /// Whether an endpoint has gone on for longer than the one that crashed, shortly before the crash or since.
    pub(super) fn clears(&self, crash: &Crash) -> bool {
        let last_ms = self.last_ms[Self::level_from(crash.refuting_ms())];
        last_ms.is_some_and(|last_ms| crash.at_ms <= last_ms + PROTECTION_MS)
    }

    /// When an endpoint last went on with the key at all.
    pub(super) fn newest_ms(&self) -> Option<u64> {
        self.last_ms[0]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) endpoint: EndpointKey,
    pub(super) at_ms: u64,
    pub(super) answered_ms: u64,
}

impl Crash {
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.at_ms.abs_diff(other.at_ms) < SAME_CRASH_MS
    }

    /// Whether the endpoint had been answering for a while.
    fn is_late(&self) -> bool {
        self.answered_ms >= MIN_PROGRESS_MS
    }

    /// Time of answering that shows that the key did not end the endpoint. Endpoints differ in speed, so it is
    /// longer than that until the crash.
    fn refuting_ms(&self) -> u64 {
        self.answered_ms + self.answered_ms / 2 + MIN_PROGRESS_MS
    }

    /// Whether an endpoint went on with the key for longer until it crashed, shortly before or since.
    fn is_refuted_by(&self, other: &Self) -> bool {
        other.answered_ms >= self.refuting_ms() && self.at_ms <= other.at_ms + PROTECTION_MS
    }
}

/// Number of different moments among these times.
fn count_moments(mut times_ms: Vec<u64>) -> usize {
    times_ms.sort_unstable();
    let (mut moments, mut begin_ms) = (0, None);
    for at_ms in times_ms {
        if begin_ms.is_none_or(|begin_ms| begin_ms + SAME_MOMENT_MS <= at_ms) {
            begin_ms = Some(at_ms);
            moments += 1;
        }
    }
    moments
}

#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Crashes of endpoints at which requests with the key were under way.
    pub(super) crashes: Vec<Crash>,
    /// Progress of endpoints with the key, as far as any entry has told.
    pub(super) progress: Progress,
    pub(super) changed_ms: u64,
}

impl Suspect {
    /// Crashes that nothing clears the key of.
    pub(super) fn counted(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| {
            !self.progress.clears(crash) && !self.crashes.iter().any(|one| crash.is_refuted_by(one))
        })
    }

    /// Whether the key is taken for the cause of its crashes, as long as no other one explains them.
    pub(super) fn is_accused(&self, key: Key) -> bool {
        let times_ms = |is_late: bool| -> Vec<u64> {
            let counted = self.counted().filter(|crash| is_late || !crash.is_late());
            counted.map(|crash| crash.at_ms).collect()
        };
        let (all_ms, early_ms) = (times_ms(true), times_ms(false));
        let is_enough = |times_ms: Vec<u64>| {
            let crashes = times_ms.len();
            let moments = count_moments(times_ms);
            moments >= MIN_MOMENTS || (moments + 1 >= MIN_MOMENTS && crashes >= MANY_CRASHES)
        };
        match key {
            Key::Request(_) => is_enough(all_ms),
            Key::Part(_) => is_enough(early_ms) || count_moments(all_ms) >= MIN_LATE_MOMENTS,
        }
    }

    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|one| one.is_same(&crash)) {
            known.answered_ms = known.answered_ms.max(crash.answered_ms);
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

    /// When a request with the key may be sent to find out whether endpoints still end on it.
    pub(super) fn next_trial_ms(&self) -> u64 {
        let is_trial = |pair: &&[Crash]| pair[1].at_ms >= pair[0].at_ms + TRIAL_GAP_MS;
        let trials = self.crashes.windows(2).rev().take_while(is_trial).count() as u32;
        self.last_crash_ms() + TRIAL_MS * TRIAL_FACTOR.pow(trials)
    }

    /// Number of moments with crashes that another key was not under way in.
    pub(super) fn moments_without(&self, other: &Self) -> usize {
        let is_shared = |crash: &Crash| other.counted().any(|one| one.is_same(crash));
        count_moments(
            self.counted().filter(|crash| !is_shared(crash)).map(|crash| crash.at_ms).collect(),
        )
    }

    pub(super) fn last_crash_ms(&self) -> u64 {
        self.counted().map(|crash| crash.at_ms).max().unwrap_or(0)
    }
}
