//! How fast an endpoint works, as its side observes it: the ground for the side's offers.
//!
//! What is not known is taken for fast, and what was seen long ago counts less and less. An endpoint
//! that looks slow gets no requests, so nothing would ever show that it is not slow any more; with
//! time its offers become good enough for one request, and that one tells.

/// Weight of the newest observation.
const NEWEST: f64 = 0.1;
/// In this time without a request an observation of the time to the first token loses half its
/// weight.
const START_HALF_LIFE_MS: f64 = 5_000.0;
/// Assumed before anything was observed.
const FIRST_SERVICE_MS: f64 = 1000.0;
/// Assumed output before any request ended.
const FIRST_OUTPUT_TOKENS: f64 = 128.0;

/// Moving averages over the requests of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimator {
    service_ms: f64,
    start_ms: f64,
    /// When the last first token came; `None`: none yet.
    start_seen_ms: Option<u64>,
    output_tokens: f64,
}

impl Default for LatencyEstimator {
    fn default() -> Self {
        Self {
            service_ms: FIRST_SERVICE_MS,
            start_ms: 0.0,
            start_seen_ms: None,
            output_tokens: FIRST_OUTPUT_TOKENS,
        }
    }
}

impl LatencyEstimator {
    /// A request's first token came this long after it was sent to the endpoint.
    pub fn first_token(&mut self, after_ms: u64, now_ms: u64) {
        let weight = if self.start_seen_ms.is_some() { NEWEST } else { 1.0 };
        let known_ms = self.aged_start_ms(now_ms);
        self.start_ms = known_ms + (after_ms as f64 - known_ms) * weight;
        self.start_seen_ms = Some(now_ms);
    }

    /// A request held its slot this long and produced this many tokens.
    pub fn finished(&mut self, service_ms: u64, output_tokens: u64) {
        self.service_ms += (service_ms as f64 - self.service_ms) * NEWEST;
        self.output_tokens += (output_tokens as f64 - self.output_tokens) * NEWEST;
    }

    /// Expected wait for a slot behind `ahead` others.
    #[must_use]
    pub fn wait_ms(&self, ahead: usize, running: usize, slots: usize) -> u32 {
        let slots = slots.max(1);
        if running + ahead < slots {
            return 0;
        }
        // All slots are busy: on average one comes free each `service / slots`.
        let turns = (running + ahead + 1 - slots) as f64;
        (turns * self.service_ms / slots as f64) as u32
    }

    /// Expected time from the slot to the first token.
    #[must_use]
    pub fn start_ms(&self, now_ms: u64) -> u32 {
        self.aged_start_ms(now_ms) as u32
    }

    fn aged_start_ms(&self, now_ms: u64) -> f64 {
        let Some(seen_ms) = self.start_seen_ms else {
            return 0.0;
        };
        let idle_ms = now_ms.saturating_sub(seen_ms) as f64;
        self.start_ms * 0.5_f64.powf(idle_ms / START_HALF_LIFE_MS)
    }

    /// Expected output of a request that may have at most `most_tokens`.
    #[must_use]
    pub fn output_tokens(&self, most_tokens: u32) -> u64 {
        (self.output_tokens as u64).clamp(1, u64::from(most_tokens.max(1)))
    }
}
