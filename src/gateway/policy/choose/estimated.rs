//! Selection by the estimated load, see [`load_estimate`].
//!
//! Calls to plain services are drawn. Engines are chosen by cost, where cached parts and gaps weigh
//! more than an even load, so their estimate only serves the metrics.

use rand::Rng;

use super::{
    Balance, Choice, Inputs, RunnerUp, estimates_load, fastest_response_ms, fixed_cost_ms,
    silent_ms,
};
use crate::gateway::directory::Endpoint;
use crate::gateway::policy::load_estimate;
use crate::gateway::request::Prompt;

/// Chooses an endpoint of a plain service, at random among those that the estimate cannot tell apart.
pub(super) fn choose_plain<'a>(
    candidates: &[&'a Endpoint],
    inputs: &Inputs<'_>,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let usual_ms = fastest_response_ms(candidates, inputs);
    let durations = load_estimate::Durations { request_ms: usual_ms, prefill_ms: usual_ms };
    let estimates = estimate(candidates, durations, inputs);
    let costs: Vec<load_estimate::Cost> = candidates
        .iter()
        .enumerate()
        .map(|(index, one)| {
            let load_estimate::Estimate { requests, factor, .. } = estimates.at(index);
            let slots = f64::from(one.slots.max(1));
            let response_ms = usual_ms * factor * (1.0 + requests / slots);
            let cost_ms = response_ms.max(silent_ms(one, inputs)) + fixed_cost_ms(one, inputs);
            load_estimate::Cost { cost_ms, slope_ms: usual_ms * factor / slots }
        })
        .collect();
    let index = load_estimate::draw(&costs, estimates.expected_arrivals, random)?;
    let (endpoint, estimate) = (candidates[index], estimates.at(index));
    let rounds = estimate.requests / f64::from(endpoint.slots.max(1));
    let first_ms = usual_ms * estimate.factor * (1.0 + rounds);
    let work = inputs.load_table.work_at(endpoint.key, inputs.now_ms);
    let others = candidates.iter().zip(&costs).enumerate().filter(|(other, _)| *other != index);
    let runner_up = others
        .map(|(_, (other, cost))| RunnerUp { endpoint: other, cost_ms: cost.cost_ms })
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    let balance = Some(Balance { estimate, imbalance: estimates.imbalance });
    let choice = Choice::new(endpoint, costs[index].cost_ms, work, first_ms, inputs);
    Some(Choice { runner_up, balance, ..choice })
}

/// Returns the estimated loads behind the choice of an engine; `None` where loads are not estimated.
pub(super) fn engine_balance(
    candidates: &[&Endpoint],
    choice: &Choice<'_>,
    prompt: &Prompt,
    inputs: &Inputs<'_>,
) -> Option<Balance> {
    if !estimates_load(inputs) {
        return None;
    }
    let prefill_ms = inputs.prefill_model.first_event_ms(u64::from(prompt.tokens));
    let request_ms = prefill_ms + inputs.prefill_model.mean_run_ms();
    let durations = load_estimate::Durations { request_ms, prefill_ms };
    let index = candidates.iter().position(|one| one.key == choice.endpoint.key)?;
    let estimates = estimate(candidates, durations, inputs);
    Some(Balance { estimate: estimates.at(index), imbalance: estimates.imbalance })
}

fn estimate(
    candidates: &[&Endpoint],
    durations: load_estimate::Durations,
    inputs: &Inputs<'_>,
) -> load_estimate::Estimates {
    load_estimate::Estimates::new(
        candidates,
        inputs.load_table,
        inputs.work_durations,
        durations,
        inputs.now_ms,
    )
}
