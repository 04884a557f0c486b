//! Endpoint selection: which endpoint gets a request.
//!
//! Load pattern for engines: prompts of ten thousand tokens and more, most of each shared with
//! other requests, among short urgent ones. A part that is prefilled again costs every request at
//! that endpoint the prefill time, so requests go where their parts are cached until the wait there
//! is far longer than prefill elsewhere (bounded load). A part that no endpoint has cached goes to
//! the first choice by rendezvous hashing, or to the second while the first is busy, so that
//! entries that see it at the same time agree.
//!
//! Entries learn with a delay what the others have sent. If each compared all endpoints, all would
//! send to the one that was free a moment ago. So each compares the endpoints that have the parts
//! cached with a small random sample of the others (power of d choices, Mitzenmacher 2001).
//!
//! Load pattern for plain services: few slots, responses of some ten ms, endpoints of unequal speed,
//! some of which fail or hang. Requests go to the endpoint with the shortest expected response time,
//! given its requests in progress.

mod estimated;

use compact_str::CompactString;
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3;

use crate::gateway::directory::{Endpoint, EndpointKey};
use crate::gateway::policy::{
    admission, engine_memory, engine_times, event_gaps, gap_forecast, health, load, load_estimate,
    prefill, prefix_index, work_duration,
};
use crate::gateway::request::{Prompt, PromptPart};
use crate::gateway::route;

/// Weight of the time to prefill a document again, on top of the wait of the request itself: all
/// later requests are delayed by the same time, and the document displaces others from the cache.
const DOCUMENT_WEIGHT: f64 = 16.0;
/// The same for a prefix common to many documents, which each engine prefills once and then keeps.
/// With a higher weight all new documents would go to the few engines that have it cached.
const COMMON_PREFIX_WEIGHT: f64 = 1.0;
/// Share of the latency target beyond which a first event may be late: the estimate is off by about
/// that much.
const LATE_SHARE: f64 = 0.6;
/// Weight of each ms beyond that.
const LATE_WEIGHT: f64 = 4.0;
/// Share of the wait that the caller accepts beyond which it may have left before the first event.
const TIMEOUT_SHARE: f64 = 0.6;
/// Weight of each ms beyond that: higher than that of any prefill, since the request is lost and
/// its prefill wasted.
const TIMEOUT_WEIGHT: f64 = 20.0;
/// Bonus of the first and the second choice by rendezvous hashing for parts that no endpoint has
/// cached, as a multiple of the prefill time. With one choice only, the requests that it could not
/// take immediately would be scattered and prefilled in many places.
const RENDEZVOUS_WEIGHTS: [f64; 2] = [3.0, 2.1];
/// Size of the random sample that is compared with the endpoints that have the parts cached: this
/// share of the candidates, and at least [`MIN_SAMPLE`]. Entries that compare all endpoints choose
/// the same one.
const SAMPLE_SHARE: f64 = 0.1;
const MIN_SAMPLE: usize = 6;
/// When this many endpoints of an availability zone refuse one request a connection, the zone
/// counts as lost.
const LOST_ZONE_REFUSALS: usize = 2;
/// Cost of a response with a late event, compared with one whose events are all in time.
const LATE_EVENT_MS: f64 = 600.0;
/// Cost of another availability zone: the round trip and the price of the traffic.
const CROSS_ZONE_MS: f64 = 4.0;
/// Cost of a failed response: the caller retries after about this time.
const FAILURE_MS: f64 = 400.0;
/// Response time of a plain service before any was observed.
const PLAIN_RESPONSE_MS: f64 = 20.0;

/// State that the selection is based on.
#[derive(Debug)]
pub struct Inputs<'a> {
    pub load_table: &'a load::LoadTable,
    pub prefix_index: &'a prefix_index::PrefixIndex,
    pub health: &'a health::Health,
    pub prefill_model: &'a prefill::PrefillModel,
    pub event_gaps: &'a event_gaps::EventGaps,
    pub work_durations: &'a work_duration::WorkDurations,
    /// Forecast of gaps; `None` if no endpoint reports a duration or the size of events is unknown.
    pub gap_forecast: Option<gap_forecast::Forecast>,
    /// Whether engines without memory for the request are left out, and loads are estimated.
    pub overload_control: bool,
    /// Longest gap between events that is in time for the caller; zero if there is no limit.
    pub gap_limit_ms: u32,
    pub zone: &'a str,
    pub now_ms: u64,
    /// Latency target of the first event.
    pub latency_target_ms: f64,
    /// How long the caller waits for a first event.
    pub max_wait_ms: f64,
    /// Zones of the endpoints that refused this request a connection, one item per endpoint.
    pub unreachable_zones: &'a [CompactString],
}

/// An endpoint and the expected effect of choosing it.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    pub endpoint: &'a Endpoint,
    pub cost_ms: f64,
    /// Prompt tokens that it has to prefill.
    pub unread_tokens: u32,
    /// Work known to be in progress there.
    pub work: load::Work,
    /// Expected time to the first event.
    pub first_ms: f64,
    /// Share of the engines that are free, see [`admission::FREE_WAIT_MS`].
    pub free_share: f64,
    /// Duration of work there relative to the usual one, and the age of the report that says so.
    pub duration_factor: f64,
    pub duration_age_ms: Option<u64>,
    /// Forecast of the gaps there; `None` if there is no forecast.
    pub gaps: Option<gap_forecast::Candidate>,
    /// Whether the engines' memory has room for the request.
    pub room: engine_memory::Room,
    /// Estimate of the load; `None` where loads are not estimated.
    pub balance: Option<Balance>,
    /// The endpoint with the next higher cost; `None` if no other was compared. Where the endpoint was drawn, the
    /// cheapest other one.
    pub runner_up: Option<RunnerUp<'a>>,
}

impl<'a> Choice<'a> {
    fn new(
        endpoint: &'a Endpoint,
        cost_ms: f64,
        work: load::Work,
        first_ms: f64,
        inputs: &Inputs<'_>,
    ) -> Self {
        Self {
            endpoint,
            cost_ms,
            unread_tokens: 0,
            work,
            first_ms,
            free_share: 1.0,
            duration_factor: inputs.work_durations.factor(endpoint, inputs.now_ms),
            duration_age_ms: inputs.work_durations.age_ms(endpoint, inputs.now_ms),
            gaps: None,
            room: engine_memory::Room::Unchecked,
            balance: None,
            runner_up: None,
        }
    }

    /// Duration of work there in percent of the usual one; `None` if it is not reported.
    #[must_use]
    pub fn duration_percent(&self) -> Option<u32> {
        self.duration_age_ms.map(|_| (self.duration_factor * 100.0).round() as u32)
    }
}

/// Estimated loads behind a choice.
#[derive(Clone, Copy, Debug)]
pub struct Balance {
    /// Estimate for the chosen endpoint.
    pub estimate: load_estimate::Estimate,
    /// Requests per slot of the busiest candidate, divided by the mean.
    pub imbalance: f64,
}

/// The second-best endpoint of a choice.
#[derive(Clone, Copy, Debug)]
pub struct RunnerUp<'a> {
    pub endpoint: &'a Endpoint,
    pub cost_ms: f64,
}

/// Selects the endpoint for a request. Endpoints that are avoided are used only if there are no others, and those that
/// stand still not at all.
pub fn choose<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
    engine: Option<&route::Engine>,
    prompt: Option<&Prompt>,
    inputs: &Inputs<'_>,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let all: Vec<&Endpoint> = endpoints.collect();
    let is_open = |one: &&Endpoint| !inputs.health.is_avoided(one.key, inputs.now_ms);
    let open: Vec<&Endpoint> = all.iter().copied().filter(is_open).collect();
    let is_stalled = |one: &&Endpoint| inputs.health.is_stalled(one.key, inputs.now_ms);
    let mut candidates = match open.is_empty() {
        true => all.into_iter().filter(|one| !is_stalled(one)).collect(),
        false => open,
    };
    exclude_lost_zones(&mut candidates, inputs.unreachable_zones);
    // The order decides between equal costs. It is random, since otherwise all entries would choose
    // the same endpoint.
    candidates.shuffle(random);
    match (engine, prompt) {
        (Some(engine), Some(prompt)) => {
            let free_share = free_share(&candidates, engine, basis(&candidates, inputs), inputs);
            let room = engine_memory::retain_with_room(
                &mut candidates,
                prompt,
                inputs.overload_control.then_some(engine.kv_cache_tokens),
                inputs.load_table,
                inputs.now_ms,
            );
            choose_engine(&candidates, engine, prompt, inputs).map(|choice| Choice {
                free_share,
                room,
                balance: estimated::engine_balance(&candidates, &choice, prompt, inputs),
                ..choice
            })
        }
        _ if estimates_load(inputs) => estimated::choose_plain(&candidates, inputs, random),
        _ => {
            let fastest_ms = fastest_response_ms(&candidates, inputs);
            let choices = candidates.into_iter();
            cheapest(choices.map(|endpoint| plain_choice(endpoint, fastest_ms, inputs)))
        }
    }
}

/// Returns whether loads are estimated, see [`load_estimate`].
fn estimates_load(inputs: &Inputs<'_>) -> bool {
    inputs.overload_control || inputs.work_durations.is_reported(inputs.now_ms)
}

/// Excludes the endpoints of zones that seem lost, unless there are no others. The idle endpoints
/// of a lost zone look best, and a request would try them one after the other.
fn exclude_lost_zones(candidates: &mut Vec<&Endpoint>, unreachable_zones: &[CompactString]) {
    let is_lost = |one: &&Endpoint| {
        unreachable_zones.iter().filter(|zone| **zone == one.zone).count() >= LOST_ZONE_REFUSALS
    };
    if !candidates.iter().all(is_lost) {
        candidates.retain(|one| !is_lost(one));
    }
}

fn cheapest<'a>(choices: impl Iterator<Item = Choice<'a>>) -> Option<Choice<'a>> {
    choices.reduce(|best, other| {
        let is_cheaper = other.cost_ms.total_cmp(&best.cost_ms).is_lt();
        let (best, other) = if is_cheaper { (other, best) } else { (best, other) };
        let other = RunnerUp { endpoint: other.endpoint, cost_ms: other.cost_ms };
        let known = best.runner_up.into_iter().chain([other]);
        // A new best choice has no runner-up yet, and the one it replaces was cheaper than all others.
        let runner_up = known.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        Choice { runner_up, ..best }
    })
}

fn choose_engine<'a>(
    candidates: &[&'a Endpoint],
    engine: &route::Engine,
    prompt: &Prompt,
    inputs: &Inputs<'_>,
) -> Option<Choice<'a>> {
    let preferred = rendezvous(candidates, prompt, inputs);
    let basis = basis(candidates, inputs);
    let sample = (candidates.len() as f64 * SAMPLE_SHARE).ceil() as usize;
    let mut remaining = sample.max(MIN_SAMPLE);
    let compared = candidates.iter().copied().filter(|one| {
        if preferred.contains(&Some(one.key)) || has_document(one, prompt, inputs) {
            return true;
        }
        let is_sampled = remaining > 0;
        remaining = remaining.saturating_sub(1);
        is_sampled
    });
    let choices =
        compared.map(|endpoint| engine_choice(endpoint, engine, prompt, preferred, basis, inputs));
    cheapest(choices)
}

fn has_document(endpoint: &Endpoint, prompt: &Prompt, inputs: &Inputs<'_>) -> bool {
    let document = prompt.shared_parts().last();
    document.is_some_and(|part| inputs.prefix_index.is_cached(endpoint.key, part.id, inputs.now_ms))
}

/// Returns which times apply to the candidates of a choice.
fn basis(candidates: &[&Endpoint], inputs: &Inputs<'_>) -> engine_times::Basis {
    match inputs.work_durations.is_reported_by_any(candidates, inputs.now_ms) {
        true => engine_times::Basis::Fitted,
        false => engine_times::Basis::ServiceWide,
    }
}

/// Returns the occupied slots of an engine, including those that other entries are expected to have
/// filled since their last report.
fn occupied_slots(endpoint: &Endpoint, work: load::Work, inputs: &Inputs<'_>) -> u32 {
    work.requests + inputs.load_table.expected_unreported(endpoint.key, inputs.now_ms)
}

/// Returns the share of the engines at which a prompt gets a slot and begins to be prefilled within
/// [`admission::FREE_WAIT_MS`].
fn free_share(
    candidates: &[&Endpoint],
    engine: &route::Engine,
    basis: engine_times::Basis,
    inputs: &Inputs<'_>,
) -> f64 {
    let is_free = |one: &&&Endpoint| {
        let work = inputs.load_table.work_at(one.key, inputs.now_ms);
        let times = times_of(one, basis, inputs);
        let slot_wait_ms = times.slot_wait_ms(occupied_slots(one, work, inputs), engine.slots);
        slot_wait_ms + times.prefill_ms(work.unread_tokens) <= admission::FREE_WAIT_MS
    };
    let free = candidates.iter().filter(is_free).count();
    free as f64 / candidates.len().max(1) as f64
}

fn times_of<'a>(
    endpoint: &Endpoint,
    basis: engine_times::Basis,
    inputs: &Inputs<'a>,
) -> engine_times::Estimate<'a> {
    let factor = inputs.work_durations.factor(endpoint, inputs.now_ms);
    engine_times::Estimate { model: inputs.prefill_model, basis, factor }
}

/// First and second choice by rendezvous hashing.
type Preferred = [Option<EndpointKey>; RENDEZVOUS_WEIGHTS.len()];

/// Returns where the last shared part belongs, if no candidate has it cached. The first part is
/// unsuitable as a hash key: a few first parts are common to hundreds of documents, which would all
/// go to the same few endpoints.
fn rendezvous(candidates: &[&Endpoint], prompt: &Prompt, inputs: &Inputs<'_>) -> Preferred {
    let is_new = |part: &&PromptPart| {
        !inputs.prefix_index.is_cached_at_any(candidates, part.id, inputs.now_ms)
    };
    let Some(part) = prompt.shared_parts().last().filter(is_new) else {
        return [None; RENDEZVOUS_WEIGHTS.len()];
    };
    let weight = |one: &Endpoint| xxh3::xxh3_64_with_seed(one.id.as_bytes(), part.id);
    let mut best: [Option<(u64, EndpointKey)>; RENDEZVOUS_WEIGHTS.len()] = Default::default();
    for one in candidates {
        let mut next = Some((weight(one), one.key));
        for current in &mut best {
            if next > *current {
                std::mem::swap(current, &mut next);
            }
        }
    }
    best.map(|one| one.map(|(_, key)| key))
}

fn engine_choice<'a>(
    endpoint: &'a Endpoint,
    engine: &route::Engine,
    prompt: &Prompt,
    preferred: Preferred,
    basis: engine_times::Basis,
    inputs: &Inputs<'_>,
) -> Choice<'a> {
    let times = times_of(endpoint, basis, inputs);
    let work = inputs.load_table.work_at(endpoint.key, inputs.now_ms);
    let has_tokens = inputs.prefix_index.cached_tokens(endpoint.key, &prompt.parts, inputs.now_ms);
    let unread_tokens = prompt.tokens.saturating_sub(has_tokens);
    let shared_tokens: u32 = prompt.shared_parts().iter().map(|part| part.tokens).sum();
    let missing_tokens = shared_tokens.saturating_sub(has_tokens);
    let document_tokens =
        prompt.shared_parts().last().map_or(0, |part| part.tokens).min(missing_tokens);
    // The home of a document outlasts the phases of an engine, and all entries must agree on it.
    let document_ms = times.usual_prefill_ms(u64::from(document_tokens));
    let common_prefix_ms = times.usual_prefill_ms(u64::from(missing_tokens - document_tokens));
    let prefill_tokens = work.unread_tokens + u64::from(unread_tokens);
    let slot_wait_ms = times.slot_wait_ms(occupied_slots(endpoint, work, inputs), engine.slots);
    let first_ms = times.first_event_ms(prefill_tokens, work.requests, slot_wait_ms);
    let timeout_risk_ms = (first_ms - inputs.max_wait_ms * TIMEOUT_SHARE).max(0.0);
    let late_ms = (first_ms - inputs.latency_target_ms * LATE_SHARE).max(0.0);
    // At the usual duration: fast engines would be filled until they are as late as idle slow ones. Lateness counts by the
    // present one.
    let mut cost_ms = first_ms / times.factor
        + late_ms * LATE_WEIGHT
        + timeout_risk_ms * TIMEOUT_WEIGHT
        + document_ms * DOCUMENT_WEIGHT
        + common_prefix_ms * COMMON_PREFIX_WEIGHT
        + fixed_cost_ms(endpoint, inputs);
    if inputs.gap_limit_ms > 0 {
        let late_share =
            inputs.event_gaps.late_share(endpoint.key, inputs.gap_limit_ms, inputs.now_ms);
        cost_ms += late_share * LATE_EVENT_MS;
    }
    let gaps = inputs.gap_forecast.map(|forecast| {
        let new = gap_forecast::NewStream {
            unread_tokens: u64::from(unread_tokens),
            gap_limit_ms: inputs.gap_limit_ms,
            output_tokens: prompt.max_output_tokens,
        };
        let arrivals = inputs.load_table.arrivals();
        let speed = gap_forecast::Speed {
            present: times.factor,
            phases: inputs.work_durations.phases(endpoint, inputs.now_ms),
        };
        forecast.candidate(endpoint.key, &work, &new, &speed, arrivals, inputs.now_ms)
    });
    cost_ms += gaps.map_or(0.0, |gaps| gaps.cost_ms);
    if let Some(rank) = preferred.iter().position(|one| *one == Some(endpoint.key)) {
        cost_ms -= document_ms * RENDEZVOUS_WEIGHTS[rank];
    }
    Choice { unread_tokens, gaps, ..Choice::new(endpoint, cost_ms, work, first_ms, inputs) }
}

/// Returns the shortest response time that is known of a candidate, at the usual duration of work.
fn fastest_response_ms(candidates: &[&Endpoint], inputs: &Inputs<'_>) -> f64 {
    let known = candidates.iter();
    let known = known.filter_map(|one| inputs.health.response_ms(one.key, inputs.now_ms));
    known.min_by(f64::total_cmp).unwrap_or(PLAIN_RESPONSE_MS)
}

/// An endpoint whose response time is not known is taken to be as fast as the fastest, so that it is tried.
/// Response times are known at the usual duration, and one that has reported its duration has that.
fn plain_choice<'a>(endpoint: &'a Endpoint, fastest_ms: f64, inputs: &Inputs<'_>) -> Choice<'a> {
    let work = inputs.load_table.work_at(endpoint.key, inputs.now_ms);
    let usual_ms = inputs.health.response_ms(endpoint.key, inputs.now_ms).unwrap_or(fastest_ms);
    let duration_factor = inputs.work_durations.factor(endpoint, inputs.now_ms);
    let response_ms = usual_ms * duration_factor;
    let rounds = f64::from(work.requests) / f64::from(endpoint.slots.max(1));
    let first_ms = response_ms * (1.0 + rounds);
    let cost_ms = first_ms.max(silent_ms(endpoint, inputs)) + fixed_cost_ms(endpoint, inputs);
    Choice::new(endpoint, cost_ms, work, first_ms, inputs)
}

/// Returns the time for which a request has been unanswered at an endpoint that sends nothing: a response there takes at
/// least as long.
fn silent_ms(endpoint: &Endpoint, inputs: &Inputs<'_>) -> f64 {
    inputs.health.silent_ms(endpoint.key, inputs.now_ms) as f64
}

/// Returns the part of the cost that does not depend on the load.
fn fixed_cost_ms(endpoint: &Endpoint, inputs: &Inputs<'_>) -> f64 {
    let zone_ms = if endpoint.zone == inputs.zone { 0.0 } else { CROSS_ZONE_MS };
    zone_ms + inputs.health.failed_share(endpoint.key, inputs.now_ms) * FAILURE_MS
}
