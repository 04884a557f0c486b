//! Times of a stream's events: gaps between them, and how long endpoints have been answering.

use super::policy::quarantine;

/// Arrival times of a stream's events, for gap statistics and the log.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventTiming {
    pub(super) first_ms: Option<u64>,
    pub(super) last_ms: u64,
    pub(super) longest_gap_ms: u64,
    pub(super) events: u64,
}

impl EventTiming {
    pub(super) fn event(&mut self, now_ms: u64) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms);
        } else {
            self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_ms);
        }
        self.last_ms = now_ms;
        self.events += 1;
    }
}

/// How long endpoints have been answering a request, which shows that they do not end on it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Answering {
    /// First event of the endpoint that sends the response now.
    began_ms: Option<u64>,
    /// Time for which this endpoint has been answering, as of its last event.
    here_ms: u64,
    /// Time for which the endpoints before it had been answering.
    before_ms: u64,
    /// Time from which this endpoint's progress is recorded again.
    next_record_ms: u64,
}

impl Answering {
    /// Returns the progress of the endpoint with an event, if it is to be recorded.
    pub(super) fn event(&mut self, now_ms: u64) -> Option<u64> {
        self.here_ms = now_ms - *self.began_ms.get_or_insert(now_ms);
        if self.here_ms < self.next_record_ms.max(quarantine::MIN_PROGRESS_MS) {
            return None;
        }
        self.next_record_ms = self.here_ms * 2;
        Some(self.here_ms)
    }

    pub(super) fn total_ms(&self) -> u64 {
        self.before_ms + self.here_ms
    }

    pub(super) fn move_on(&mut self) {
        *self = Self { before_ms: self.total_ms(), ..Self::default() };
    }
}
