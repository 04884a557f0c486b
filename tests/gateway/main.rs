//! Entries that forward straight to endpoints: their decisions and connections, without a platform.

mod admission;
mod backoff;
mod billing;
mod choice;
mod connections;
mod departures;
mod directory;
mod drain;
mod evacuations;
mod fleet;
mod limits;
mod outage;
mod pulls;
mod retries;
mod routes;
mod streams;
mod succession;
mod virtual_fleet;
mod warmup;

use proptest::test_runner::{Config, RngSeed};

/// The seed of all properties; printed by each, so that a failure can be run again.
const SEED: u64 = 20_261_203;

/// Settings of a property.
fn cases(count: u32) -> Config {
    println!("seed {SEED}, {count} cases");
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
