//! Properties of the pure parts, over cases drawn from a fixed seed.

mod answers;
mod bytes;
mod claims;
mod clock;
mod fake_store;
mod lease;
mod queue;
mod spread;
mod usage;

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
