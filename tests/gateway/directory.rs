//! The list of endpoints: what leaves goes at once, what lapsed with the store's outage is kept for
//! a while, what is old never replaces what is newer.

use briarwinch::gateway::directory::{Change, Directory, Endpoint, EndpointKey, Event};

pub fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        key: EndpointKey::of(id),
        id: id.into(),
        service: "engine".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 8,
        started_unix_ms: 1,
        is_leaving: false,
    }
}

fn taking(directory: &Directory) -> Vec<String> {
    directory.accepting("engine").map(|one| one.id.to_string()).collect()
}

fn listed() -> Directory {
    let mut directory = Directory::default();
    assert!(directory.replace(vec![endpoint("one"), endpoint("two")], 10, None));
    directory
}

#[test]
fn leaving_endpoints_take_nothing_new() {
    let mut directory = listed();
    let leaving = Endpoint { is_leaving: true, ..endpoint("one") };
    assert!(directory.apply(Change::Present(leaving), 11, Some(99_000)));
    assert_eq!(taking(&directory), ["two"]);
    assert!(directory.apply(Change::Gone("two".into()), 12, None));
    assert!(taking(&directory).is_empty());
}

/// While the store is away, entries of living endpoints lapse; they are back soon after it is. An
/// entry that took the first list at its word would turn users away although all endpoints live.
#[test]
fn entries_that_lapsed_with_an_outage_are_kept_until_their_grace_time_is_over() {
    let mut directory = listed();
    directory.replace(vec![endpoint("two")], 20, Some(5_000));
    assert_eq!(taking(&directory), ["one", "two"]);
    assert!(!directory.expire(4_999));
    assert!(directory.expire(5_000));
    assert_eq!(taking(&directory), ["two"]);
}

#[test]
fn entries_that_come_back_in_time_stay() {
    let mut directory = listed();
    directory.apply(Change::Gone("one".into()), 20, Some(5_000));
    directory.apply(Change::Present(endpoint("one")), 21, Some(5_000));
    assert!(!directory.expire(9_000));
    assert_eq!(taking(&directory), ["one", "two"]);
}

#[test]
fn endpoints_that_were_leaving_get_no_grace_time() {
    let mut directory = listed();
    let leaving = Endpoint { is_leaving: true, ..endpoint("one") };
    directory.apply(Change::Present(leaving), 11, None);
    directory.apply(Change::Gone("one".into()), 12, Some(99_000));
    assert!(directory.find(EndpointKey::of("one")).is_none());
}

#[test]
fn old_lists_and_older_peers_change_nothing() {
    let mut directory = listed();
    assert!(!directory.replace(vec![], 9, None));
    let mut newer = listed();
    newer.apply(Change::Gone("one".into()), 15, None);
    assert!(directory.adopt(newer.clone(), &[], &[], 0));
    assert!(!newer.adopt(listed(), &[], &[], 0));
    assert_eq!(taking(&directory), ["two"]);
}

/// An entry keeps a vanished endpoint for its grace time, and a peer pulls its list just then. A
/// peer that knew nothing of the grace time would send requests to an endpoint that has left, for as
/// long as the list does not change again.
#[test]
fn what_a_peer_keeps_for_a_while_is_kept_no_longer_by_who_pulls_it() {
    let mut keeping = listed();
    keeping.apply(Change::Gone("one".into()), 20, Some(5_000));
    keeping.apply(Change::Present(endpoint("three")), 21, Some(5_000));
    let lapsed = keeping.lapsed(4_000);
    let mut pulling = listed();
    assert!(pulling.adopt(keeping, &lapsed, &[], 70_000));
    assert_eq!(taking(&pulling), ["one", "three", "two"]);
    assert!(!pulling.expire(70_999));
    assert!(pulling.expire(71_000));
    assert_eq!(taking(&pulling), ["three", "two"]);
}

/// The store turned an entry away for a while; from its peers it knows that an endpoint has left. Its
/// watch goes on from before the outage and brings the endpoint's last beat and its removal. Taken as
/// they come, the endpoint is back, its removal looks like a lapse, all peers are told so, and users'
/// requests go to an endpoint that has left seconds ago.
#[test]
fn old_changes_after_an_outage_do_not_bring_back_what_peers_know_to_be_gone() {
    let mut directory = listed();
    let mut newer = listed();
    newer.apply(Change::Gone("one".into()), 187, None);
    assert!(directory.adopt(newer, &[], &[], 0));
    let beat = Event { change: Change::Present(endpoint("one")), revision: 150, cold_ms: 0 };
    let removal = Event { change: Change::Gone("one".into()), revision: 187, cold_ms: 0 };
    let came = Event { change: Change::Present(endpoint("three")), revision: 200, cold_ms: 0 };
    assert!(directory.apply_events([beat, removal, came].into_iter(), 212, Some(9_000), 0));
    assert_eq!(taking(&directory), ["three", "two"]);
    assert!(directory.lapsed(0).is_empty());
}

fn gone(id: &str, revision: u64) -> Event {
    Event { change: Change::Gone(id.into()), revision, cold_ms: 0 }
}

fn present(id: &str, revision: u64) -> Event {
    Event { change: Change::Present(endpoint(id)), revision, cold_ms: 0 }
}

/// Guards against living endpoints that an entry gives up for good, because its watch brings their lapse but not
/// their return, which a peer's list has told already.
#[test]
fn old_lapses_after_an_outage_do_not_take_out_what_peers_know_to_be_back() {
    let mut directory = listed();
    let mut newer = listed();
    newer.apply(Change::Gone("two".into()), 70, None);
    assert!(directory.adopt(newer, &[], &[], 0));
    // All of it is older than the peer's list.
    directory.apply_events([gone("one", 12)].into_iter(), 64, Some(5_000), 0);
    // Some of it is.
    let mixed = [gone("one", 12), present("one", 68), present("three", 72)];
    directory.apply_events(mixed.into_iter(), 72, Some(5_000), 0);
    assert!(directory.lapsed(0).is_empty());
    directory.expire(9_000);
    assert_eq!(taking(&directory), ["one", "three"]);
}

/// Guards against lapses that are taken for old ones: the endpoint would get requests for as long as its entry
/// stays away.
#[test]
fn lapses_after_the_return_that_a_peer_knows_count() {
    let mut directory = listed();
    let mut newer = listed();
    newer.apply(Change::Gone("two".into()), 70, None);
    assert!(directory.adopt(newer, &[], &[], 0));
    let lapse = [gone("one", 12), present("one", 68), gone("one", 68)];
    directory.apply_events(lapse.into_iter(), 75, Some(5_000), 0);
    assert!(directory.expire(9_000));
    assert!(taking(&directory).is_empty());
}
