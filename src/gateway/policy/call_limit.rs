//! Limit of the calls that one entry has in progress at a plain service.
//!
//! Load pattern: several entries send bursts of short calls to a few endpoints with few slots and
//! short queues. Each entry raises its limit while no endpoint reports waiting calls and lowers it
//! by a ratio when one is full, so that their limits converge without messages (additive increase,
//! multiplicative decrease; Chiu and Jain 1989).

/// Initial calls per endpoint.
const INITIAL_PER_ENDPOINT: u32 = 2;
/// Factor of the limit when an endpoint is full.
const DECREASE_FACTOR: f64 = 0.9;
/// Response time before any was measured.
const INITIAL_RESPONSE_MS: f64 = 20.0;
/// Weight of one response in the moving average.
const RESPONSE_WEIGHT: f64 = 0.125;

/// Endpoints of a service that accept calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    pub endpoints: u32,
    /// Slots of all of them together.
    pub slots: u32,
}

/// What an endpoint's answer to a call says about its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The endpoint states that it did not run the call.
    pub is_not_run: bool,
    /// Waiting calls that it reports; `None` if the answer has no report.
    pub waiting: Option<u32>,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Time from the send to the answer.
    pub took_ms: u64,
}

/// A change of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub before: u32,
    pub now: u32,
}

/// The limit of one entry for one service.
#[derive(Clone, Copy, Debug)]
pub struct CallLimit {
    /// `None` until the endpoints are known. It is fractional, so that a small limit does not fall by half.
    limit: Option<f64>,
    max: u32,
    response_ms: f64,
    /// Answers without waiting calls in the current round.
    round_answers: u32,
    /// Whether as many calls as the limit were in progress during the current round.
    was_reached: bool,
    decreased_ms: Option<u64>,
    answered_ms: Option<u64>,
}

impl Default for CallLimit {
    fn default() -> Self {
        Self {
            limit: None,
            max: 1,
            response_ms: INITIAL_RESPONSE_MS,
            round_answers: 0,
            was_reached: false,
            decreased_ms: None,
            answered_ms: None,
        }
    }
}

impl CallLimit {
    /// Returns the calls that may be in progress.
    #[must_use]
    pub fn calls(&self) -> u32 {
        self.limit.map_or(1, |limit| limit.round() as u32).clamp(1, self.max)
    }

    /// Returns the mean response time.
    #[must_use]
    pub fn response_ms(&self) -> f64 {
        self.response_ms
    }

    /// Returns the age of the last answer; `None` before the first one.
    #[must_use]
    pub fn answer_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.answered_ms.map(|answered_ms| now_ms.saturating_sub(answered_ms))
    }

    /// Returns the expected time until this number of calls has started while the limit is reached.
    #[must_use]
    pub fn time_for_ms(&self, calls: usize) -> f64 {
        calls as f64 * self.response_ms / f64::from(self.calls())
    }

    /// Sets the endpoints that accept calls.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.max = capacity.slots.max(1);
        let initial = f64::from(INITIAL_PER_ENDPOINT * capacity.endpoints);
        self.limit = Some(self.limit.unwrap_or(initial).clamp(1.0, f64::from(self.max)));
    }

    /// Records that as many calls as the limit are in progress.
    pub fn record_reached(&mut self) {
        self.was_reached = true;
    }

    /// Records an answer of an endpoint.
    pub fn record_answer(&mut self, answer: Answer, now_ms: u64) -> Option<Change> {
        let before = self.calls();
        self.answered_ms = Some(now_ms);
        if !answer.is_not_run {
            self.response_ms += (answer.took_ms as f64 - self.response_ms) * RESPONSE_WEIGHT;
        }
        let is_full =
            answer.is_not_run || answer.waiting.is_some_and(|waiting| waiting > answer.slots);
        match answer.waiting {
            _ if is_full => self.decrease(now_ms),
            Some(0) => self.round_answers += 1,
            Some(_) => self.begin_round(),
            None => {}
        }
        if self.round_answers >= before {
            if self.was_reached {
                let raised = self.limit.unwrap_or(1.0) + 1.0;
                self.limit = Some(raised.min(f64::from(self.max)));
            }
            self.begin_round();
        }
        let now = self.calls();
        (now != before).then_some(Change { before, now })
    }

    /// Several calls that were sent before the limit fell come back as not run. They are one sign of overload.
    fn decrease(&mut self, now_ms: u64) {
        self.begin_round();
        let response_ms = self.response_ms as u64;
        if self.decreased_ms.is_none_or(|decreased_ms| now_ms >= decreased_ms + response_ms) {
            self.decreased_ms = Some(now_ms);
            self.limit = self.limit.map(|limit| (limit * DECREASE_FACTOR).max(1.0));
        }
    }

    fn begin_round(&mut self) {
        self.round_answers = 0;
        self.was_reached = false;
    }
}
