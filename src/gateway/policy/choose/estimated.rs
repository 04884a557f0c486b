//! Selection by the estimated load, see [`load_estimate`].

use rand::Rng;

use super::{
    Balance, Choice, DOCUMENT_WEIGHT, Inputs, PLAIN_RESPONSE_MS, Preferred, RunnerUp, Seen,
    engine_choice, has_document, plain_choice, rendezvous, share_of_free,
};
use crate::gateway::directory::Endpoint;
use crate::gateway::policy::load_estimate;
use crate::gateway::request::Prompt;
use crate::gateway::route;

/// Weight of the time to prefill a document again, on top of the wait of the request itself, while all
/// engines that have it cached have more than an even share of the requests. With
/// [`DOCUMENT_WEIGHT`] a popular document overloads its engine while others idle.
const CROWDED_DOCUMENT_WEIGHT: f64 = 0.0;

impl Seen {
    fn estimated(
        endpoint: &Endpoint,
        estimate: &load_estimate::Estimate,
        inputs: &Inputs<'_>,
    ) -> Self {
        Self {
            work: inputs.load_table.work_at(endpoint.key, inputs.now_ms),
            requests: estimate.requests,
            unread_tokens: estimate.unread_tokens.round() as u64,
            occupied: estimate.requests.round() as u32,
            factor: estimate.factor,
            excess: estimate.excess,
            document_weight: DOCUMENT_WEIGHT,
        }
    }
}

/// Chooses by the estimated load, at random among the candidates that it cannot tell apart.
pub(super) fn choose<'a>(
    candidates: &[&'a Endpoint],
    prompt: Option<(&route::Engine, &Prompt)>,
    inputs: &Inputs<'_>,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let usual_ms = usual_response_ms(candidates, inputs);
    let durations = match prompt {
        Some((_, prompt)) => {
            let prefill_ms = inputs.prefill_model.first_event_ms(u64::from(prompt.tokens));
            let request_ms = prefill_ms + inputs.prefill_model.mean_run_ms();
            load_estimate::Durations { request_ms, prefill_ms }
        }
        None => load_estimate::Durations { request_ms: usual_ms, prefill_ms: usual_ms },
    };
    let estimates = load_estimate::Estimates::new(
        candidates,
        inputs.load_table,
        inputs.work_durations,
        durations,
        inputs.now_ms,
    );
    let mut seen: Vec<Seen> = candidates
        .iter()
        .enumerate()
        .map(|(index, one)| Seen::estimated(one, &estimates.at(index), inputs))
        .collect();
    let mut free_share = 1.0;
    let mut preferred = Preferred::default();
    if let Some((engine, prompt)) = prompt {
        preferred = rendezvous(candidates, prompt, inputs);
        free_share = share_of_free(&seen, engine, inputs);
        let is_crowded = |index: usize| estimates.is_above_even(index);
        let holders = || {
            let all = candidates.iter().enumerate();
            all.filter(|(_, one)| has_document(one, prompt, inputs))
        };
        if holders().next().is_some() && holders().all(|(index, _)| is_crowded(index)) {
            seen.iter_mut().for_each(|one| one.document_weight = CROWDED_DOCUMENT_WEIGHT);
        }
    }
    let (choices, slopes): (Vec<Choice<'a>>, Vec<f64>) = candidates
        .iter()
        .zip(&seen)
        .map(|(one, seen)| match prompt {
            Some((engine, prompt)) => engine_choice(one, engine, prompt, preferred, seen, inputs),
            None => plain_choice(one, usual_ms, seen, inputs),
        })
        .unzip();
    let costs: Vec<load_estimate::Cost> = choices
        .iter()
        .zip(slopes)
        .map(|(choice, slope_ms)| load_estimate::Cost { cost_ms: choice.cost_ms, slope_ms })
        .collect();
    let index = load_estimate::draw(&costs, estimates.expected_arrivals, random)?;
    let others = choices.iter().enumerate().filter(|(other, _)| *other != index);
    let runner_up = others
        .map(|(_, other)| RunnerUp { endpoint: other.endpoint, cost_ms: other.cost_ms })
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    let balance = Balance { estimate: estimates.at(index), imbalance: estimates.imbalance };
    Some(Choice { free_share, runner_up, balance: Some(balance), ..choices[index] })
}

/// Returns the response time of a plain service at an endpoint of usual speed: the shortest one
/// known, since responses that waited for a slot took longer.
fn usual_response_ms(candidates: &[&Endpoint], inputs: &Inputs<'_>) -> f64 {
    let known = candidates.iter().filter_map(|one| {
        let response_ms = inputs.health.response_ms(one.key, inputs.now_ms)?;
        Some(response_ms / inputs.work_durations.factor(one.key, inputs.now_ms))
    });
    known.min_by(f64::total_cmp).unwrap_or(PLAIN_RESPONSE_MS)
}
