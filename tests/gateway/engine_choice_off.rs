//! With the switches of the gap forecast and of engine memory off, the choice of an engine is the same as before
//! they existed.

use briarwinch::gateway::policy::choose;
use briarwinch::gateway::policy::load::Work;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3;

use super::choice::{ENGINE, Entry, NOW_MS, draft, endpoints, question, summary};

/// Digest of the choices below, made with the code before the gap forecast and engine memory (commit c0bc917).
const EARLIER_DIGEST: u64 = 4_695_914_272_586_694_663;

/// Guards against a change of choices where no endpoint reports a duration and `overload_control` is false.
#[test]
fn choices_are_those_of_the_earlier_code_while_the_switches_are_off() {
    const SEED: u64 = 41;
    println!("seed {SEED}");
    let endpoints = endpoints(40);
    let mut random = StdRng::seed_from_u64(SEED);
    let mut text = String::new();
    for round in 0..400 {
        let mut entry = Entry::default();
        for (endpoint, streams) in endpoints.iter().zip(1..) {
            let work = Work {
                requests: random.random_range(0..80),
                unread_tokens: random.random_range(0..40_000),
                streams: [streams, 9, 9, 9],
                memory_tokens: 2_000_000,
            };
            entry.load_table.add(endpoint.key, work, NOW_MS - 500);
        }
        let prompts = [summary(round, 1), draft(round), question(round)];
        let prompt = &prompts[random.random_range(0..3)];
        let target = &endpoints[random.random_range(0..40)];
        entry.prefix_index.record_sent(target.key, &prompt.parts[..1], NOW_MS - 900);
        let choice = choose::choose(
            endpoints.iter(),
            Some(&ENGINE),
            Some(prompt),
            &entry.inputs(),
            &mut random,
        );
        let choice = choice.expect("an endpoint");
        text.push_str(&format!(
            "{} {:.6} {};",
            choice.endpoint.id, choice.cost_ms, choice.free_share
        ));
    }
    assert_eq!(xxh3::xxh3_64(text.as_bytes()), EARLIER_DIGEST);
}
