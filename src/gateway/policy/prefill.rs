//! Model of how fast the engines of a service prefill prompts, fitted to the responses.
//!
//! Engines prefill prompts in order of arrival, interleaved with the decoding steps of running
//! requests, so the time to a first event grows with the tokens queued ahead plus the request's
//! own. The slope is a least-squares fit through the origin with exponential decay of older
//! responses.

use crate::gateway::policy::engine_times;

/// Slope before any response was observed, in ms per token.
const PRIOR_MS_PER_TOKEN: f64 = 0.02;
/// Weight of the prior, in squared tokens: that of five responses to prompts of 4,000 tokens.
const PRIOR_WEIGHT: f64 = 5.0 * 4_000.0 * 4_000.0;
/// Factor by which each response decays the weight of earlier ones: about the last hundred count.
const DECAY: f64 = 0.99;
/// Prompts with fewer tokens ahead are ignored: their waits are dominated by the network, not by
/// prefill.
const MIN_TOKENS: f64 = 1_500.0;
/// Slower responses are ignored: the engine was stuck, which says nothing about its prefill speed.
const MAX_MS_PER_TOKEN: f64 = 0.2;
/// Network time and the first decoding step.
const BASE_MS: f64 = 50.0;
/// Duration of a request before any has ended.
const PRIOR_RUN_MS: f64 = 1_000.0;
/// Duration of one output token before any request has ended.
const PRIOR_MS_PER_OUTPUT_TOKEN: f64 = 10.0;
/// One in this many slots is kept free for requests that other entries send at the same moment: an
/// engine whose last slot is filled preempts less urgent requests.
const SPARE_ONE_IN: u32 = 8;
/// Weight of the newest request in the moving averages of durations.
const NEWEST_RUN_WEIGHT: f64 = 0.02;

/// Prefill speed of the engines of one service, and the duration of requests there.
#[derive(Clone, Copy, Debug)]
pub struct PrefillModel {
    tokens_ms: f64,
    tokens_squared: f64,
    run_ms: f64,
    ms_per_output_token: f64,
    /// Times at the usual duration of work, for services whose endpoints report it.
    pub fitted: engine_times::EngineTimes,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            tokens_ms: PRIOR_MS_PER_TOKEN * PRIOR_WEIGHT,
            tokens_squared: PRIOR_WEIGHT,
            run_ms: PRIOR_RUN_MS,
            ms_per_output_token: PRIOR_MS_PER_OUTPUT_TOKEN,
            fitted: engine_times::EngineTimes::default(),
        }
    }
}

impl PrefillModel {
    /// Updates the fit with a first event that arrived after `took_ms`, with `tokens` to prefill
    /// before it.
    pub fn observe_first_event(&mut self, tokens: u64, took_ms: u64) {
        let (tokens, took_ms) = (tokens as f64, took_ms as f64 - BASE_MS);
        if tokens < MIN_TOKENS || took_ms <= 0.0 || took_ms > tokens * MAX_MS_PER_TOKEN {
            return;
        }
        self.tokens_ms = self.tokens_ms * DECAY + tokens * took_ms;
        self.tokens_squared = self.tokens_squared * DECAY + tokens * tokens;
    }

    /// Updates the averages with a request that ended `ran_ms` after its first event;
    /// `output_tokens` is its output limit.
    pub fn observe_run(&mut self, output_tokens: u32, ran_ms: u64) {
        let ran_ms = ran_ms as f64;
        self.run_ms += (ran_ms - self.run_ms) * NEWEST_RUN_WEIGHT;
        if output_tokens > 0 {
            let sample = ran_ms / f64::from(output_tokens);
            self.ms_per_output_token += (sample - self.ms_per_output_token) * NEWEST_RUN_WEIGHT;
        }
    }

    /// Returns the expected duration of a request with this output limit.
    #[must_use]
    pub fn run_ms(&self, output_tokens: u32) -> u64 {
        (f64::from(output_tokens) * self.ms_per_output_token) as u64
    }

    /// Returns the mean duration of requests after their first events.
    #[must_use]
    pub fn mean_run_ms(&self) -> f64 {
        self.run_ms
    }

    /// Returns how long one more request waits for a slot at an engine that has `requests` running
    /// or queued. Part of the slots is kept free, see [`SPARE_ONE_IN`].
    #[must_use]
    pub fn slot_wait_ms(&self, requests: u32, slots: u32) -> f64 {
        slot_wait_ms(requests, slots, self.run_ms)
    }

    /// Returns the time to prefill this many tokens.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.tokens_ms / self.tokens_squared
    }

    /// Returns the time to a first event with this many tokens to prefill before it.
    #[must_use]
    pub fn first_event_ms(&self, tokens: u64) -> f64 {
        BASE_MS + self.prefill_ms(tokens)
    }
}

/// Returns how long one more request waits for a slot where requests take `run_ms`.
#[must_use]
pub fn slot_wait_ms(requests: u32, slots: u32, run_ms: f64) -> f64 {
    let over = (requests + 1).saturating_sub(slots - slots / SPARE_ONE_IN);
    f64::from(over) * run_ms / f64::from(slots.max(1))
}
