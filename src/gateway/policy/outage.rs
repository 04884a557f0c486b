//! Store outages as one watcher observes them, and how long endpoint records that vanish around an
//! outage are kept.
//!
//! Records of live endpoints expire while the store is down and reappear soon after it recovers, so
//! a record that vanishes just after an outage is kept for a grace period. An endpoint that has
//! really left must not get requests for longer than it goes on serving: an outage that hit this
//! instance alone lets no record expire, and cannot be distinguished from one that hit all.

use rand::Rng;

/// Long-poll time of a watch. A longer one would save calls, but a watch that is silently dead
/// would be found later; peers cover that time.
const WAIT_MS: u64 = 5_000;
/// Long-poll time while the store is down. Its recovery is noticed by an answer, also when nothing
/// has changed, and the grace period is counted from then.
const WAIT_DOWN_MS: u64 = 100;
/// Long-poll time while records may have expired, so that changes, and their absence, are seen
/// soon.
const WAIT_LAPSED_MS: u64 = 500;
/// Pause after the first failed call; doubles with each further one.
const MIN_PAUSE_MS: u64 = 100;
/// Longest pause. The recovery of the store is seen within it, and it takes part of the 2 s within
/// which a change has to take effect.
const MAX_PAUSE_MS: u64 = 800;
/// Longest pause of entries that are not the first of their zone to read the store. The first ones
/// notice its recovery and notify the others; if all entries called, a store that is just coming up
/// would get hundreds of calls per second.
const MAX_PAUSE_BEHIND_MS: u64 = 3_000;
/// Endpoint records may expire when the store was down for longer than this: a third of the
/// shortest time after which the platform drops a record.
const LAPSE_AFTER_MS: u64 = 1_200;
/// How long after the recovery of the store a vanished record may reappear. The platform documents
/// that live endpoints are back within 2 s.
pub const LAPSE_GRACE_MS: u64 = 2_200;
/// Margin subtracted from the time during which a leaving endpoint still serves: it covers the
/// delay until its removal reaches this entry, and that of a request to it.
const LEAVE_MARGIN_MS: u64 = 300;

/// When the store failed for this watcher, and when it recovered.
#[derive(Clone, Copy, Debug)]
pub struct StoreOutage {
    /// How long a leaving endpoint goes on taking requests.
    leave_ms: u64,
    since_ms: Option<u64>,
    /// Since when calls have failed because the store is down or silent. Records do not expire while it only refuses
    /// calls of this watcher for their rate.
    unavailable_since_ms: Option<u64>,
    /// End of the last outage that was long enough for records to expire, or when the store came back from an
    /// older copy.
    recovered_ms: Option<u64>,
    /// When a call last failed because the store was down or silent.
    failed_ms: Option<u64>,
    pause_ms: u64,
}

impl StoreOutage {
    /// Creates a state without an outage. `leave_ms` is how long a leaving endpoint goes on taking
    /// requests.
    #[must_use]
    pub fn new(leave_ms: u64) -> Self {
        Self {
            leave_ms,
            since_ms: None,
            unavailable_since_ms: None,
            recovered_ms: None,
            failed_ms: None,
            pause_ms: 0,
        }
    }

    /// Records a failed call and returns the pause before the next one. `is_behind` says that other
    /// entries of the zone read the store before this one.
    pub fn record_failure(&mut self, now_ms: u64, is_behind: bool, random: &mut impl Rng) -> u64 {
        self.unavailable_since_ms.get_or_insert(now_ms);
        self.failed_ms = Some(now_ms);
        self.record_refusal(now_ms, is_behind, random)
    }

    /// Records a call that the store refused for its rate, as [`Self::record_failure`].
    pub fn record_refusal(&mut self, now_ms: u64, is_behind: bool, random: &mut impl Rng) -> u64 {
        self.since_ms.get_or_insert(now_ms);
        let max_ms = if is_behind { MAX_PAUSE_BEHIND_MS } else { MAX_PAUSE_MS };
        self.pause_ms = (self.pause_ms * 2).clamp(MIN_PAUSE_MS, max_ms);
        random.random_range(self.pause_ms / 2..=self.pause_ms)
    }

    /// Records an answer and returns for how long calls failed, if they did.
    pub fn record_answer(&mut self, now_ms: u64) -> Option<u64> {
        self.pause_ms = 0;
        let unavailable_since_ms = self.unavailable_since_ms.take();
        if unavailable_since_ms.is_some_and(|since_ms| now_ms - since_ms >= LAPSE_AFTER_MS) {
            self.recovered_ms = Some(now_ms);
        }
        Some(now_ms - self.since_ms.take()?)
    }

    /// Records that the store has come back from an older copy, which lacks the newest records.
    pub fn record_restored(&mut self, now_ms: u64) {
        self.recovered_ms = Some(now_ms);
    }

    #[must_use]
    pub fn is_down(&self) -> bool {
        self.since_ms.is_some()
    }

    /// Returns whether no record that is missing now can have expired in an outage: no call has failed for longer than
    /// live endpoints take to write their records again.
    #[must_use]
    pub fn is_over(&self, now_ms: u64) -> bool {
        let is_over =
            |last_ms: Option<u64>| last_ms.is_none_or(|last_ms| now_ms >= last_ms + LAPSE_GRACE_MS);
        is_over(self.failed_ms) && is_over(self.recovered_ms)
    }

    /// Returns the long-poll time of the next watch.
    #[must_use]
    pub fn watch_wait_ms(&self, now_ms: u64) -> u64 {
        if self.is_down() {
            WAIT_DOWN_MS
        } else if self.keep_missing_until_ms(now_ms).is_some() {
            WAIT_LAPSED_MS
        } else {
            WAIT_MS
        }
    }

    /// Returns until when a record that is missing now is kept; `None` if it is not kept.
    #[must_use]
    pub fn keep_missing_until_ms(&self, now_ms: u64) -> Option<u64> {
        let grace_ms = self.recovered_ms? + LAPSE_GRACE_MS;
        let leave_ms = now_ms + leave_grace_ms(self.leave_ms);
        (now_ms < grace_ms).then(|| grace_ms.min(leave_ms))
    }
}

/// Returns for how long after its removal was seen an endpoint may be used, if it goes on taking requests for
/// `leave_ms` when it leaves.
#[must_use]
pub fn leave_grace_ms(leave_ms: u64) -> u64 {
    leave_ms.saturating_sub(LEAVE_MARGIN_MS)
}
