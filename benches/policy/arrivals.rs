//! Generates the requests of a scenario from a seed, so that all policies get the same requests.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::engine;
use crate::scenario::{Event, Scenario};

/// Mean output tokens per request.
fn mean_output_tokens(scenario: &Scenario) -> f64 {
    scenario.classes.iter().map(|class| class.share * class.output_tokens).sum()
}

pub const ENTRIES: usize = 3;

/// A request and its result.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub account: usize,
    pub arrived_ms: u64,
    /// Output tokens of the complete answer.
    pub output_tokens: u64,
    pub first_token_ms: Option<u64>,
    pub completed: bool,
    pub refused: bool,
    /// Tokens generated before the engine failed.
    pub wasted_tokens: u64,
    pub prompt_tokens: u32,
    /// Identifies the prompt prefix, for the prefix cache.
    pub prefix: u64,
    pub entry: usize,
    pub attempts: u32,
    /// Endpoints that the request was sent to.
    pub tried: Vec<usize>,
}

/// Requests per second that use the whole capacity.
fn capacity_per_s(scenario: &Scenario) -> f64 {
    scenario.endpoints as f64 * engine::capacity_tokens_per_s() / mean_output_tokens(scenario)
}

/// Demand at a time, relative to the normal demand.
fn demand(scenario: &Scenario, at_s: f64) -> f64 {
    match scenario.event {
        Event::Morning => {
            let rise = ((at_s - 600.0) / 600.0).clamp(0.0, 1.0);
            let fall = ((at_s - 2_400.0) / 300.0).clamp(0.0, 1.0);
            (0.15 + 1.1 * rise - 1.0 * fall).max(0.15)
        }
        _ => 1.0,
    }
}

/// Generates all requests of a scenario, sorted by arrival time.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let normal_per_s = capacity_per_s(scenario) * scenario.load;
    // Poisson arrivals by thinning: arrivals are drawn at 1.25 times the normal rate, which is the peak
    // demand, and kept with a probability in proportion to the demand.
    let mut stream =
        |class: Option<usize>, account: Option<usize>, per_s: f64, from_s: f64, to_s: f64| {
            let mut at_s = from_s;
            loop {
                at_s += -(1.0 - random.random::<f64>()).ln() / per_s;
                if at_s >= to_s {
                    return;
                }
                if random.random::<f64>() > demand(scenario, at_s) / 1.25 {
                    continue;
                }
                let class = class.unwrap_or_else(|| pick_class(scenario, &mut random));
                let account = account.unwrap_or_else(|| {
                    // Skews the load towards a few large accounts, as in the current deployments.
                    let point: f64 = random.random();
                    ((point * point) * scenario.accounts as f64) as usize
                });
                requests.push(request(scenario, class, account, at_s, &mut random));
            }
        };
    let end_s = scenario.seconds as f64;
    stream(None, None, normal_per_s * 1.25, 0.0, end_s);
    let class_index = |name: &str| scenario.classes.iter().position(|class| class.name == name);
    let class_rate_per_s = |class: Option<usize>, capacity: f64| {
        let output = class.map_or(1.0, |class| scenario.classes[class].output_tokens);
        scenario.endpoints as f64 * engine::capacity_tokens_per_s() / output * capacity * 1.25
    };
    match scenario.event {
        Event::Burst { class, capacity } => {
            let class = class_index(class);
            stream(class, None, class_rate_per_s(class, capacity), 100.0, 200.0);
        }
        Event::Flood { class, capacity } => {
            let class = class_index(class);
            stream(class, Some(0), class_rate_per_s(class, capacity), 50.0, end_s);
        }
        _ => {}
    }
    requests.sort_by_key(|request| request.arrived_ms);
    requests
}

fn pick_class(scenario: &Scenario, random: &mut StdRng) -> usize {
    let mut point: f64 = random.random();
    for (number, class) in scenario.classes.iter().enumerate() {
        point -= class.share;
        if point <= 0.0 {
            return number;
        }
    }
    scenario.classes.len() - 1
}

fn request(
    scenario: &Scenario,
    class: usize,
    account: usize,
    at_s: f64,
    random: &mut StdRng,
) -> Request {
    let of = &scenario.classes[class];
    let length_factor = match scenario.event {
        Event::LongOutputs { times } if at_s >= 100.0 => times,
        _ => 1.0,
    };
    let output = -(1.0 - random.random::<f64>()).ln() * of.output_tokens * length_factor;
    Request {
        class,
        account,
        arrived_ms: (at_s * 1000.0) as u64,
        output_tokens: (output as u64).clamp(1, 8_000),
        first_token_ms: None,
        completed: false,
        refused: false,
        wasted_tokens: 0,
        prompt_tokens: of.prompt_tokens,
        prefix: (account * 16 + class * 4) as u64 + random.random_range(0..4),
        entry: random.random_range(0..ENTRIES),
        attempts: 0,
        tried: Vec::new(),
    }
}

/// Returns the endpoint time that the offered work needs if the number of endpoints is set every 10 s and
/// 80 % of their capacity is used.
pub fn least_endpoint_ms(scenario: &Scenario, requests: &[Request]) -> u64 {
    const STEP_MS: u64 = 10_000;
    let mut work = vec![0.0; (scenario.seconds * 1000 / STEP_MS + 1) as usize];
    for request in requests {
        work[(request.arrived_ms / STEP_MS) as usize] += request.output_tokens as f64;
    }
    let usable_tokens = engine::capacity_tokens_per_s() * STEP_MS as f64 / 1000.0 * 0.8;
    work.iter().map(|tokens| (tokens / usable_tokens).ceil().max(1.0) as u64 * STEP_MS).sum()
}
