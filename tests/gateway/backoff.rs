//! Endpoints that ask to be left alone for a while.

use briarwinch::gateway::directory::Endpoint;
use briarwinch::gateway::policy::backoff::Backoff;

use crate::directory::endpoint;

/// Guards against a shorter time, told in a later answer to an older request, that ends a longer one.
#[test]
fn the_longest_time_that_an_endpoint_asked_for_counts() {
    let mut backoff = Backoff::default();
    backoff.record_wait(&endpoint("one"), 4_000, 1_000);
    backoff.record_wait(&endpoint("one"), 500, 1_200);
    assert_eq!(backoff.remaining_ms(&endpoint("one"), 1_200), 3_800);
    assert_eq!(backoff.remaining_ms(&endpoint("one"), 5_000), 0);
    assert_eq!(backoff.remaining_ms(&endpoint("two"), 1_200), 0);
}

/// Guards against an endpoint that is left alone for what an earlier start of it asked for.
#[test]
fn a_new_start_of_an_endpoint_is_not_left_alone() {
    let mut backoff = Backoff::default();
    backoff.record_wait(&endpoint("one"), 4_000, 1_000);
    let next = Endpoint { started_unix_ms: 2, ..endpoint("one") };
    assert_eq!(backoff.remaining_ms(&next, 1_200), 0);
    backoff.record_wait(&next, 500, 1_200);
    assert_eq!(backoff.remaining_ms(&next, 1_200), 500);
}

/// Guards against a time without end, which would take the endpoint out for as long as the entry lives.
#[test]
fn no_endpoint_is_left_alone_for_ever() {
    let mut backoff = Backoff::default();
    backoff.record_wait(&endpoint("one"), u32::MAX, 1_000);
    assert!(backoff.remaining_ms(&endpoint("one"), 1_000) <= 600_000);
    backoff.sweep(602_000);
    assert_eq!(backoff.remaining_ms(&endpoint("one"), 602_000), 0);
}
