//! Simulates the router's policies under load: the router's own queue, placement, admission and scaling code
//! in front of small simulated engines, on a virtual clock, compared with baselines on the same arrivals.
//!
//! `cargo bench --bench policy` prints one JSON line per scenario, policy and class, then a table.
//! `cargo bench --bench policy -- SCENARIO` runs one scenario.

mod arrivals;
mod engine;
mod report;
mod scenario;
mod simulation;

use scenario::{Policy, Scenario};

const SEED: u64 = 20_261_203;

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    println!("seed {SEED}");
    let mut rows = Vec::new();
    for scenario in scenario::all() {
        if !selected.is_empty() && !selected.contains(&scenario.name) {
            continue;
        }
        for policy in policies(&scenario).iter().copied() {
            let outcome = simulation::run(&scenario, policy, SEED);
            rows.extend(report::rows(&scenario, policy, &outcome));
        }
    }
    for row in &rows {
        println!("{}", serde_json::to_string(row).expect("row serializes to JSON"));
    }
    report::print_table(&rows);
}

fn policies(scenario: &Scenario) -> &'static [Policy] {
    if scenario.scales { &Policy::SCALING } else { &Policy::ROUTING }
}
