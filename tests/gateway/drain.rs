//! A planned stop ends no request.

use briarwinch::gateway::drain::{self, Step, Stop};

const STOP_S: f64 = 8.0;

/// Steps every 20 ms while nothing is under way; gives the first step that is not to wait.
fn next_step(stop: &mut Stop, from_ms: u64, last_request_ms: u64) -> (u64, Step) {
    let steps = (from_ms..20_000).step_by(20).map(|at| (at, stop.step(at, 0, last_request_ms)));
    steps.into_iter().find(|(_, step)| *step != Step::Wait).expect("it ends")
}

/// A caller's connection is quiet for a moment, the entry decides to end, and the next request comes
/// in the ten milliseconds until the process is gone: it was sent on, and its caller got nothing.
#[test]
fn a_request_between_the_decision_and_the_end_is_waited_for() {
    let mut stop = Stop::begin(3_000, STOP_S);
    let (closed_ms, step) = next_step(&mut stop, 3_000, 8_000);
    assert_eq!(step, Step::Close, "first nothing new is begun");
    assert_eq!(stop.step(closed_ms + 5, 1, closed_ms + 5), Step::Wait, "one had just begun");
    assert_eq!(stop.step(closed_ms + 70, 1, closed_ms + 5), Step::Wait);
    let (end_ms, step) = next_step(&mut stop, closed_ms + 90, closed_ms + 5);
    assert_eq!(step, Step::End);
    assert!(end_ms >= closed_ms + 170, "the refusals have left");
}

/// A request that never ends must not make the platform kill the process, which would cut others
/// as well.
#[test]
fn a_stop_ends_before_the_kill() {
    let mut stop = Stop::begin(3_000, STOP_S);
    let steps: Vec<(u64, Step)> =
        (3_000..11_000).step_by(20).map(|at| (at, stop.step(at, 1, 3_000))).collect();
    let close = steps.iter().find(|(_, step)| *step == Step::Close).expect("it closes");
    assert!(close.0 <= 10_000, "callers are told before the end");
    let end = steps.iter().find(|(_, step)| *step == Step::End).expect("it ends");
    assert!(end.0 > close.0 && end.0 < 11_000);
}

/// The balancer sends callers for a while after the stop was asked for, though none may come.
#[test]
fn an_idle_entry_waits_until_the_balancer_has_noticed() {
    let mut stop = Stop::begin(3_000, STOP_S);
    let (closed_ms, _) = next_step(&mut stop, 3_000, 0);
    assert!(closed_ms >= 3_000 + 2_600);
}

/// Operators restart four entries two seconds apart. A long stream that begins right after an entry was
/// told to stop keeps it for its whole length; all four are stopping then, and users find nobody.
#[test]
fn streams_that_delay_a_stop_are_not_begun() {
    let delays = |after_ms: u64, run_ms: u64| drain::delays_stop(3_000, 3_000 + after_ms, run_ms);
    assert!(delays(0, 5_000), "a long one, from the start");
    assert!(!delays(0, 400), "a short one ends before callers are sent elsewhere");
    assert!(delays(2_400, 400));
    assert!(delays(2_600, 0), "the balancer has noticed");
    assert!(!drain::delays_stop(u64::MAX, 3_000, 5_000), "no stop is under way");
}

/// Four entries are restarted two seconds apart, and only one is back when the last one is told to stop.
/// If it turned callers away at once, all of them would come to that one, which may just be frozen.
#[test]
fn a_stopping_entry_takes_callers_for_a_while_when_few_others_do() {
    assert!(drain::accepts_while_draining(3_000, 3_000, 1, 3));
    assert!(!drain::accepts_while_draining(3_000, 3_000, 2, 3), "most of the others serve");
    assert!(!drain::accepts_while_draining(3_000, 3_000, 0, 0), "there is no other to wait for");
    assert!(drain::accepts_while_draining(3_000, 4_700, 1, 3));
    assert!(
        !drain::accepts_while_draining(3_000, 4_800, 0, 3),
        "the platform ends it after a while"
    );
}
