//! Times of the engines of a service, fitted to its responses, and what they mean for one engine.
//!
//! Load pattern: engines that take 0.55 to 1.2 times the usual duration, whose prefill rate, decode step
//! and growth of the step with the running requests differ from service to service by a factor of four.
//! Observed times are divided by the reported duration of their engine before they are fitted, and
//! estimates are multiplied by that of the candidate. Where no engine reports its duration, the
//! service-wide averages of [`prefill::PrefillModel`] are used as they are.

use crate::gateway::policy::prefill;

/// Factor by which each observation decays the weight of earlier ones: about the last two hundred count.
const DECAY: f64 = 0.995;
/// Iterations of the solver for each observation. It starts from the solution before.
const ITERATIONS: usize = 4;
/// Time that each running request adds to a first event, through its part of each decoding step, where
/// none is fitted and before any response was observed.
const PER_REQUEST_MS: f64 = 3.0;
/// Time to a first event apart from prefill and running requests, before any response was observed.
const PRIOR_BASE_MS: f64 = 50.0;
/// Prefill time of a token before any response was observed.
const PRIOR_MS_PER_TOKEN: f64 = 0.02;
/// Time of an output token at an otherwise idle engine and its growth with each running request, before
/// any response was observed.
const PRIOR_STEP_MS: [f64; 2] = [9.0, 0.05];
/// Duration of a request before any has ended.
const PRIOR_RUN_MS: f64 = 1_000.0;
/// Weight of the newest request in the average duration.
const NEWEST_RUN_WEIGHT: f64 = 0.02;
/// A first event later than this, plus [`STUCK_MS_PER_TOKEN`], is ignored: the engine was stuck.
const STUCK_MS: f64 = 500.0;
const STUCK_MS_PER_TOKEN: f64 = 0.2;
/// Slower responses are ignored for the same reason, or because their reader was slow.
const STUCK_MS_PER_OUTPUT_TOKEN: f64 = 200.0;

/// Linear least-squares fit with exponential decay and coefficients that are not negative.
#[derive(Clone, Copy, Debug)]
struct Fit<const N: usize> {
    products: [[f64; N]; N],
    sums: [f64; N],
    coefficients: [f64; N],
    /// Weight of the prior, which does not decay. It keeps a coefficient determined whose variable
    /// does not vary.
    prior_weights: [f64; N],
    prior: [f64; N],
}

impl<const N: usize> Fit<N> {
    /// `typical` are usual values of the variables; the prior counts like a quarter of one observation
    /// of them.
    fn new(prior: [f64; N], typical: [f64; N]) -> Self {
        let prior_weights = typical.map(|value| value * value / 4.0);
        Self { products: [[0.0; N]; N], sums: [0.0; N], coefficients: prior, prior_weights, prior }
    }

    fn observe(&mut self, variables: [f64; N], observed: f64) {
        for row in 0..N {
            for column in 0..N {
                let product = variables[row] * variables[column];
                self.products[row][column] = self.products[row][column] * DECAY + product;
            }
            self.sums[row] = self.sums[row] * DECAY + variables[row] * observed;
        }
        // Coordinate descent, which keeps each coefficient from being negative.
        for row in (0..ITERATIONS).flat_map(|_| 0..N) {
            let others: f64 = (0..N)
                .filter(|column| *column != row)
                .map(|column| self.products[row][column] * self.coefficients[column])
                .sum();
            let prior_weight = self.prior_weights[row];
            let rest = self.sums[row] + prior_weight * self.prior[row] - others;
            self.coefficients[row] = (rest / (self.products[row][row] + prior_weight)).max(0.0);
        }
    }

    fn predict(&self, variables: [f64; N]) -> f64 {
        self.coefficients.iter().zip(variables).map(|(one, value)| one * value).sum()
    }
}

/// Times of the engines of one service at the usual duration.
#[derive(Clone, Copy, Debug)]
pub struct EngineTimes {
    /// By constant, tokens to prefill and running requests.
    first_event: Fit<3>,
    /// By constant and running requests.
    output_token: Fit<2>,
    run_ms: f64,
    runs: f64,
}

impl Default for EngineTimes {
    fn default() -> Self {
        let prior = [PRIOR_BASE_MS, PRIOR_MS_PER_TOKEN, PER_REQUEST_MS];
        Self {
            first_event: Fit::new(prior, [1.0, 4_000.0, 20.0]),
            output_token: Fit::new(PRIOR_STEP_MS, [1.0, 20.0]),
            run_ms: PRIOR_RUN_MS,
            runs: 0.0,
        }
    }
}

impl EngineTimes {
    /// Updates the fit with a first event that arrived after `took_ms` from an engine whose work took
    /// `factor` times the usual duration meanwhile, with `tokens` to prefill before it beside
    /// `requests` others.
    pub fn observe_first_event(&mut self, tokens: u64, requests: u32, took_ms: u64, factor: f64) {
        let (tokens, usual_ms) = (tokens as f64, took_ms as f64 / factor);
        if usual_ms <= STUCK_MS + tokens * STUCK_MS_PER_TOKEN {
            self.first_event.observe([1.0, tokens, f64::from(requests)], usual_ms);
        }
    }

    /// Updates the fit with a request that ended `ran_ms` after its first event beside `requests` others.
    pub fn observe_run(&mut self, output_tokens: u32, requests: u32, ran_ms: u64, factor: f64) {
        let usual_ms = ran_ms as f64 / factor;
        self.runs += 1.0;
        self.run_ms += (usual_ms - self.run_ms) * NEWEST_RUN_WEIGHT.max(1.0 / self.runs);
        let per_token_ms = usual_ms / f64::from(output_tokens);
        if output_tokens > 0 && per_token_ms <= STUCK_MS_PER_OUTPUT_TOKEN {
            self.output_token.observe([1.0, f64::from(requests)], per_token_ms);
        }
    }
}

/// Which times apply to the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Service-wide averages and constants: no engine reports the duration of its work.
    ServiceWide,
    /// Fitted times at the usual duration.
    Fitted,
}

/// Expected times at one engine.
#[derive(Clone, Copy, Debug)]
pub struct Estimate<'a> {
    pub model: &'a prefill::PrefillModel,
    pub basis: Basis,
    /// Duration of work at the engine relative to the usual one.
    pub factor: f64,
}

impl Estimate<'_> {
    /// Returns the time to prefill this many tokens.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        self.usual_prefill_ms(tokens) * self.factor
    }

    /// Returns the time to prefill this many tokens at the usual duration. It serves decisions that
    /// outlast the phases of an engine.
    #[must_use]
    pub fn usual_prefill_ms(&self, tokens: u64) -> f64 {
        match self.basis {
            Basis::ServiceWide => self.model.prefill_ms(tokens),
            Basis::Fitted => self.times().first_event.coefficients[1] * tokens as f64,
        }
    }

    /// Returns the time of one decode step beside `requests` running requests.
    #[must_use]
    pub fn decode_step_ms(&self, requests: u32) -> f64 {
        self.times().output_token.predict([1.0, f64::from(requests)]) * self.factor
    }

    /// Returns how long one more request waits for a slot at an engine that has `requests` running or
    /// queued.
    #[must_use]
    pub fn slot_wait_ms(&self, requests: u32, slots: u32) -> f64 {
        match self.basis {
            Basis::ServiceWide => self.model.slot_wait_ms(requests, slots),
            Basis::Fitted => {
                prefill::slot_wait_ms(requests, slots, self.times().run_ms) * self.factor
            }
        }
    }

    /// Returns the time to a first event with this many tokens to prefill before it, beside `requests`
    /// others and after a wait for a slot.
    #[must_use]
    pub fn first_event_ms(&self, tokens: u64, requests: u32, slot_wait_ms: f64) -> f64 {
        match self.basis {
            Basis::ServiceWide => {
                let concurrency_ms = f64::from(requests) * PER_REQUEST_MS + slot_wait_ms;
                self.model.first_event_ms(tokens) + concurrency_ms
            }
            Basis::Fitted => {
                let variables = [1.0, tokens as f64, f64::from(requests)];
                self.times().first_event.predict(variables) * self.factor + slot_wait_ms
            }
        }
    }

    fn times(&self) -> &EngineTimes {
        &self.model.fitted
    }
}
