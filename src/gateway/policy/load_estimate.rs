//! Estimate of the load at each candidate now, and the choice under its uncertainty.
//!
//! Load pattern: 2 to 340 entries choose at the same moment, with load tables that are up to 500 ms
//! old. If each chose the endpoint that looked best, all would send to the same one, and endpoints
//! would be overloaded in turn while others idle.
//!
//! Requests that were in progress some time ago have partly ended, and others have arrived. Both are
//! estimated from the mean duration of a request (Little's law). The arrivals expected within the
//! age of the estimate determine by how much the cost of a candidate may exceed the lowest one
//! (interpretation of load by its age, Dahlin 2000).

use rand::Rng;

use crate::gateway::directory::{Endpoint, EndpointKey};
use crate::gateway::policy::{load, work_duration};

/// Shortest age of an estimate: requests that were sent a moment ago are in no table yet.
const MIN_AGE_MS: f64 = 10.0;
/// Shortest mean duration of a request that is assumed.
const MIN_DURATION_MS: f64 = 5.0;
/// Lowest variance of an observation, relative to that of an infinitely old one.
const MIN_VARIANCE: f64 = 1e-3;

/// Mean durations that determine how quickly an observation loses its value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Durations {
    /// From the arrival of a request at an endpoint of usual speed to its end.
    pub request_ms: f64,
    /// The same to its first event.
    pub prefill_ms: f64,
}

/// Estimated load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    pub requests: f64,
    /// Prompt tokens not yet prefilled.
    pub unread_tokens: f64,
    /// Part of `requests` that others are assumed to have sent since the tables and the report.
    pub assumed_requests: f64,
    /// Age of the table or the report, whichever counts more.
    pub age_ms: u64,
    /// Duration factor of the endpoint.
    pub factor: f64,
}

/// Estimates of all candidates of one choice, in their order.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    by_candidate: Vec<Estimate>,
    /// Arrivals from others expected within the mean age of the estimates.
    pub expected_arrivals: f64,
    /// Requests per slot of the busiest endpoint, divided by the mean.
    pub imbalance: f64,
}

/// What is known of the other entries' work at an endpoint.
struct Others {
    requests: f64,
    unread_tokens: f64,
    /// Requests according to the endpoint's own report, and its age.
    report: Option<(f64, f64)>,
}

impl Estimates {
    /// Estimates the load of the candidates.
    #[must_use]
    pub fn new(
        candidates: &[&Endpoint],
        load_table: &load::LoadTable,
        work_durations: &work_duration::WorkDurations,
        durations: Durations,
        now_ms: u64,
    ) -> Self {
        let table_age_ms = load_table.others_age_ms(now_ms);
        let others: Vec<Others> =
            candidates.iter().map(|one| Others::of(one.key, load_table, now_ms)).collect();
        let factors: Vec<f64> =
            candidates.iter().map(|one| work_durations.factor(one, now_ms)).collect();
        let capacities: Vec<f64> =
            candidates.iter().zip(&factors).map(|(one, factor)| slots(one) / factor).collect();
        let capacity: f64 = capacities.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        // Without tables only the reports tell what the others have in progress.
        let requests: f64 = others.iter().map(Others::best_requests).sum();
        let unread_tokens: f64 = others.iter().map(|one| one.unread_tokens).sum();
        let mut age_sum_ms = 0.0;
        let mut estimates = Self::default();
        for (index, one) in candidates.iter().enumerate() {
            let own = load_table.own_at(one.key);
            let share = capacities[index] / capacity;
            let known = &others[index];
            let duration_ms = (durations.request_ms * factors[index]).max(MIN_DURATION_MS);
            let (present, weight, age_ms) =
                known.requests_now(table_age_ms, duration_ms, requests * share);
            let prefill_ms = (durations.prefill_ms * factors[index]).max(MIN_DURATION_MS);
            let unread_weight = (-table_age_ms.unwrap_or(0.0) / prefill_ms).exp();
            let estimate = Estimate {
                requests: f64::from(own.requests) + present,
                unread_tokens: own.unread_tokens as f64
                    + known.unread_tokens * unread_weight
                    + unread_tokens * share * (1.0 - unread_weight),
                assumed_requests: requests * share * (1.0 - weight),
                age_ms: age_ms as u64,
                factor: factors[index],
            };
            age_sum_ms += age_ms.max(MIN_AGE_MS) * share;
            estimates.by_candidate.push(estimate);
        }
        let mean_factor = slots_of(candidates) / capacity;
        let request_ms = (durations.request_ms * mean_factor).max(MIN_DURATION_MS);
        estimates.expected_arrivals = requests * age_sum_ms / request_ms;
        estimates.imbalance = estimates.imbalance(candidates);
        estimates
    }

    /// Returns the estimate of the candidate at this position.
    #[must_use]
    pub fn at(&self, index: usize) -> Estimate {
        self.by_candidate[index]
    }

    fn imbalance(&self, candidates: &[&Endpoint]) -> f64 {
        let fills = || {
            let pairs = self.by_candidate.iter().zip(candidates);
            pairs.map(|(estimate, one)| estimate.requests / slots(one))
        };
        let mean = fills().sum::<f64>() / candidates.len().max(1) as f64;
        if mean > 0.0 { fills().fold(0.0, f64::max) / mean } else { 1.0 }
    }
}

impl Others {
    fn of(endpoint: EndpointKey, load_table: &load::LoadTable, now_ms: u64) -> Self {
        let work = load_table.others_at(endpoint, now_ms);
        let report = load_table.report_at(endpoint, now_ms);
        Self {
            requests: f64::from(work.requests),
            unread_tokens: work.unread_tokens as f64,
            report: report.map(|(requests, age_ms)| (f64::from(requests), age_ms as f64)),
        }
    }

    fn best_requests(&self) -> f64 {
        self.requests.max(self.report.map_or(0.0, |(requests, _)| requests))
    }

    /// Returns the requests of the others now, the weight of what was observed in them, and the age
    /// of the observation that counts most. `mean` is the number to which an old observation tends.
    fn requests_now(
        &self,
        table_age_ms: Option<f64>,
        duration_ms: f64,
        mean: f64,
    ) -> (f64, f64, f64) {
        let table = table_age_ms.map(|age_ms| (self.requests, age_ms));
        let (mut sum, mut weights, mut decay_sum) = (0.0, 0.0, 0.0);
        let mut newest_ms = f64::INFINITY;
        for (requests, age_ms) in table.into_iter().chain(self.report) {
            let decay = (-age_ms / duration_ms).exp();
            let weight = 1.0 / (1.0 - decay * decay).max(MIN_VARIANCE);
            sum += weight * (requests * decay + mean * (1.0 - decay));
            decay_sum += weight * decay;
            weights += weight;
            newest_ms = newest_ms.min(age_ms);
        }
        if weights > 0.0 {
            (sum / weights, decay_sum / weights, newest_ms)
        } else {
            // There are no others, or nothing is known of them.
            (0.0, 1.0, 0.0)
        }
    }
}

/// Cost of a candidate at its estimated load, and what one more request there adds to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    pub cost_ms: f64,
    pub slope_ms: f64,
}

/// Draws one of the candidates whose costs do not exceed the level to which the expected arrivals
/// and one more request raise the lowest costs. The weight is the number of requests that raise a
/// candidate to that level. Returns its position.
pub fn draw(costs: &[Cost], expected_arrivals: f64, random: &mut impl Rng) -> Option<usize> {
    let mut order: Vec<usize> = (0..costs.len()).collect();
    order.sort_by(|a, b| costs[*a].cost_ms.total_cmp(&costs[*b].cost_ms));
    let arrivals = expected_arrivals.max(0.0) + 1.0;
    let (mut per_ms, mut at_zero, mut level_ms) = (0.0, 0.0, f64::INFINITY);
    for &index in &order {
        let Cost { cost_ms, slope_ms } = costs[index];
        if level_ms <= cost_ms {
            break;
        }
        let rate = 1.0 / slope_ms.max(f64::MIN_POSITIVE);
        per_ms += rate;
        at_zero += cost_ms * rate;
        level_ms = (arrivals + at_zero) / per_ms;
    }
    let weight = |index: &usize| {
        let Cost { cost_ms, slope_ms } = costs[*index];
        (level_ms - cost_ms).max(0.0) / slope_ms.max(f64::MIN_POSITIVE)
    };
    let mut left = random.random::<f64>() * order.iter().map(weight).sum::<f64>();
    for index in &order {
        left -= weight(index);
        if left < 0.0 {
            return Some(*index);
        }
    }
    order.first().copied()
}

fn slots(endpoint: &Endpoint) -> f64 {
    f64::from(endpoint.slots.max(1))
}

fn slots_of(candidates: &[&Endpoint]) -> f64 {
    candidates.iter().map(|one| slots(one)).sum()
}
