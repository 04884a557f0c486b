//! A call that may not be repeated runs at most once.

use std::thread;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::caller;
use crate::fleet::{self, Fleet, Shape};

fn runs(fleet: &Fleet, key: &str) -> u64 {
    fleet.service.record()["keys"][key].as_u64().unwrap_or(0)
}

/// A clerk's browser sends one payment many times over, through both entries and to two sides at
/// once. Each one that slipped through would be a second payment.
#[test]
fn one_payment_sent_many_times_runs_once() {
    let mut fleet = Fleet::start(Shape { engines: 1, call_ms: 100, ..Shape::default() });
    let url = fleet.service.url.clone();
    let second = fleet.spawn_side("side-loket-2", "loket", &url);
    fleet.sides.push(second);
    fleet.wait_until_whole();
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
            200 => assert_eq!(answer.text, first.text, "the same answer to all"),
            409 => assert!(["claim_running", "superseded"].contains(&answer.code().as_str())),
            other => panic!("{other}: {}", answer.text),
        }
    }
    // Later, too, the same answer is given again, and another body under the same key refused.
    let entry = &fleet.entries[1];
    let again = caller::send(caller::payment(entry, &key, "rush-17"), "{\"sum\": 40}");
    assert_eq!((again.status, again.text.as_str()), (200, first.text.as_str()));
    let other = caller::send(caller::payment(entry, &key, "rush-17"), "{\"sum\": 41}");
    assert_eq!((other.status, other.code().as_str()), (422, "idempotency_mismatch"));
    assert_eq!(runs(&fleet, "rush-17"), 1);
}

/// The store writes the claim and its answer is lost. Taken for a failure, the payment would never
/// run; written again without looking, it could run twice.
#[test]
fn lost_answers_of_the_store_neither_lose_nor_double_a_payment() {
    let fleet = Fleet::start(Shape { entries: 1, engines: 1, ..Shape::default() });
    let key = fleet.grant("court");
    for number in 0..6 {
        fleet.fail_platform(&json!({"lose_answers": number}));
        let name = format!("lost-{number}");
        let answer = caller::send(caller::payment(&fleet.entries[0], &key, &name), "{}");
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(runs(&fleet, &name), 1);
    }
}

/// The store is down. A payment that cannot be claimed is refused, not run, at once; model requests
/// go on with what is known; and when the store is back the same payment runs.
#[test]
fn payment_without_the_store_is_refused_not_run() {
    let fleet = Fleet::start(Shape { entries: 1, engines: 1, ..Shape::default() });
    let key = fleet.grant("court");
    fleet.fail_platform(&json!({"down": true}));
    let pay = || caller::send(caller::payment(&fleet.entries[0], &key, "later"), "{}");
    let refused = pay();
    assert_eq!((refused.status, refused.code().as_str()), (503, "store_unavailable"));
    assert_eq!(refused.ran.as_deref(), Some("no"));
    assert_eq!(runs(&fleet, "later"), 0);
    let request = caller::chat(&fleet.entries[0], &key);
    let answer = caller::send(request, &caller::chat_body("meanwhile", 3, true));
    caller::assert_whole(&answer.text, "meanwhile", 3);
    fleet.fail_platform(&json!({}));
    assert_eq!(pay().status, 200);
    assert_eq!(runs(&fleet, "later"), 1);
}

/// The side dies after it sent the payment and before it knew the outcome. Whoever asks again must
/// not run it a second time; an operator finds out and says what happened.
#[test]
fn payment_whose_side_died_waits_for_an_operator() {
    let mut fleet =
        Fleet::start(Shape { entries: 1, engines: 1, call_ms: 1500, ..Shape::default() });
    let key = fleet.grant("court");
    let request = caller::payment(&fleet.entries[0], &key, "broken");
    let sent = thread::spawn(move || caller::send(request, "{}"));
    fleet::wait_for("the service runs it", || (runs(&fleet, "broken") == 1).then_some(()));
    fleet.sides[1].process.kill();
    let answer = sent.join().expect("no panic");
    assert_eq!((answer.status, answer.ran.as_deref()), (502, Some("unknown")));
    // The side comes back, as a new start of the same daemon.
    let url = fleet.service.url.clone();
    fleet.sides[1] = fleet.spawn_side("side-loket", "loket", &url);
    fleet.wait_until_whole();
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

/// The side is frozen between claim and answer and woken later, while its caller tries again through
/// the other side.
#[test]
fn payment_of_a_frozen_side_runs_once() {
    let mut fleet =
        Fleet::start(Shape { entries: 1, engines: 1, call_ms: 300, ..Shape::default() });
    let url = fleet.service.url.clone();
    let second = fleet.spawn_side("side-loket-2", "loket", &url);
    fleet.sides.push(second);
    fleet.wait_until_whole();
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
