//! Tests that a planned stop of a daemon interrupts no request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use nix::sys::signal::Signal;

use crate::caller::{self, StreamReader};
use crate::fleet::{self, Fleet, FleetOptions};

/// Sends requests to the entry until `done` is set, and checks that all answers are complete. Returns the
/// number of requests.
fn send_until_done(entry: &fleet::Daemon, key: &str, done: &AtomicBool, client: usize) -> usize {
    let mut count = 0;
    while !done.load(Ordering::Relaxed) {
        let prompt = format!("under load {client} {count}");
        let answer = caller::send(caller::chat(entry, key), &caller::chat_body(&prompt, 10, true));
        assert_eq!(answer.status, 200, "{}", answer.text);
        caller::assert_complete(&answer.text, &prompt, 10);
        count += 1;
    }
    count
}

/// A side gets a stop signal during continuous requests and long streams. Guards against streams that break
/// halfway, as a user's draft did in an incident on 19 March.
#[test]
fn stopping_a_side_cuts_no_request() {
    let mut fleet = Fleet::start(FleetOptions { token_ms: 10, ..FleetOptions::default() });
    let key = fleet.grant("court");
    let done = AtomicBool::new(false);
    let drafts: Vec<StreamReader> = (0..4)
        .map(|number| {
            let body = caller::chat_body(&format!("draft {number}"), 200, true);
            StreamReader::open(caller::chat(&fleet.entries[0], &key), &body)
        })
        .collect();
    let mut stopping = fleet.sides.remove(0);
    let counts: Vec<usize> = thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let (entry, key, done) = (&fleet.entries[client % 2], &key, &done);
                scope.spawn(move || send_until_done(entry, key, done, client))
            })
            .collect();
        stopping.process.signal(Signal::SIGTERM);
        assert_eq!(stopping.process.wait(), 0);
        done.store(true, Ordering::Relaxed);
        clients.into_iter().map(|client| client.join().expect("all answers are complete")).collect()
    });
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    for (number, draft) in drafts.into_iter().enumerate() {
        caller::assert_complete(&draft.rest(), &format!("draft {number}"), 200);
    }
}

/// An entry gets a stop signal during streams. Guards against interrupted answers: the entry first reports
/// not ready, so that the load balancer stops sending requests, and exits only after the last answer.
#[test]
fn stopping_an_entry_cuts_no_request() {
    let mut fleet = Fleet::start(FleetOptions { token_ms: 10, ..FleetOptions::default() });
    let key = fleet.grant("court");
    let mut stopping = fleet.entries.remove(0);
    let drafts: Vec<StreamReader> = (0..6)
        .map(|number| {
            let body = caller::chat_body(&format!("draft {number}"), 200, true);
            StreamReader::open(caller::chat(&stopping, &key), &body)
        })
        .collect();
    stopping.process.signal(Signal::SIGTERM);
    fleet::wait_for("the entry reports not ready", || (!stopping.is_ready()).then_some(()));
    // The load balancer may notice late, so a request that still arrives is served.
    let late = caller::send(caller::chat(&stopping, &key), &caller::chat_body("late", 3, true));
    caller::assert_complete(&late.text, "late", 3);
    for (number, draft) in drafts.into_iter().enumerate() {
        caller::assert_complete(&draft.rest(), &format!("draft {number}"), 200);
    }
    assert_eq!(stopping.process.wait(), 0);
}

/// Guards against requests that still run at the drain limit and are interrupted without an error event.
#[test]
fn requests_beyond_the_drain_limit_end_with_an_error() {
    let mut fleet = Fleet::start(FleetOptions {
        engines: 1,
        token_ms: 30,
        drain_ms: 500,
        ..FleetOptions::default()
    });
    let key = fleet.grant("court");
    let body = caller::chat_body("endless", 4000, true);
    let reading = StreamReader::open(caller::chat(&fleet.entries[0], &key), &body);
    fleet.sides[0].process.signal(Signal::SIGTERM);
    let text = reading.rest();
    assert!(text.contains("event: error") && text.contains("draining"), "{text}");
    assert_eq!(fleet.sides[0].process.wait(), 0);
}
