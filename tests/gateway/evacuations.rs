//! Tests of zone evacuations: all entries learn of them quickly, requests leave the zone gradually, and a
//! revoked evacuation does not come back.

use briarwinch::gateway::evacuation::{self, Change, Evacuations};
use briarwinch::store::Era;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::virtual_fleet::{Fleet, SIZES};

const NOW_MS: u64 = 1_000_000;
const LEAVE_MS: u64 = 3_000;

fn listed(zones: &[&str], revision: u64) -> Evacuations {
    listed_at(zones, revision, NOW_MS)
}

fn listed_at(zones: &[&str], revision: u64, now_ms: u64) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.replace(zones.iter().map(|zone| (*zone).into()), revision, now_ms);
    evacuations
}

fn evacuated(zone: &str, revision: u64, left_ms: u64) -> Evacuations {
    let mut evacuations = listed(&[], 1);
    evacuations.apply_changes(
        [Change::Evacuated(zone.into())].into_iter(),
        revision,
        left_ms,
        NOW_MS,
    );
    evacuations
}

/// Guards against a zone that stays empty for good because an entry that missed the end of its evacuation
/// spreads its old set.
#[test]
fn an_ended_evacuation_is_not_spread_again_by_an_entry_that_missed_its_end() {
    let mut behind = listed(&["a"], 10);
    let mut ahead = behind.clone();
    assert!(ahead.apply_changes([Change::Restored("a".into())].into_iter(), 14, 0, NOW_MS));
    assert!(!ahead.adopt(&behind.snapshot(NOW_MS), NOW_MS));
    assert!(!ahead.contains("a"));
    assert!(behind.adopt(&ahead.snapshot(NOW_MS), NOW_MS));
    assert!(!behind.contains("a"));
}

/// Guards against a watch that resumes from before an outage and delivers evacuations whose end was already
/// received from other entries.
#[test]
fn old_changes_after_an_outage_evacuate_nothing() {
    let mut evacuations = listed(&[], 10);
    assert!(evacuations.adopt(&listed(&[], 14).snapshot(NOW_MS), NOW_MS));
    let old = [Change::Evacuated("a".into())].into_iter();
    assert!(!evacuations.apply_changes(old, 12, LEAVE_MS, NOW_MS));
    assert!(!evacuations.contains("a"));
}

/// Guards against a list that was requested before a change and arrives after it.
#[test]
fn a_list_older_than_the_known_set_changes_nothing() {
    let mut evacuations = listed(&["a", "b"], 20);
    assert!(!evacuations.replace([].into_iter(), 19, NOW_MS));
    assert!(evacuations.contains("a"));
    assert!(evacuations.replace(["b".into()].into_iter(), 21, NOW_MS));
    assert!(!evacuations.contains("a") && evacuations.contains("b"));
}

/// Guards against requests to an evacuated zone after an entry that knows only the end of an earlier
/// evacuation has spread it: a list that contains the same zones as before is newer than that end.
#[test]
fn a_zone_that_a_newer_list_still_contains_is_not_restored_by_an_older_set() {
    let mut reader = listed(&["a"], 10);
    // The evacuation ended at revision 11 and began again at 12, within a compacted part of the history.
    let mut behind = listed(&[], 11);
    reader.replace(["a".into()].into_iter(), 13, NOW_MS);
    reader.adopt(&behind.snapshot(NOW_MS), NOW_MS);
    assert!(reader.contains("a"));
    behind.adopt(&reader.snapshot(NOW_MS), NOW_MS);
    assert!(behind.contains("a"));
}

/// Guards against the same after a watch that returned the end of an evacuation together with the next one.
#[test]
fn a_zone_that_is_evacuated_again_is_not_restored_by_an_older_set() {
    let mut reader = listed(&["a"], 10);
    let mut behind = listed(&[], 11);
    let changes = [Change::Restored("a".into()), Change::Evacuated("a".into())];
    reader.apply_changes(changes.into_iter(), 12, 0, NOW_MS);
    reader.adopt(&behind.snapshot(NOW_MS), NOW_MS);
    assert!(reader.contains("a"));
    behind.adopt(&reader.snapshot(NOW_MS), NOW_MS);
    assert!(behind.contains("a"));
}

/// Guards against a zone that stays unused after an evacuation that began and ended unnoticed by a reader of
/// the store: an entry that knows only its beginning spreads it.
#[test]
fn a_short_evacuation_that_has_ended_is_not_spread_again_by_an_older_set() {
    let begun = listed(&["a"], 11).snapshot(NOW_MS);
    let mut by_list = listed(&[], 10);
    by_list.replace([].into_iter(), 13, NOW_MS);
    by_list.adopt(&begun, NOW_MS);
    assert!(!by_list.contains("a"));
    let mut by_watch = listed(&[], 10);
    let changes = [Change::Evacuated("a".into()), Change::Restored("a".into())];
    by_watch.apply_changes(changes.into_iter(), 12, LEAVE_MS, NOW_MS);
    by_watch.adopt(&begun, NOW_MS);
    assert!(!by_watch.contains("a"));
}

/// Guards against requests to an evacuated zone from entries that have not learned of the evacuation yet.
#[test]
fn an_evacuation_reaches_all_entries_within_a_second_at_any_fleet_size() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(1_000);
        // One reader has the evacuation from the store, and it is not the aggregator of its zone.
        let reader = entries - 1;
        fleet.nodes[reader].evacuations = evacuated("a", 10, LEAVE_MS);
        fleet.nodes[reader].has_urgent_work = true;
        let begin_ms = fleet.now_ms;
        while !fleet.nodes.iter().all(|node| node.evacuations.contains("a")) {
            assert!(fleet.now_ms < begin_ms + 1_000, "{entries} entries");
            fleet.step();
        }
        println!("{entries} entries know the evacuation after {} ms", fleet.now_ms - begin_ms);
    }
}

/// Guards against an entry that starts while the store is unavailable and sends to a zone that the other
/// entries know to be evacuated.
#[test]
fn a_starting_entry_learns_of_an_evacuation_from_the_other_entries() {
    let mut fleet = Fleet::open(22, 3, 0.02);
    fleet.settles_within_ms(1_500);
    for node in &mut fleet.nodes {
        node.evacuations = listed_at(&["a"], 10, fleet.now_ms);
    }
    fleet.start(3);
    fleet.run_ms(500);
    assert!(fleet.nodes[22].evacuations.is_closed("a", fleet.now_ms));
}

/// Guards against a thundering herd: all documents of a zone are prefilled again elsewhere in the moment of
/// its evacuation.
#[test]
fn documents_leave_a_zone_gradually_and_at_the_same_time_on_all_entries() {
    let near = evacuated("a", 10, LEAVE_MS);
    let mut far = listed(&[], 1);
    // The other entry receives the set 200 ms later and has a different clock.
    assert!(far.adopt(&near.snapshot(NOW_MS + 200), 70_200));
    let mut random = StdRng::seed_from_u64(7);
    let documents: Vec<u64> = (0..2_000).map(|_| random.random()).collect();
    let mut before = documents.len();
    for passed_ms in (0..LEAVE_MS).step_by(100) {
        let stays = |one: &&u64| near.accepts("a", **one, NOW_MS + passed_ms);
        let left = documents.iter().filter(stays).count();
        assert!(before - left <= documents.len() / 15, "{} at {passed_ms} ms", before - left);
        before = left;
        if passed_ms >= 200 {
            let agrees = |one: &u64| {
                near.accepts("a", *one, NOW_MS + passed_ms)
                    == far.accepts("a", *one, 70_000 + passed_ms)
            };
            assert!(documents.iter().all(agrees), "at {passed_ms} ms");
        }
    }
    assert!(documents.iter().all(|one| !near.accepts("a", *one, NOW_MS + LEAVE_MS)));
    assert!(near.is_closed("a", NOW_MS + LEAVE_MS) && !near.is_closed("a", NOW_MS + LEAVE_MS - 1));
}

/// Guards against requests that leave a zone slowly although it was evacuated long ago: a list does not say
/// when the evacuation began.
#[test]
fn a_zone_that_is_listed_as_evacuated_closes_at_once() {
    let evacuations = listed(&["a"], 10);
    assert!(evacuations.is_closed("a", NOW_MS));
    assert!(!evacuations.accepts("a", u64::MAX, NOW_MS));
    assert!(evacuations.accepts("b", 0, NOW_MS));
}

/// Guards against a period that restarts with each entry that forwards the set.
#[test]
fn forwarding_the_set_does_not_prolong_the_period_in_which_requests_leave() {
    let mut first = evacuated("a", 10, LEAVE_MS);
    let mut second = listed(&[], 1);
    second.adopt(&first.snapshot(NOW_MS + 1_000), NOW_MS + 1_100);
    let back = Evacuations::clone(&second).snapshot(NOW_MS + 2_000);
    first.adopt(&back, NOW_MS + 2_100);
    assert!(first.is_closed("a", NOW_MS + LEAVE_MS));
    assert!(second.is_closed("a", NOW_MS + LEAVE_MS + 100));
    assert!(evacuation::leave_ms(5_000) + 1_500 < 5_000, "the rest covers the propagation delay");
}

/// Guards against requests to an evacuated zone because the store came back from a copy of before its evacuation, and
/// against a zone that stays evacuated after the operators have taken it back in the new era.
#[test]
fn a_restored_set_takes_no_zone_back() {
    let in_era = |revision: u64| Era(1).version(revision);
    let mut evacuations = listed(&["a"], 900);
    assert!(!evacuations.restore(std::iter::empty(), in_era(5), NOW_MS), "nothing has changed");
    assert!(evacuations.contains("a"));
    let mut told = listed(&["a"], 900);
    assert!(told.adopt(&listed(&["b"], in_era(5)).snapshot(NOW_MS), NOW_MS));
    assert!(told.contains("a") && told.contains("b"));
    let restored = || [Change::Restored("a".into())].into_iter();
    assert!(evacuations.apply_changes(restored(), in_era(7), 0, NOW_MS));
    assert!(!evacuations.contains("a"));
    assert!(told.replace(std::iter::empty(), in_era(9), NOW_MS), "listed again later");
    assert_eq!(told.zones().count(), 0);
}
