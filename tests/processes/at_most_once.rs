//! Tests that a call that may not be repeated runs at most once, through retries, lost answers, crashes and
//! stalls.

use std::thread;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::caller;
use crate::fleet::{self, Fleet, FleetOptions};

fn runs(fleet: &Fleet, key: &str) -> u64 {
    fleet.service.record()["keys"][key].as_u64().unwrap_or(0)
}

/// Guards against a second run of a payment that a client sends many times concurrently, through both
/// entries and to two sides.
#[test]
fn one_payment_sent_many_times_runs_once() {
    let mut fleet =
        Fleet::start(FleetOptions { engines: 1, call_ms: 100, ..FleetOptions::default() });
    let url = fleet.service.url.clone();
    let second = fleet.spawn_side("side-loket-2", "loket", &url);
    fleet.sides.push(second);
    fleet.wait_until_connected();
    let key = fleet.grant("court");
    let answers: Vec<caller::Answer> = thread::scope(|scope| {
        let senders: Vec<_> = (0..24)
            .map(|number| {
                let entry = &fleet.entries[number % 2];
                let key = &key;
                scope.spawn(move || {
                    caller::send(caller::payment(entry, key, "rush-17"), "{\"sum\": 40}")
                })
            })
            .collect();
        senders.into_iter().map(|sender| sender.join().expect("no panic")).collect()
    });
    assert_eq!(runs(&fleet, "rush-17"), 1);
    let first = answers.iter().find(|answer| answer.status == 200).expect("one is answered");
    for answer in &answers {
        match answer.status {
            200 => assert_eq!(answer.text, first.text, "every caller gets the same answer"),
            409 => assert!(["claim_running", "superseded"].contains(&answer.code().as_str())),
            other => panic!("{other}: {}", answer.text),
        }
    }
    // Later the same answer is replayed, and another body with the same key is refused.
    let entry = &fleet.entries[1];
    let again = caller::send(caller::payment(entry, &key, "rush-17"), "{\"sum\": 40}");
    assert_eq!((again.status, again.text.as_str()), (200, first.text.as_str()));
    let other = caller::send(caller::payment(entry, &key, "rush-17"), "{\"sum\": 41}");
    assert_eq!((other.status, other.code().as_str()), (422, "idempotency_mismatch"));
    assert_eq!(runs(&fleet, "rush-17"), 1);
}

/// The store writes the claim but its answer is lost. Guards against treating this as a failure, so that
/// the payment never runs, and against writing the claim again without reading it, so that the payment runs
/// twice.
#[test]
fn lost_answers_of_the_store_neither_lose_nor_double_a_payment() {
    let fleet = Fleet::start(FleetOptions { entries: 1, engines: 1, ..FleetOptions::default() });
    let key = fleet.grant("court");
    for number in 0..6 {
        fleet.fail_platform(&json!({"lose_answers": number}));
        let name = format!("lost-{number}");
        let answer = caller::send(caller::payment(&fleet.entries[0], &key, &name), "{}");
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(runs(&fleet, &name), 1);
    }
}

/// While the store is down, a payment that cannot be claimed is refused at once and not run, and model
/// requests continue with the known configuration. When the store is back, the same payment runs.
#[test]
fn payment_without_the_store_is_refused_not_run() {
    let fleet = Fleet::start(FleetOptions { entries: 1, engines: 1, ..FleetOptions::default() });
    let key = fleet.grant("court");
    fleet.fail_platform(&json!({"down": true}));
    let pay = || caller::send(caller::payment(&fleet.entries[0], &key, "later"), "{}");
    let refused = pay();
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_unavailable"));
    assert_eq!(refused.ran.as_deref(), Some("no"));
    assert_eq!(runs(&fleet, "later"), 0);
    let request = caller::chat(&fleet.entries[0], &key);
    let answer = caller::send(request, &caller::chat_body("meanwhile", 3, true));
    caller::assert_complete(&answer.text, "meanwhile", 3);
    fleet.fail_platform(&json!({}));
    assert_eq!(pay().status, 200);
    assert_eq!(runs(&fleet, "later"), 1);
}

/// The side dies after it sent the payment and before it received the outcome. Guards against a second run
/// when the caller retries: the claim stays unresolved until an operator records what happened.
#[test]
fn payment_whose_side_died_waits_for_an_operator() {
    let mut fleet = Fleet::start(FleetOptions {
        entries: 1,
        engines: 1,
        call_ms: 1500,
        ..FleetOptions::default()
    });
    let key = fleet.grant("court");
    let request = caller::payment(&fleet.entries[0], &key, "broken");
    let sent = thread::spawn(move || caller::send(request, "{}"));
    fleet::wait_for("the service runs it", || (runs(&fleet, "broken") == 1).then_some(()));
    fleet.sides[1].process.kill();
    let answer = sent.join().expect("no panic");
    assert_eq!((answer.status, answer.ran.as_deref()), (502, Some("unknown")));
    // The side is restarted under the same identifier.
    let url = fleet.service.url.clone();
    fleet.sides[1] = fleet.spawn_side("side-loket", "loket", &url);
    fleet.wait_until_connected();
    let again = fleet::wait_for("the payment is answered", || {
        let again = caller::send(caller::payment(&fleet.entries[0], &key, "broken"), "{}");
        (again.code() != "no_endpoint").then_some(again)
    });
    assert_eq!((again.status, again.code().as_str()), (409, "claim_unresolved"), "{}", again.text);
    let (_, claims) = fleet.operate(&["claims", "list"]);
    let claim = claims.lines().nth(1).expect("the claim").split(' ').next().expect("its key");
    let (code, text) = fleet.operate(&["claims", "resolve", claim, "--outcome", "ran"]);
    assert_eq!(code, 0, "{text}");
    let resolved = caller::send(caller::payment(&fleet.entries[0], &key, "broken"), "{}");
    assert_eq!(resolved.status, 200);
    assert_eq!(runs(&fleet, "broken"), 1);
}

/// Guards against a second run of a payment whose side is suspended between claim and answer, while the
/// caller retries through the other side.
#[test]
fn payment_of_a_frozen_side_runs_once() {
    let mut fleet = Fleet::start(FleetOptions {
        entries: 1,
        engines: 1,
        call_ms: 300,
        ..FleetOptions::default()
    });
    let url = fleet.service.url.clone();
    let second = fleet.spawn_side("side-loket-2", "loket", &url);
    fleet.sides.push(second);
    fleet.wait_until_connected();
    let key = fleet.grant("court");
    let request = caller::payment(&fleet.entries[0], &key, "frozen");
    let sent = thread::spawn(move || caller::try_send(request, "{}"));
    fleet::wait_for("the service runs it", || (runs(&fleet, "frozen") == 1).then_some(()));
    let sides = &fleet.sides[1..];
    sides.iter().for_each(|side| side.process.signal(Signal::SIGSTOP));
    sides[0].process.signal(Signal::SIGCONT);
    for _ in 0..3 {
        let again = caller::send(caller::payment(&fleet.entries[0], &key, "frozen"), "{}");
        assert!([200, 409, 502, 503].contains(&again.status), "{}", again.text);
        assert_eq!(runs(&fleet, "frozen"), 1);
    }
    sides[1].process.signal(Signal::SIGCONT);
    let _ = sent.join().expect("no panic");
    let last = fleet::wait_for("the answer is replayed", || {
        let again = caller::send(caller::payment(&fleet.entries[0], &key, "frozen"), "{}");
        (again.status == 200).then_some(again)
    });
    assert!(last.text.contains("\"number\""), "{}", last.text);
    assert_eq!(runs(&fleet, "frozen"), 1);
}
