//! A planned stop cuts no request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use nix::sys::signal::Signal;

use crate::caller::{self, Reading};
use crate::fleet::{self, Fleet, Shape};

/// Sends requests to the entry until told to stop; gives how many, all of them whole.
fn keep_asking(entry: &fleet::Daemon, key: &str, done: &AtomicBool, who: usize) -> usize {
    let mut count = 0;
    while !done.load(Ordering::Relaxed) {
        let prompt = format!("under load {who} {count}");
        let answer = caller::send(caller::chat(entry, key), &caller::chat_body(&prompt, 10, true));
        assert_eq!(answer.status, 200, "{}", answer.text);
        caller::assert_whole(&answer.text, &prompt, 10);
        count += 1;
    }
    count
}

/// A side is told to stop while requests come all the time and a long draft is under way. The
/// stenographer of 19 March lost such a draft halfway.
#[test]
fn stopping_a_side_cuts_no_request() {
    let mut fleet = Fleet::start(Shape { token_ms: 10, ..Shape::default() });
    let key = fleet.grant("court");
    let done = AtomicBool::new(false);
    let drafts: Vec<Reading> = (0..4)
        .map(|number| {
            let body = caller::chat_body(&format!("draft {number}"), 200, true);
            Reading::open(caller::chat(&fleet.entries[0], &key), &body)
        })
        .collect();
    let mut stopping = fleet.sides.remove(0);
    let counts: Vec<usize> = thread::scope(|scope| {
        let askers: Vec<_> = (0..4)
            .map(|who| {
                let (entry, key, done) = (&fleet.entries[who % 2], &key, &done);
                scope.spawn(move || keep_asking(entry, key, done, who))
            })
            .collect();
        stopping.process.signal(Signal::SIGTERM);
        assert_eq!(stopping.process.wait(), 0);
        done.store(true, Ordering::Relaxed);
        askers.into_iter().map(|asker| asker.join().expect("all whole")).collect()
    });
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    for (number, draft) in drafts.into_iter().enumerate() {
        caller::assert_whole(&draft.rest(), &format!("draft {number}"), 200);
    }
}

/// An entry is told to stop with streams under way. It says that it is not ready before anything
/// else, so the balancer turns away, and ends only when the last answer is whole.
#[test]
fn stopping_an_entry_cuts_no_request() {
    let mut fleet = Fleet::start(Shape { token_ms: 10, ..Shape::default() });
    let key = fleet.grant("court");
    let mut stopping = fleet.entries.remove(0);
    let drafts: Vec<Reading> = (0..6)
        .map(|number| {
            let body = caller::chat_body(&format!("draft {number}"), 200, true);
            Reading::open(caller::chat(&stopping, &key), &body)
        })
        .collect();
    stopping.process.signal(Signal::SIGTERM);
    fleet::wait_for("it is not ready any more", || (!stopping.is_ready()).then_some(()));
    // The balancer has not noticed yet: a late request is served all the same.
    let late = caller::send(caller::chat(&stopping, &key), &caller::chat_body("late", 3, true));
    caller::assert_whole(&late.text, "late", 3);
    for (number, draft) in drafts.into_iter().enumerate() {
        caller::assert_whole(&draft.rest(), &format!("draft {number}"), 200);
    }
    assert_eq!(stopping.process.wait(), 0);
}

/// A stop has an upper time. What still runs then is ended and told so, not cut without a word.
#[test]
fn what_outlasts_the_drain_is_told_so() {
    let mut fleet =
        Fleet::start(Shape { engines: 1, token_ms: 30, drain_ms: 500, ..Shape::default() });
    let key = fleet.grant("court");
    let body = caller::chat_body("endless", 4000, true);
    let reading = Reading::open(caller::chat(&fleet.entries[0], &key), &body);
    fleet.sides[0].process.signal(Signal::SIGTERM);
    let text = reading.rest();
    assert!(text.contains("event: error") && text.contains("draining"), "{text}");
    assert_eq!(fleet.sides[0].process.wait(), 0);
}
