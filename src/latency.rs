//! Latency estimates of an endpoint, measured by its side and used for the side's offers.
//!
//! An endpoint without observations is assumed to be fast, and old observations decay. An endpoint that
//! looks slow gets no requests, so no new observation could show that it has recovered. With the decay
//! its offers improve until it gets a request, which is measured.

/// Weight of the newest observation in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Half-life of an observed time to the first token while no further request is observed.
const START_HALF_LIFE_MS: f64 = 5_000.0;
/// Service time assumed before the first observation.
const INITIAL_SERVICE_MS: f64 = 1000.0;
/// Output length assumed before the first observation.
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;

/// Moving averages of the latency and output length of one endpoint's requests.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimator {
    service_ms: f64,
    start_ms: f64,
    /// Time of the last observed first token, if any.
    last_first_token_ms: Option<u64>,
    output_tokens: f64,
}

impl Default for LatencyEstimator {
    fn default() -> Self {
        Self {
            service_ms: INITIAL_SERVICE_MS,
            start_ms: 0.0,
            last_first_token_ms: None,
            output_tokens: INITIAL_OUTPUT_TOKENS,
        }
    }
}

impl LatencyEstimator {
    /// Records a first token that arrived `after_ms` after the request was sent to the endpoint.
    pub fn first_token(&mut self, after_ms: u64, now_ms: u64) {
        let weight = if self.last_first_token_ms.is_some() { NEWEST_WEIGHT } else { 1.0 };
        let decayed_ms = self.decayed_start_ms(now_ms);
        self.start_ms = decayed_ms + (after_ms as f64 - decayed_ms) * weight;
        self.last_first_token_ms = Some(now_ms);
    }

    /// Records a finished request: how long it occupied its slot and how many tokens it produced.
    pub fn finished(&mut self, service_ms: u64, output_tokens: u64) {
        self.service_ms += (service_ms as f64 - self.service_ms) * NEWEST_WEIGHT;
        self.output_tokens += (output_tokens as f64 - self.output_tokens) * NEWEST_WEIGHT;
    }

    /// Estimates the wait for a slot behind `ahead` other requests.
    #[must_use]
    pub fn wait_ms(&self, ahead: usize, running: usize, slots: usize) -> u32 {
        let slots = slots.max(1);
        if running + ahead < slots {
            return 0;
        }
        // All slots are in use; on average one becomes free every `service_ms / slots`.
        let turns = (running + ahead + 1 - slots) as f64;
        (turns * self.service_ms / slots as f64) as u32
    }

    /// Estimates the time from getting a slot to the first token.
    #[must_use]
    pub fn start_ms(&self, now_ms: u64) -> u32 {
        self.decayed_start_ms(now_ms) as u32
    }

    fn decayed_start_ms(&self, now_ms: u64) -> f64 {
        let Some(seen_ms) = self.last_first_token_ms else {
            return 0.0;
        };
        let idle_ms = now_ms.saturating_sub(seen_ms) as f64;
        self.start_ms * 0.5_f64.powf(idle_ms / START_HALF_LIFE_MS)
    }

    /// Estimates the output length of a request that is limited to `max_tokens`.
    #[must_use]
    pub fn output_tokens(&self, max_tokens: u32) -> u64 {
        (self.output_tokens as u64).clamp(1, u64::from(max_tokens.max(1)))
    }
}
