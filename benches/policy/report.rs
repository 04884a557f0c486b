//! Computes and prints the results of a run, by class.

use serde::Serialize;

use crate::arrivals::Request;
use crate::scenario::{Policy, Scenario};
use crate::simulation::Outcome;

/// Results of one class in one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub scenario: String,
    pub policy: &'static str,
    pub class: &'static str,
    pub sent: usize,
    /// Fraction of requests whose first token met the target and whose answer was complete.
    pub attainment: f64,
    /// Output tokens of these requests.
    pub goodput_tokens: u64,
    pub wasted_tokens: u64,
    /// Output tokens of complete answers of the worst-served account, divided by its max-min fair share of
    /// all such tokens.
    pub worst_account_ratio: f64,
    pub endpoint_s: u64,
    /// Endpoint time that the demand, known in advance, would have needed.
    pub least_endpoint_s: u64,
    pub first_token_p95_ms: u64,
    pub refused: usize,
}

/// Computes the results of a run, one row per class.
pub fn rows(scenario: &Scenario, policy: Policy, outcome: &Outcome) -> Vec<Row> {
    scenario
        .classes
        .iter()
        .enumerate()
        .map(|(number, class)| {
            let requests: Vec<&Request> =
                outcome.requests.iter().filter(|request| request.class == number).collect();
            let target_ms = u64::from(class.text.latency_target_ms);
            let met = |request: &&&Request| {
                request.completed
                    && request.first_token_ms.is_some_and(|at| at <= request.arrived_ms + target_ms)
            };
            let attained: Vec<&&Request> = requests.iter().filter(met).collect();
            Row {
                scenario: scenario.name.clone(),
                policy: policy.name(),
                class: class.name,
                sent: requests.len(),
                attainment: attained.len() as f64 / requests.len().max(1) as f64,
                goodput_tokens: attained.iter().map(|request| request.output_tokens).sum(),
                wasted_tokens: requests.iter().map(|request| request.wasted_tokens).sum(),
                worst_account_ratio: worst_account_ratio(scenario.accounts, &requests),
                endpoint_s: outcome.endpoint_ms / 1000,
                least_endpoint_s: outcome.least_endpoint_ms / 1000,
                first_token_p95_ms: first_token_p95_ms(&requests),
                refused: requests.iter().filter(|request| request.refused).count(),
            }
        })
        .collect()
}

fn first_token_p95_ms(requests: &[&Request]) -> u64 {
    let mut waits: Vec<u64> = requests
        .iter()
        .filter_map(|request| Some(request.first_token_ms? - request.arrived_ms))
        .collect();
    waits.sort_unstable();
    waits.get(waits.len() * 95 / 100).copied().unwrap_or(0)
}

/// Computes max-min fair shares by progressive filling, from the smallest demand up: each account gets its
/// demand or an equal part of the remaining tokens, whichever is less.
fn worst_account_ratio(accounts: usize, requests: &[&Request]) -> f64 {
    let sum = |keep: &dyn Fn(&Request) -> bool| {
        let mut tokens = vec![0.0; accounts];
        for request in requests.iter().filter(|request| keep(request)) {
            tokens[request.account] += request.output_tokens as f64;
        }
        tokens
    };
    let demanded = sum(&|_| true);
    let served = sum(&|request| request.completed);
    let mut order: Vec<usize> = (0..accounts).filter(|account| demanded[*account] > 0.0).collect();
    order.sort_by(|a, b| demanded[*a].total_cmp(&demanded[*b]));
    let mut remaining: f64 = served.iter().sum();
    let mut worst = 1.0_f64;
    for (position, account) in order.iter().enumerate() {
        let fair = demanded[*account].min(remaining / (order.len() - position) as f64);
        remaining -= fair;
        worst = worst.min(served[*account] / fair.max(1.0));
    }
    worst
}

/// Prints the rows as a table.
pub fn print_table(rows: &[Row]) {
    println!();
    println!(
        "{:<24} {:<18} {:<16} {:>6} {:>10} {:>9} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8}",
        "scenario",
        "policy",
        "class",
        "sent",
        "attainment",
        "goodput",
        "wasted",
        "worst",
        "first p95",
        "refused",
        "endp. s",
        "least s"
    );
    for row in rows {
        println!(
            "{:<24} {:<18} {:<16} {:>6} {:>10.4} {:>9} {:>8} {:>7.3} {:>6} ms {:>8} {:>8} {:>8}",
            row.scenario,
            row.policy,
            row.class,
            row.sent,
            row.attainment,
            row.goodput_tokens,
            row.wasted_tokens,
            row.worst_account_ratio,
            row.first_token_p95_ms,
            row.refused,
            row.endpoint_s,
            row.least_endpoint_s
        );
    }
}
