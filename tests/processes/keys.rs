//! Tests that withdrawn keys stop working for running, queued and new requests.

use std::thread;

use crate::caller::{self, StreamReader};
use crate::fleet::{self, Fleet, FleetOptions};

/// A fleet with one engine that has one slot, so that a second request has to wait.
fn single_slot() -> FleetOptions {
    let mut options = FleetOptions { engines: 1, token_ms: 30, ..FleetOptions::default() };
    options.config["services"]["juru-tulis"]["slots"] = 1.into();
    options
}

/// A key is withdrawn while one of its requests streams and another waits in the queue. Guards against a
/// leaked key that keeps incurring cost for its account until the last stream ends.
#[test]
fn withdrawn_key_ends_running_and_queued_requests() {
    let fleet = Fleet::start(single_slot());
    let (key, other) = (fleet.grant("court"), fleet.grant("court"));
    let entry = &fleet.entries[0];
    let body = caller::chat_body("long", 4000, true);
    let running = StreamReader::open(caller::chat(entry, &key), &body);
    let (queued, running) = thread::scope(|scope| {
        let queued = scope.spawn(|| caller::send(caller::chat(entry, &key), &body));
        fleet::wait_for("the second request waits", || {
            (fleet.sides[0].metric("briarwinch_queue_jobs") >= 1.0).then_some(())
        });
        fleet.withdraw(&key);
        (queued.join().expect("no panic"), running.rest())
    });
    assert_eq!((queued.status, queued.code().as_str()), (401, "key_withdrawn"));
    assert_eq!(queued.ran.as_deref(), Some("no"));
    assert!(
        !fleet.has_run(&queued.request.expect("a request id")),
        "a request reported as not run has run"
    );
    assert!(running.contains("event: error") && running.contains("key_withdrawn"), "{running}");
    assert!(!caller::stream_tokens(&running).1, "ended like a complete answer");
    for entry in &fleet.entries {
        let answer = caller::send(caller::chat(entry, &key), &body);
        assert_eq!(answer.code(), "key_withdrawn");
    }
    // The account's other key is unaffected.
    let answer = caller::send(caller::chat(entry, &other), &caller::chat_body("short", 2, true));
    caller::assert_complete(&answer.text, "short", 2);
}

/// One entry cannot reach the store but reaches its peers. Guards against a withdrawn key that works there
/// until the store is reachable again.
#[test]
fn withdrawn_key_stops_at_an_entry_without_the_store() {
    let fleet = Fleet::start(FleetOptions { entries: 1, engines: 1, ..FleetOptions::default() });
    let key = fleet.grant("court");
    let cut_off = fleet.spawn_entry_without_store("entry-cut-off");
    let body = caller::chat_body("cut", 2, true);
    fleet::wait_for("it serves requests with the state from its peers", || {
        let answer = caller::try_send(caller::chat(&cut_off, &key), &body)?;
        (answer.status == 200).then_some(())
    });
    fleet.withdraw(&key);
    fleet::wait_for("it refuses the key", || {
        let answer = caller::try_send(caller::chat(&cut_off, &key), &body)?;
        (answer.status == 401 && answer.code() == "key_withdrawn").then_some(())
    });
}
