//! Endpoints that ask entries to back off.

use briarwinch::gateway::directory::Endpoint;
use briarwinch::gateway::policy::backoff::Backoff;

use crate::directory::endpoint;

/// Guards against a longer wait that is ended by a shorter one in a later response to an older
/// request.
#[test]
fn a_shorter_wait_does_not_end_a_longer_one() {
    let mut backoff = Backoff::default();
    backoff.record_wait(&endpoint("one"), 4_000, 1_000);
    backoff.record_wait(&endpoint("one"), 500, 1_200);
    assert_eq!(backoff.remaining_ms(&endpoint("one"), 1_200), 3_800);
    assert_eq!(backoff.remaining_ms(&endpoint("one"), 5_000), 0);
    assert_eq!(backoff.remaining_ms(&endpoint("two"), 1_200), 0);
}

/// Guards against an endpoint that gets no requests because its predecessor under the same id asked
/// for a wait.
#[test]
fn a_restarted_endpoint_is_not_held_to_the_wait_of_its_predecessor() {
    let mut backoff = Backoff::default();
    backoff.record_wait(&endpoint("one"), 4_000, 1_000);
    let next = Endpoint { started_unix_ms: 2, ..endpoint("one") };
    assert_eq!(backoff.remaining_ms(&next, 1_200), 0);
    backoff.record_wait(&next, 500, 1_200);
    assert_eq!(backoff.remaining_ms(&next, 1_200), 500);
}

/// Guards against an unbounded wait, which would exclude the endpoint for the lifetime of the
/// entry.
#[test]
fn waits_are_capped() {
    let mut backoff = Backoff::default();
    backoff.record_wait(&endpoint("one"), u32::MAX, 1_000);
    assert!(backoff.remaining_ms(&endpoint("one"), 1_000) <= 600_000);
    backoff.sweep(602_000);
    assert_eq!(backoff.remaining_ms(&endpoint("one"), 602_000), 0);
}
