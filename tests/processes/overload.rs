//! Tests of overload: token rate limits, load shedding and deadlines.

use std::thread;

use crate::caller::{self, StreamReader};
use crate::fleet::{self, Fleet, FleetOptions};

/// Guards against an account over its token rate that is not refused with a retry time, or that affects
/// another account.
#[test]
fn account_over_its_token_rate_gets_a_retry_time() {
    let mut options =
        FleetOptions { entries: 1, engines: 1, token_ms: 1, ..FleetOptions::default() };
    options.config["accounts"]["press"]["tokens_per_s"] = 10.into();
    let fleet = Fleet::start(options);
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

/// Low-priority lookups overload an endpoint with one slot and a queue of eight. Guards against hearing
/// summaries, which have a higher priority, being shed. Lookups that do not fit in the queue are
/// refused at once with a retry time and don't run.
#[test]
fn flood_of_lookups_sheds_no_hearing_summary() {
    let mut options =
        FleetOptions { entries: 1, engines: 1, token_ms: 5, ..FleetOptions::default() };
    options.config["services"]["juru-tulis"]["slots"] = 1.into();
    options.config["services"]["juru-tulis"]["max_queue"] = 8.into();
    let fleet = Fleet::start(options);
    let key = fleet.grant("court");
    let send = |class: &str, number: usize| {
        let prompt = format!("{class} {number}");
        let request = caller::chat(&fleet.entries[0], &key).set("briarwinch-class", class);
        let answer = caller::send(request, &caller::chat_body(&prompt, 10, true));
        if answer.status == 200 {
            caller::assert_complete(&answer.text, &prompt, 10);
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
        let seconds: u32 =
            answer.retry_after.as_ref().expect("a retry time").parse().expect("seconds");
        assert!(seconds >= 1);
        assert!(!fleet.has_run(answer.request.as_ref().expect("a request id")));
    }
}

/// Guards against requests that outlive their caller's deadline: a running stream ends with an error, and a
/// request that waits for the only slot is refused and never runs.
#[test]
fn deadline_ends_running_and_waiting_requests() {
    let mut options =
        FleetOptions { entries: 1, engines: 1, token_ms: 20, ..FleetOptions::default() };
    options.config["services"]["juru-tulis"]["slots"] = 1.into();
    let fleet = Fleet::start(options);
    let key = fleet.grant("court");
    let request = |deadline_ms: &str| {
        caller::chat(&fleet.entries[0], &key).set("briarwinch-deadline-ms", deadline_ms)
    };
    let body = caller::chat_body("long", 4000, true);
    let running = StreamReader::open(request("1500"), &body);
    let waiting = caller::send(request("300"), &body);
    assert_eq!(waiting.ran.as_deref(), Some("no"), "{}", waiting.text);
    assert!(["too_late", "deadline_exceeded"].contains(&waiting.code().as_str()));
    assert!(!fleet.has_run(waiting.request.as_ref().expect("a request id")));
    let text = running.rest();
    assert!(text.contains("event: error") && text.contains("deadline_exceeded"), "{text}");
    fleet::wait_for("the engine is free", || {
        (fleet.engines[0].record()["running"] == 0).then_some(())
    });
}
