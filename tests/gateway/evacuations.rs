//! Evacuated availability zones: known everywhere in a moment, left without a herd, taken back for good.

use briarwinch::gateway::evacuation::{self, Change, Evacuations};
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

/// Guards against a zone that stays empty for good: an entry that missed its return tells its old set.
#[test]
fn a_zone_that_was_taken_back_never_returns_from_an_entry_that_missed_it() {
    let mut behind = listed(&["a"], 10);
    let mut ahead = behind.clone();
    assert!(ahead.apply_changes([Change::Restored("a".into())].into_iter(), 14, 0, NOW_MS));
    assert!(!ahead.adopt(&behind.snapshot(NOW_MS), NOW_MS));
    assert!(!ahead.contains("a"));
    assert!(behind.adopt(&ahead.snapshot(NOW_MS), NOW_MS));
    assert!(!behind.contains("a"));
}

/// Guards against a watch that goes on from before an outage and brings what others told meanwhile to have
/// ended.
#[test]
fn old_changes_after_an_outage_evacuate_nothing() {
    let mut evacuations = listed(&[], 10);
    assert!(evacuations.adopt(&listed(&[], 14).snapshot(NOW_MS), NOW_MS));
    let old = [Change::Evacuated("a".into())].into_iter();
    assert!(!evacuations.apply_changes(old, 12, LEAVE_MS, NOW_MS));
    assert!(!evacuations.contains("a"));
}

/// Guards against a list that was asked for before a change and arrives behind it.
#[test]
fn a_list_that_is_older_than_what_is_known_changes_nothing() {
    let mut evacuations = listed(&["a", "b"], 20);
    assert!(!evacuations.replace([].into_iter(), 19, NOW_MS));
    assert!(evacuations.contains("a"));
    assert!(evacuations.replace(["b".into()].into_iter(), 21, NOW_MS));
    assert!(!evacuations.contains("a") && evacuations.contains("b"));
}

/// Guards against requests that go to an evacuated zone for as long as some entry has not heard of it.
#[test]
fn an_evacuation_is_known_everywhere_within_a_second_at_any_size() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(1_000);
        // One reader has it from the store, and it is not the one that aggregates its zone.
        let reader = entries - 1;
        fleet.nodes[reader].evacuations = evacuated("a", 10, LEAVE_MS);
        fleet.nodes[reader].has_news = true;
        let begin_ms = fleet.now_ms;
        while !fleet.nodes.iter().all(|node| node.evacuations.contains("a")) {
            assert!(fleet.now_ms < begin_ms + 1_000, "{entries} entries");
            fleet.step();
        }
        println!("{entries} entries know of it after {} ms", fleet.now_ms - begin_ms);
    }
}

/// Guards against an entry that starts while the store is away and sends to a zone that the others know to be
/// evacuated.
#[test]
fn an_entry_that_starts_hears_of_an_evacuation_from_the_others() {
    let mut fleet = Fleet::open(22, 3, 0.02);
    fleet.settles_within_ms(1_500);
    for node in &mut fleet.nodes {
        node.evacuations = listed_at(&["a"], 10, fleet.now_ms);
    }
    fleet.start(3);
    fleet.run_ms(500);
    assert!(fleet.nodes[22].evacuations.is_closed("a", fleet.now_ms));
}

/// Guards against a herd: all documents of a zone read again elsewhere in the moment of its evacuation.
#[test]
fn documents_leave_a_zone_one_after_the_other_and_at_the_same_time_for_all() {
    let near = evacuated("a", 10, LEAVE_MS);
    let mut far = listed(&[], 1);
    // Told 200 ms later, on a clock of its own.
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

/// Guards against a zone that is left slowly although it was evacuated long ago: who lists it cannot know.
#[test]
fn a_zone_that_is_found_evacuated_closes_at_once() {
    let evacuations = listed(&["a"], 10);
    assert!(evacuations.is_closed("a", NOW_MS));
    assert!(!evacuations.accepts("a", u64::MAX, NOW_MS));
    assert!(evacuations.accepts("b", 0, NOW_MS));
}

/// Guards against a time that begins anew with each entry that passes the news on.
#[test]
fn news_that_go_round_do_not_prolong_an_evacuation() {
    let mut first = evacuated("a", 10, LEAVE_MS);
    let mut second = listed(&[], 1);
    second.adopt(&first.snapshot(NOW_MS + 1_000), NOW_MS + 1_100);
    let back = Evacuations::clone(&second).snapshot(NOW_MS + 2_000);
    first.adopt(&back, NOW_MS + 2_100);
    assert!(first.is_closed("a", NOW_MS + LEAVE_MS));
    assert!(second.is_closed("a", NOW_MS + LEAVE_MS + 100));
    assert!(evacuation::leave_ms(5_000) + 1_500 < 5_000, "the way of the news takes some time");
}
