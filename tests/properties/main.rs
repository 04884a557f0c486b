//! Property tests of the modules without I/O, with cases generated from a fixed seed.

mod answers;
mod bytes;
mod claims;
mod clock;
mod fake_store;
mod gossip;
mod lease;
mod queue;
mod raw_json;
mod usage;

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests; each test prints it so that a failure can be reproduced.
const SEED: u64 = 20_261_203;

/// Returns the configuration of a property test with `count` cases.
fn cases(count: u32) -> Config {
    println!("seed {SEED}, {count} cases");
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
