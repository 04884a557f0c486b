//! More comes than can be served.

use std::thread;

use crate::caller::{self, Reading};
use crate::fleet::{self, Fleet, Shape};

/// An account is over its token rate. It is told when to come back, and another account is not
/// touched.
#[test]
fn account_over_its_token_rate_is_told_when_to_come_back() {
    let mut shape = Shape { entries: 1, engines: 1, token_ms: 1, ..Shape::default() };
    shape.config["accounts"]["press"]["tokens_per_s"] = 10.into();
    let fleet = Fleet::start(shape);
    let (press, court) = (fleet.grant("press"), fleet.grant("court"));
    let body = caller::chat_body("budget", 200, false);
    let send = |key: &str| caller::send(caller::chat(&fleet.entries[0], key), &body);
    let refused = fleet::wait_for("the account is over its rate", || {
        let answer = send(&press);
        (answer.status != 200).then_some(answer)
    });
    assert_eq!((refused.status, refused.code().as_str()), (429, "account_limit"));
    assert_eq!(refused.ran.as_deref(), Some("no"));
    assert!(refused.retry_after.is_some());
    assert_eq!(send(&court).status, 200);
}

/// Journalists' lookups flood an endpoint with one slot and eight places. Those that find no place
/// are told at once when to come back and have not run; the hearing summaries that come in between
/// all get their answers.
#[test]
fn flood_of_lookups_sheds_no_hearing_summary() {
    let mut shape = Shape { entries: 1, engines: 1, token_ms: 5, ..Shape::default() };
    shape.config["services"]["juru-tulis"]["slots"] = 1.into();
    shape.config["services"]["juru-tulis"]["max_queue"] = 8.into();
    let fleet = Fleet::start(shape);
    let key = fleet.grant("court");
    let send = |class: &str, number: usize| {
        let prompt = format!("{class} {number}");
        let request = caller::chat(&fleet.entries[0], &key).set("briarwinch-class", class);
        let answer = caller::send(request, &caller::chat_body(&prompt, 10, true));
        if answer.status == 200 {
            caller::assert_whole(&answer.text, &prompt, 10);
        }
        answer
    };
    let (lookups, summaries) = thread::scope(|scope| {
        let send = &send;
        let lookups: Vec<_> =
            (0..40).map(|number| scope.spawn(move || send("lookup", number))).collect();
        let summaries: Vec<_> =
            (0..4).map(|number| scope.spawn(move || send("hearing-summary", number))).collect();
        let join = |handles: Vec<thread::ScopedJoinHandle<'_, caller::Answer>>| {
            handles.into_iter().map(|handle| handle.join().expect("no panic")).collect::<Vec<_>>()
        };
        (join(lookups), join(summaries))
    });
    assert!(summaries.iter().all(|answer| answer.status == 200));
    let refused: Vec<_> = lookups.iter().filter(|answer| answer.status != 200).collect();
    assert!(!refused.is_empty() && refused.len() < lookups.len(), "{} refused", refused.len());
    for answer in refused {
        assert_eq!((answer.status, answer.ran.as_deref()), (429, Some("no")), "{}", answer.text);
        let seconds: u32 = answer.retry_after.as_ref().expect("when").parse().expect("seconds");
        assert!(seconds >= 1);
        assert!(!fleet.has_run(answer.request.as_ref().expect("its name")));
    }
}

/// A caller says how long it waits. Its running stream is ended and told so when that time is over,
/// and its request that still waits for the only slot is refused then and never runs.
#[test]
fn deadline_ends_running_and_waiting_requests() {
    let mut shape = Shape { entries: 1, engines: 1, token_ms: 20, ..Shape::default() };
    shape.config["services"]["juru-tulis"]["slots"] = 1.into();
    let fleet = Fleet::start(shape);
    let key = fleet.grant("court");
    let request = |deadline_ms: &str| {
        caller::chat(&fleet.entries[0], &key).set("briarwinch-deadline-ms", deadline_ms)
    };
    let body = caller::chat_body("long", 4000, true);
    let running = Reading::open(request("1500"), &body);
    let waiting = caller::send(request("300"), &body);
    assert_eq!(waiting.ran.as_deref(), Some("no"), "{}", waiting.text);
    assert!(["too_late", "deadline_exceeded"].contains(&waiting.code().as_str()));
    assert!(!fleet.has_run(waiting.request.as_ref().expect("its name")));
    let text = running.rest();
    assert!(text.contains("event: error") && text.contains("deadline_exceeded"), "{text}");
    fleet::wait_for("the engine is free", || {
        (fleet.engines[0].record()["running"] == 0).then_some(())
    });
}
