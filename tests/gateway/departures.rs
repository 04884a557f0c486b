//! Endpoints that say in their answers that they leave: which start it is, and who knows it how soon.

use briarwinch::gateway::departures::{Departure, Departures};
use briarwinch::gateway::directory::Endpoint;

use crate::directory::endpoint;
use crate::virtual_fleet::{Fleet, SIZES};

fn started(started_unix_ms: u64) -> Endpoint {
    Endpoint { started_unix_ms, ..endpoint("one") }
}

/// Guards against an old list, or a late peer, that brings a leaving endpoint back, and against one that
/// keeps its next start out.
#[test]
fn a_departure_holds_for_one_start_of_an_endpoint() {
    let mut departures = Departures::default();
    assert!(departures.record(Departure::of(&started(5_000)), 100));
    assert!(!departures.record(Departure::of(&started(5_000)), 200), "no news");
    assert!(departures.contains(&started(5_000)));
    assert!(!departures.contains(&started(9_000)), "started anew");
    assert!(departures.record(Departure::of(&started(9_000)), 300));
    assert!(!departures.record(Departure::of(&started(5_000)), 400), "an earlier start");
    assert!(departures.contains(&started(9_000)));
}

/// Guards against entries that send to a leaving endpoint until it has answered each of them.
#[test]
fn a_departure_is_known_to_all_entries_within_half_a_second() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.run_ms(2_500);
        let now_ms = fleet.now_ms;
        fleet.nodes[entries / 2].departures.record(Departure::of(&started(5_000)), now_ms);
        fleet.run_ms(500);
        let knows = |departures: &Departures| departures.contains(&started(5_000));
        let behind = fleet.nodes.iter().filter(|node| !knows(&node.departures)).count();
        assert_eq!(behind, 0, "of {entries} entries");
    }
}
