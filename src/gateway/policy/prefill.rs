//! How fast the engines of a service read prompts, learned from the answers.
//!
//! Engines read prompts in the order in which they came, mixed with the steps of running requests,
//! so the time to a first event grows with the tokens ahead and the request's own. The slope is
//! fitted through the origin, newer answers counting more.

/// Slope before anything was seen, in ms a token.
const FIRST_MS_PER_TOKEN: f64 = 0.02;
/// Weight of the first guess, as squared tokens: five answers to prompts of four thousand tokens.
const FIRST_WEIGHT: f64 = 5.0 * 4_000.0 * 4_000.0;
/// What each answer leaves of the weight of those before: about the last hundred count.
const FADE: f64 = 0.99;
/// Shorter waits say more about the way than about reading.
const LEAST_TOKENS: f64 = 1_500.0;
/// An engine that takes longer than this is stuck; its answer says nothing about reading.
const MOST_MS_PER_TOKEN: f64 = 0.2;
/// The way there and the first step.
const BASE_MS: f64 = 50.0;
/// How long a request runs, before any has ended.
const FIRST_RUN_MS: f64 = 1_000.0;
/// How long one token of output takes, before any request has ended.
const FIRST_MS_PER_OUTPUT_TOKEN: f64 = 10.0;
/// One in so many slots is left for what other entries send in the same moment: filled to the last one,
/// an engine would stop less urgent requests in the middle.
const SPARE_ONE_IN: u32 = 8;
/// Weight of the newest run in the means of runs.
const NEWEST_RUN: f64 = 0.02;

/// PrefillModel speed of the engines of one service, and how long requests run there.
#[derive(Clone, Copy, Debug)]
pub struct PrefillModel {
    tokens_ms: f64,
    tokens_squared: f64,
    run_ms: f64,
    ms_per_output_token: f64,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            tokens_ms: FIRST_MS_PER_TOKEN * FIRST_WEIGHT,
            tokens_squared: FIRST_WEIGHT,
            run_ms: FIRST_RUN_MS,
            ms_per_output_token: FIRST_MS_PER_OUTPUT_TOKEN,
        }
    }
}

impl PrefillModel {
    /// A first event came after this time, with so many tokens to read before it.
    pub fn observe_first_event(&mut self, tokens: u64, took_ms: u64) {
        let (tokens, took_ms) = (tokens as f64, took_ms as f64 - BASE_MS);
        if tokens < LEAST_TOKENS || took_ms <= 0.0 || took_ms > tokens * MOST_MS_PER_TOKEN {
            return;
        }
        self.tokens_ms = self.tokens_ms * FADE + tokens * took_ms;
        self.tokens_squared = self.tokens_squared * FADE + tokens * tokens;
    }

    /// A request with so many output tokens at most has run to its end, from its first event on, for
    /// this time.
    pub fn observe_run(&mut self, output_tokens: u32, ran_ms: u64) {
        let ran_ms = ran_ms as f64;
        self.run_ms += (ran_ms - self.run_ms) * NEWEST_RUN;
        if output_tokens > 0 {
            let now = ran_ms / f64::from(output_tokens);
            self.ms_per_output_token += (now - self.ms_per_output_token) * NEWEST_RUN;
        }
    }

    /// How long a request with so many output tokens at most is expected to run.
    #[must_use]
    pub fn run_ms(&self, output_tokens: u32) -> u64 {
        (f64::from(output_tokens) * self.ms_per_output_token) as u64
    }

    /// How long one more request waits for a place at an engine that runs so many in its slots, of which
    /// some are spared.
    #[must_use]
    pub fn slot_wait_ms(&self, requests: u32, slots: u32) -> f64 {
        let over = (requests + 1).saturating_sub(slots - slots / SPARE_ONE_IN);
        f64::from(over) * self.run_ms / f64::from(slots.max(1))
    }

    /// Time to read so many tokens.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.tokens_ms / self.tokens_squared
    }

    /// Time to a first event with so many tokens to read before it.
    #[must_use]
    pub fn first_event_ms(&self, tokens: u64) -> f64 {
        BASE_MS + self.prefill_ms(tokens)
    }
}
