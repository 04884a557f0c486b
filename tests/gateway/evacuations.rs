//! Evacuated availability zones: known everywhere in a moment, taken back for good.

use std::collections::BTreeSet;

use briarwinch::gateway::evacuation::{Change, Evacuations};

use crate::virtual_fleet::{Fleet, SIZES};

fn listed(zones: &[&str], revision: u64) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.replace(zones.iter().map(|zone| (*zone).into()).collect(), revision);
    evacuations
}

/// Guards against a zone that stays empty for good: an entry that missed its return tells its old set.
#[test]
fn a_zone_that_was_taken_back_never_returns_from_an_entry_that_missed_it() {
    let behind = listed(&["a"], 10);
    let mut ahead = behind.clone();
    assert!(ahead.follow([Change::TakenBack("a".into())].into_iter(), 14));
    assert!(!ahead.adopt(&behind));
    assert!(!ahead.has("a"));
    let mut behind = behind;
    assert!(behind.adopt(&ahead));
    assert!(!behind.has("a"));
}

/// Guards against a watch that goes on from before an outage and brings what others told meanwhile to have
/// ended.
#[test]
fn old_changes_after_an_outage_evacuate_nothing() {
    let mut evacuations = listed(&[], 10);
    assert!(evacuations.adopt(&listed(&[], 14)));
    assert!(!evacuations.follow([Change::Evacuated("a".into())].into_iter(), 12));
    assert!(!evacuations.has("a"));
}

/// Guards against a list that was asked for before a change and arrives behind it.
#[test]
fn a_list_that_is_older_than_what_is_known_changes_nothing() {
    let mut evacuations = listed(&["a", "b"], 20);
    assert!(!evacuations.replace(BTreeSet::new(), 19));
    assert!(evacuations.has("a"));
    assert!(evacuations.replace(["b".into()].into(), 21));
    assert!(!evacuations.has("a") && evacuations.has("b"));
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
        fleet.nodes[reader].evacuations = listed(&["a"], 10);
        fleet.nodes[reader].has_news = true;
        let begin_ms = fleet.now_ms;
        while !fleet.nodes.iter().all(|node| node.evacuations.has("a")) {
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
        node.evacuations = listed(&["a"], 10);
    }
    fleet.start(3);
    fleet.run_ms(500);
    assert!(fleet.nodes[22].evacuations.has("a"));
}
