//! Tests the guarantees of the system under mixed faults: processes are killed, suspended and restarted, and
//! the store fails, while requests and payments continue.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::caller;
use crate::fleet::{Daemon, Fleet, FleetOptions};

const SEED: u64 = 20_261_203;
const ROUNDS: u32 = 12;

/// The outcomes that callers have received.
#[derive(Default)]
struct Outcomes {
    /// Requests that were reported as not run.
    not_run: Mutex<Vec<String>>,
    complete: Mutex<u32>,
    paid: Mutex<HashSet<String>>,
}

fn send_chat(entry: &Daemon, key: &str, outcomes: &Outcomes, random: &mut StdRng) {
    let prompt = format!("faults {:x}", random.random::<u64>());
    let count = random.random_range(1..30);
    let request = caller::chat(entry, key);
    let Some(answer) = caller::try_send(request, &caller::chat_body(&prompt, count, true)) else {
        return;
    };
    if answer.status == 200 {
        let (tokens, complete) = caller::stream_tokens(&answer.text);
        let expected: Vec<String> =
            (0..count).map(|position| caller::token(&prompt, position)).collect();
        assert_eq!(tokens[..], expected[..tokens.len()], "tokens differ from the expected answer");
        let has_error = answer.text.contains("event: error");
        assert!(
            complete && tokens.len() == expected.len() || has_error,
            "answer is incomplete and has no error event"
        );
        *outcomes.complete.lock().expect("no panic") += u32::from(complete);
    }
    record_refusal(&answer, outcomes);
}

fn record_refusal(answer: &caller::Answer, outcomes: &Outcomes) {
    if answer.ran.as_deref() == Some("no") {
        let request = answer.request.clone().expect("a request id");
        outcomes.not_run.lock().expect("no panic").push(request);
    }
}

fn send_payment(entries: &[Daemon], key: &str, outcomes: &Outcomes, random: &mut StdRng) {
    let name = format!("payment-{:x}", random.random::<u64>());
    for _ in 0..3 {
        let entry = &entries[random.random_range(0..entries.len())];
        let Some(answer) = caller::try_send(caller::payment(entry, key, &name), "{}") else {
            continue;
        };
        record_refusal(&answer, outcomes);
        if answer.status == 200 {
            outcomes.paid.lock().expect("no panic").insert(name.clone());
        }
    }
}

/// Injects one fault after another. At the end all processes run again.
fn inject_faults(
    sides: &mut [Daemon],
    spawn: impl Fn(usize) -> Daemon,
    platform: impl Fn(serde_json::Value),
) {
    let mut random = StdRng::seed_from_u64(SEED);
    for _ in 0..ROUNDS {
        let victim = random.random_range(0..sides.len());
        match random.random_range(0..5) {
            0 => {
                sides[victim].process.kill();
                sides[victim] = spawn(victim);
            }
            1 => {
                sides[victim].process.signal(Signal::SIGSTOP);
                thread::sleep(Duration::from_millis(random.random_range(50..900)));
                sides[victim].process.signal(Signal::SIGCONT);
            }
            2 => {
                sides[victim].process.signal(Signal::SIGTERM);
                sides[victim].process.wait();
                sides[victim] = spawn(victim);
            }
            3 => {
                platform(json!({"down": true}));
                thread::sleep(Duration::from_millis(random.random_range(50..600)));
                platform(json!({}));
            }
            _ => platform(json!({"lose_answers": random.random_range(1..6)})),
        }
        thread::sleep(Duration::from_millis(random.random_range(50..400)));
    }
}

/// Guards against violated guarantees under faults: an answer is complete or ends with an error, a request
/// reported as not run has not run, no payment runs twice, and no key reaches an endpoint.
#[test]
fn guarantees_hold_under_mixed_faults() {
    println!("seed {SEED}, {ROUNDS} faults");
    let mut fleet = Fleet::start(FleetOptions {
        engines: 3,
        drain_ms: 3000,
        call_ms: 20,
        ..FleetOptions::default()
    });
    let url = fleet.service.url.clone();
    let second = fleet.spawn_side("side-loket-2", "loket", &url);
    fleet.sides.push(second);
    fleet.wait_until_connected();
    let key = fleet.grant("court");
    let mut sides = std::mem::take(&mut fleet.sides);
    let (outcomes, done) = (Outcomes::default(), AtomicBool::new(false));
    thread::scope(|scope| {
        let (fleet, outcomes, done, key) = (&fleet, &outcomes, &done, &key);
        for caller in 0..6_u64 {
            scope.spawn(move || {
                let mut random = StdRng::seed_from_u64(SEED + caller);
                while !done.load(Ordering::Relaxed) {
                    send_chat(&fleet.entries[caller as usize % 2], key, outcomes, &mut random);
                    send_payment(&fleet.entries, key, outcomes, &mut random);
                }
            });
        }
        let spawn = |number: usize| match number {
            0..=2 => fleet.spawn_side(
                &format!("side-{number}"),
                "juru-tulis",
                &fleet.engines[number].url,
            ),
            3 => fleet.spawn_side("side-loket", "loket", &fleet.service.url),
            _ => fleet.spawn_side("side-loket-2", "loket", &fleet.service.url),
        };
        inject_faults(&mut sides, spawn, |faults| fleet.fail_platform(&faults));
        done.store(true, Ordering::Relaxed);
    });
    fleet.sides = sides;
    let not_run = outcomes.not_run.into_inner().expect("no panic");
    let paid = outcomes.paid.into_inner().expect("no panic");
    let complete = outcomes.complete.into_inner().expect("no panic");
    println!(
        "{complete} complete answers, {} payments, {} refusals not run",
        paid.len(),
        not_run.len()
    );
    assert!(complete > 0 && !paid.is_empty());
    for request in &not_run {
        assert!(!fleet.has_run(request), "{request} was reported as not run");
    }
    let record = fleet.service.record();
    let keys = record["keys"].as_object().expect("a map");
    for (name, runs) in keys {
        assert_eq!(runs, &json!(1), "{name}");
    }
    for name in paid {
        assert!(keys.contains_key(&name), "{name} was answered but never ran");
    }
    for standin in fleet.engines.iter().chain([&fleet.service, &fleet.platform]) {
        assert_eq!(standin.record()["key_seen"], json!(false));
    }
}
