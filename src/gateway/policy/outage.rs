//! The store's outages as one watcher sees them, and what they say of entries that vanish. Pure.
//!
//! Entries of living endpoints lapse while the store is away and come back soon after it does, so
//! what vanishes just after an outage is kept for a while. An endpoint that really has left must not
//! get requests for longer than it goes on serving: an outage that hit this instance alone lets no
//! entry lapse, and cannot be told from one that hit all.

use rand::Rng;

/// How long a watch waits at the store. Longer would save calls; a watch that is silently dead is
/// then found later, and peers cover that time.
const WAIT_MS: u64 = 5_000;
/// The same while the store is away: its return is noticed by an answer, also when nothing has
/// changed, and the grace time is counted from then.
const WAIT_AWAY_MS: u64 = 100;
/// The same while entries may have lapsed: changes and their absence are seen soon.
const WAIT_LAPSED_MS: u64 = 500;
/// Pause after a first failed call; doubled with each.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause: the store's return is seen within this, of the two seconds in which a change has
/// to be in force.
const LONGEST_PAUSE_MS: u64 = 800;
/// The same of entries that are not the first of their zone to read: those notice the store's return, and
/// tell. All together would be hundreds of calls a second for a store that is just coming back.
const LONGEST_PAUSE_BEHIND_MS: u64 = 3_000;
/// Entries of endpoints lapse when the store was away for longer than this: a third of the shortest
/// time after which the platform drops an entry.
const LAPSE_AFTER_MS: u64 = 1_200;
/// How long after the store's return a vanished entry may come back. The platform says that living
/// endpoints are back within two seconds.
const LAPSE_GRACE_MS: u64 = 2_200;
/// What is kept of the time in which a leaving endpoint still serves: the way of its removal to this
/// entry, and of a request to it.
const LEAVE_SPARE_MS: u64 = 300;

/// When the store failed this watcher, and when it was back.
#[derive(Clone, Copy, Debug)]
pub struct StoreOutage {
    /// How long a leaving endpoint goes on taking requests.
    leave_ms: u64,
    since_ms: Option<u64>,
    /// End of the last outage that was long enough for entries to lapse.
    back_ms: Option<u64>,
    pause_ms: u64,
}

impl StoreOutage {
    /// No outage yet. `leave_ms`: how long a leaving endpoint goes on taking requests.
    #[must_use]
    pub fn new(leave_ms: u64) -> Self {
        Self { leave_ms, since_ms: None, back_ms: None, pause_ms: 0 }
    }

    /// The store did not answer. `is_behind`: others of the zone read the store before this entry. Gives how
    /// long to wait before the next call.
    pub fn record_failure(&mut self, now_ms: u64, is_behind: bool, random: &mut impl Rng) -> u64 {
        self.since_ms.get_or_insert(now_ms);
        let longest_ms = if is_behind { LONGEST_PAUSE_BEHIND_MS } else { LONGEST_PAUSE_MS };
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, longest_ms);
        random.random_range(self.pause_ms / 2..=self.pause_ms)
    }

    /// The store answered. Gives for how long it was away, if it was.
    pub fn record_answer(&mut self, now_ms: u64) -> Option<u64> {
        self.pause_ms = 0;
        let away_ms = now_ms - self.since_ms.take()?;
        if away_ms >= LAPSE_AFTER_MS {
            self.back_ms = Some(now_ms);
        }
        Some(away_ms)
    }

    #[must_use]
    pub fn is_down(&self) -> bool {
        self.since_ms.is_some()
    }

    /// How long the next watch waits at the store.
    #[must_use]
    pub fn watch_wait_ms(&self, now_ms: u64) -> u64 {
        if self.is_down() {
            WAIT_AWAY_MS
        } else if self.keep_missing_until_ms(now_ms).is_some() {
            WAIT_LAPSED_MS
        } else {
            WAIT_MS
        }
    }

    /// Until when an entry that is found missing now is kept, if it is.
    #[must_use]
    pub fn keep_missing_until_ms(&self, now_ms: u64) -> Option<u64> {
        let grace_ms = self.back_ms? + LAPSE_GRACE_MS;
        let leave_ms = now_ms + self.leave_ms.saturating_sub(LEAVE_SPARE_MS);
        (now_ms < grace_ms).then(|| grace_ms.min(leave_ms))
    }
}
