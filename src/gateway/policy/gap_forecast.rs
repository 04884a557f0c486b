//! Forecast of the longest gap between the events of streams at an engine.
//!
//! Load pattern: long prompts and gap-sensitive streams share engines of unequal speed. An engine prefills one
//! chunk of a waiting prompt in each decode step, so a long prompt stretches the gaps of all streams
//! there. Streams are late because of their gaps although their first events were in time.

use std::collections::{HashMap, VecDeque};

use crate::gateway::directory::EndpointKey;
use crate::gateway::policy::{engine_times, load, prefill, work_duration};
use crate::gateway::route;

/// Prompt tokens that an engine prefills in one decode step.
const CHUNK_TOKENS: u64 = 2_048;
/// Upper bounds of the classes of gap limits. No bound for the last: its streams tolerate any forecast.
const CLASS_LIMITS_MS: [u32; GAP_CLASSES - 1] = [150, 300, 600];
/// Number of classes of gap limits.
pub const GAP_CLASSES: usize = 4;
/// Cost of a stream that becomes late, the same as `choose` gives to a late event.
const LATE_STREAM_MS: f64 = 600.0;
/// Multiples of the gap limit between which the risk rises from zero to one: the forecast is no more exact.
const RISK_BEGIN: f64 = 0.8;
const RISK_END: f64 = 1.2;
/// Weight of the present phase of an engine for prompts that wait there: a phase outlasts their prefill about as
/// often as not.
const PRESENT_WEIGHT: f64 = 0.5;
/// Window over which the rate of arriving prompts is measured.
const ARRIVAL_WINDOW_MS: u64 = 5_000;
/// One in this many slots is assumed to be taken where the duration of a decode step is forecast.
const TAKEN_ONE_IN: u32 = 4;
/// Arrivals kept per endpoint: more than an engine prefills within the window.
const MAX_ARRIVALS: usize = 32;

/// Returns the class of streams with this gap limit; `None` if they have no limit.
#[must_use]
pub fn class_of(gap_limit_ms: u32) -> Option<usize> {
    let class = CLASS_LIMITS_MS.iter().position(|limit_ms| gap_limit_ms <= *limit_ms);
    (gap_limit_ms > 0).then(|| class.unwrap_or(GAP_CLASSES - 1))
}

fn chunks(tokens: u64) -> u32 {
    u32::try_from(tokens.div_ceil(CHUNK_TOKENS)).unwrap_or(u32::MAX)
}

/// Returns the risk that a gap exceeds its limit, from the forecast of the longest gap.
fn risk(longest_ms: f64, limit_ms: u32) -> f64 {
    let ratio = longest_ms / f64::from(limit_ms);
    ((ratio - RISK_BEGIN) / (RISK_END - RISK_BEGIN)).clamp(0.0, 1.0)
}

/// Recently arrived prompts by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    recent: HashMap<EndpointKey, VecDeque<(u64, u32)>>,
}

impl Arrivals {
    /// Records a prompt with this many tokens to prefill. Less than a chunk does not count.
    pub fn record(&mut self, endpoint: EndpointKey, tokens: u64, now_ms: u64) {
        if tokens < CHUNK_TOKENS {
            return;
        }
        let recent = self.recent.entry(endpoint).or_default();
        if recent.len() >= MAX_ARRIVALS {
            recent.pop_front();
        }
        recent.push_back((now_ms, chunks(tokens)));
    }

    /// Removes arrivals that are too old.
    pub fn sweep(&mut self, now_ms: u64) {
        self.recent.retain(|_, recent| {
            recent.retain(|(at_ms, _)| now_ms < at_ms + ARRIVAL_WINDOW_MS);
            !recent.is_empty()
        });
    }

    /// Returns the sizes in chunks of the prompts that have arrived within the window.
    fn recent(&self, endpoint: EndpointKey, now_ms: u64) -> impl Iterator<Item = u32> {
        let recent = self.recent.get(&endpoint).into_iter().flatten();
        let recent = recent.filter(move |(at_ms, _)| now_ms < at_ms + ARRIVAL_WINDOW_MS);
        recent.map(|(_, chunks)| *chunks)
    }
}

/// Speed of a service's engines at the usual duration of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    pub tokens_per_event: u32,
    /// Time to prefill one chunk.
    pub chunk_ms: f64,
    /// Duration of a decode step without prefill.
    pub step_ms: f64,
}

/// Duration of work at an engine, relative to the usual one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// In its present phase.
    pub present: f64,
    pub phases: work_duration::Phases,
}

impl Speed {
    /// An engine without phases.
    #[must_use]
    pub fn constant(factor: f64) -> Self {
        Self { present: factor, phases: work_duration::Phases::constant(factor) }
    }
}

/// A request that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct NewStream {
    /// Prompt tokens that the candidate has to prefill.
    pub unread_tokens: u64,
    /// Longest gap that is in time; zero if there is no limit.
    pub gap_limit_ms: u32,
    pub output_tokens: u32,
}

/// Forecast for one candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Longest gap there with the request.
    pub longest_ms: f64,
    /// Cost of streams that become late.
    pub cost_ms: f64,
}

impl Forecast {
    /// Creates the forecast from the fitted times of a service, for engines of which a part of the slots is taken.
    /// `None` if the size of events is unknown.
    #[must_use]
    pub fn of(engine: &route::Engine, prefill_model: &prefill::PrefillModel) -> Option<Self> {
        let times = engine_times::Estimate {
            model: prefill_model,
            basis: engine_times::Basis::Fitted,
            factor: 1.0,
        };
        Some(Self {
            tokens_per_event: engine.tokens_per_event?,
            chunk_ms: times.usual_prefill_ms(CHUNK_TOKENS),
            step_ms: times.decode_step_ms(engine.slots / TAKEN_ONE_IN),
        })
    }

    /// Returns the longest gap at an engine with this many chunks to prefill.
    #[must_use]
    pub fn longest_ms(&self, chunks: u32, factor: f64) -> f64 {
        let prefill_ms = f64::from(chunks.min(self.tokens_per_event)) * self.chunk_ms;
        (prefill_ms + f64::from(self.tokens_per_event) * self.step_ms) * factor
    }

    /// Returns the risk that a gap exceeds its limit while this many chunks are prefilled, in any phase of an engine.
    fn phase_risk(&self, chunks: u32, phases: work_duration::Phases, limit_ms: u32) -> f64 {
        let usual = risk(self.longest_ms(chunks, phases.usual), limit_ms);
        let slow = risk(self.longest_ms(chunks, phases.slow), limit_ms);
        usual + (slow - usual) * phases.slow_share
    }

    /// Returns the same for chunks that are waiting.
    fn waiting_risk(&self, chunks: u32, speed: &Speed, limit_ms: u32) -> f64 {
        let present = risk(self.longest_ms(chunks, speed.present), limit_ms);
        let any = self.phase_risk(chunks, speed.phases, limit_ms);
        any + (present - any) * PRESENT_WEIGHT
    }

    /// Forecasts the effect of a request on a candidate with this work.
    #[must_use]
    pub fn candidate(
        &self,
        endpoint: EndpointKey,
        work: &load::Work,
        new: &NewStream,
        speed: &Speed,
        arrivals: &Arrivals,
        now_ms: u64,
    ) -> Candidate {
        let waiting = chunks(work.unread_tokens);
        let with_new = chunks(work.unread_tokens + new.unread_tokens);
        let longest_ms = self.longest_ms(with_new, speed.present);
        let by_class = work.streams.iter().zip(CLASS_LIMITS_MS);
        let others: f64 = by_class
            .map(|(count, limit_ms)| {
                let added = self.waiting_risk(with_new, speed, limit_ms)
                    - self.waiting_risk(waiting, speed, limit_ms);
                f64::from(*count) * added
            })
            .sum();
        let own = if new.gap_limit_ms == 0 {
            0.0
        } else {
            let run_ms = f64::from(new.output_tokens) * self.step_ms * speed.present;
            let arriving = arrivals.recent(endpoint, now_ms);
            // Expected number of prompts that arrive while the stream runs and make it late.
            let expected: f64 = arriving
                .map(|chunks| self.phase_risk(chunks, speed.phases, new.gap_limit_ms))
                .sum::<f64>()
                * run_ms
                / ARRIVAL_WINDOW_MS as f64;
            let waiting_risk = self.waiting_risk(waiting, speed, new.gap_limit_ms);
            1.0 - (1.0 - waiting_risk) * (-expected).exp()
        };
        Candidate { longest_ms, cost_ms: (others + own) * LATE_STREAM_MS }
    }
}
