//! Tests of forwarding entries without a platform: policies, state exchange, duties and connections.

mod admission;
mod backoff;
mod billing;
mod buffers;
mod call_queue;
mod choice;
mod connections;
mod departures;
mod directory;
mod drain;
mod engine_choice_off;
mod engine_memory;
mod evacuations;
mod even_load;
mod fingerprints;
mod fleet;
mod gap_forecast;
mod limits;
mod load_details;
mod outage;
mod platform_lists;
mod pulls;
mod quarantine;
mod retries;
mod routes;
mod seals;
mod settings;
mod slow_readers;
mod streams;
mod succession;
mod versions;
mod virtual_fleet;
mod warmup;
mod work_duration;

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests. Each test prints it, so that a failure can be reproduced.
const SEED: u64 = 20_261_203;

/// Configuration of a property test with this number of cases.
fn cases(count: u32) -> Config {
    println!("seed {SEED}, {count} cases");
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
