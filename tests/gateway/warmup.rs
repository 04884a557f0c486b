//! Cold endpoints: entries together send no more than such an endpoint accepts, however many peers
//! each entry knows.

use std::collections::{HashMap, VecDeque};

use briarwinch::gateway::directory::{Change, Directory, EndpointKey, Event};
use briarwinch::gateway::policy::warmup::{self, ColdEndpoints, ColdLimit, ColdSends};
use proptest::prelude::*;

use crate::directory::endpoint;
use crate::virtual_fleet::{Fault, Fleet, TICK_MS, ZONES, faults, key};

const PER_S: f64 = 6.7;
const FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;
/// Requests that a cold endpoint accepts in any second.
const BOUND: f64 = PER_S * FACTOR + EXTRA;
const ENDPOINTS: usize = 7;

/// Entries that send to cold endpoints as fast as the policy allows, as under a burst.
struct Burst {
    zones: usize,
    sends: Vec<ColdSends>,
    cold: Vec<ColdEndpoints>,
    arrivals: HashMap<EndpointKey, VecDeque<u64>>,
    total: usize,
    max_in_second: usize,
}

impl Burst {
    fn begin(fleet: &Fleet, zones: usize) -> Self {
        let entries = fleet.nodes.len();
        Self {
            zones,
            sends: vec![ColdSends::default(); entries],
            cold: vec![ColdEndpoints::default(); entries],
            arrivals: HashMap::new(),
            total: 0,
            max_in_second: 0,
        }
    }

    /// A restarted process has lost its state.
    fn reset(&mut self, index: usize) {
        self.sends[index] = ColdSends::default();
        self.cold[index] = ColdEndpoints::default();
    }

    fn run_ms(&mut self, fleet: &mut Fleet, span_ms: u64) {
        let end_ms = fleet.now_ms + span_ms;
        while fleet.now_ms < end_ms {
            self.sends.resize_with(fleet.nodes.len(), ColdSends::default);
            self.cold.resize_with(fleet.nodes.len(), ColdEndpoints::default);
            for index in 0..fleet.nodes.len() {
                if !fleet.nodes[index].is_silent {
                    self.send(fleet, index);
                }
            }
            fleet.step();
        }
    }

    fn send(&mut self, fleet: &Fleet, index: usize) {
        let (now_ms, node) = (fleet.now_ms, &fleet.nodes[index]);
        if (now_ms + node.offset_ms).is_multiple_of(TICK_MS) {
            let max_per_s = warmup::max_per_s_per_sender(PER_S, FACTOR, EXTRA);
            let allowed = |endpoint: usize| {
                let zone = ZONES[endpoint % self.zones];
                let is_sender = node.exchange.is_designated_sender(key(endpoint), zone);
                ColdLimit { until_ms: u64::MAX, max_per_s: if is_sender { max_per_s } else { 0 } }
            };
            self.cold[index].endpoints =
                (0..ENDPOINTS).map(|endpoint| (key(endpoint), allowed(endpoint))).collect();
        }
        for endpoint in (0..ENDPOINTS).map(key) {
            let is_known = !self.cold[index].endpoints.is_empty();
            if is_known && self.sends[index].has_room(endpoint, &self.cold[index], now_ms) {
                self.sends[index].record_send(endpoint, now_ms);
                self.arrive(endpoint, now_ms);
            }
        }
    }

    fn arrive(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let arrivals = self.arrivals.entry(endpoint).or_default();
        while arrivals.front().is_some_and(|at_ms| now_ms >= at_ms + 1_000) {
            arrivals.pop_front();
        }
        arrivals.push_back(now_ms);
        self.total += 1;
        self.max_in_second = self.max_in_second.max(arrivals.len());
    }
}

fn run_burst(entries: usize, zones: usize, faults: &[(Fault, f64, u64)]) -> Burst {
    let mut fleet = Fleet::open(entries, zones, 0.02);
    fleet.run_ms(2_500);
    let mut burst = Burst::begin(&fleet, zones);
    let mut dead = Vec::new();
    for (fault, share, pause_ms) in faults {
        let restarted = fleet.inject(zones, &mut dead, (*fault, *share));
        restarted.into_iter().for_each(|index| burst.reset(index));
        burst.run_ms(&mut fleet, *pause_ms);
    }
    burst
}

proptest! {
    #![proptest_config(crate::cases(60))]
    /// Guards against cold endpoints that crash because the sends of entries that do not know of
    /// each other add up.
    #[test]
    fn cold_endpoints_stay_within_the_bound(
        size in prop::sample::select(vec![(5, 3), (22, 3), (68, 5)]),
        faults in faults(),
    ) {
        let burst = run_burst(size.0, size.1, &faults);
        prop_assert!(burst.max_in_second as f64 <= BOUND, "{} arrivals in a second", burst.max_in_second);
    }
}

/// The same in the largest fleet, in which all entries restart together.
#[test]
fn the_largest_fleet_keeps_the_bound_while_all_entries_restart() {
    let faults = [
        (Fault::Split, 0.4, 2_500),
        (Fault::Kill, 1.0, 1_000),
        (Fault::Heal, 1.0, 4_000),
        (Fault::CutOff, 0.3, 3_000),
    ];
    let burst = run_burst(340, 7, &faults);
    assert!(burst.max_in_second as f64 <= BOUND, "{} arrivals in a second", burst.max_in_second);
}

/// Guards against a bound that is kept by sending nothing: cold endpoints would idle through a
/// burst.
#[test]
fn cold_endpoints_get_nearly_their_full_rate_in_a_stable_fleet() {
    for (entries, zones) in [(5, 3), (22, 3), (68, 5), (340, 7)] {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.run_ms(4_000);
        let mut burst = Burst::begin(&fleet, zones);
        burst.run_ms(&mut fleet, 5_000);
        let per_s = burst.total as f64 / 5.0 / ENDPOINTS as f64;
        println!("{entries} entries: {per_s} a second each, {} at most", burst.max_in_second);
        assert!(per_s >= 0.9 * PER_S, "{entries} entries: {per_s} a second");
        assert!(
            burst.max_in_second as f64 <= BOUND,
            "{entries} entries: {} in a second",
            burst.max_in_second
        );
    }
}

fn event(id: &str, cold_ms: u32, revision: u64) -> Event {
    Event { change: Change::Present(endpoint(id)), revision, cold_ms }
}

/// Guards against an endpoint that turns cold without any other change and is taken for warm by
/// entries that pull the list.
#[test]
fn peers_learn_that_an_endpoint_turned_cold() {
    let mut directory = Directory::default();
    directory.replace(vec![endpoint("one")], 10, None);
    let mut peer = directory.clone();
    assert!(directory.apply_events([event("one", 3_000, 11)].into_iter(), 11, None, 50_000));
    let key = EndpointKey::of("one");
    assert_eq!(directory.cold_until_ms(key, 50_100), Some(53_000));
    let cold = directory.cold(50_200);
    assert!(peer.adopt(directory, &[], &cold, 7_000));
    assert_eq!(peer.cold_until_ms(key, 7_001), Some(9_800));
    assert_eq!(peer.cold_until_ms(key, 9_800), None);
}

/// Guards against heartbeats with a decreasing cold time, each of which would have all entries pull
/// the whole list again.
#[test]
fn heartbeats_of_a_cold_endpoint_are_no_change() {
    let mut directory = Directory::default();
    directory.replace(vec![endpoint("one")], 10, None);
    assert!(directory.apply_events([event("one", 3_000, 11)].into_iter(), 11, None, 50_000));
    assert!(!directory.apply_events([event("one", 1_900, 12)].into_iter(), 12, None, 51_300));
    assert_eq!(directory.cold_until_ms(EndpointKey::of("one"), 51_300), Some(53_000));
    assert!(
        directory.apply_events([event("one", 3_000, 13)].into_iter(), 13, None, 52_000),
        "cold again"
    );
    assert!(!directory.apply_events([event("one", 0, 14)].into_iter(), 14, None, 52_500));
    assert_eq!(directory.cold_until_ms(EndpointKey::of("one"), 52_500), None);
}

/// Guards against an endpoint that restarts under its old id: the store shows only later that it is
/// cold.
#[test]
fn an_endpoint_that_refused_a_connection_is_tried_with_one_request_a_second() {
    let (mut sends, cold) = (ColdSends::default(), ColdEndpoints::default());
    let endpoint = EndpointKey::of("one");
    sends.record_refused(endpoint, 10_000);
    assert!(sends.has_room(endpoint, &cold, 10_100));
    sends.record_send(endpoint, 10_100);
    assert!(!sends.has_room(endpoint, &cold, 10_900));
    assert!(sends.has_room(endpoint, &cold, 12_000), "not reported as cold");
}

/// Guards against designated senders that add up while partitions form and heal and entries freeze.
#[test]
fn partitions_that_heal_keep_the_bound_of_cold_endpoints() {
    let faults = [
        (Fault::Split, 0.2138499146224673, 2_079),
        (Fault::Start, 0.13758011075345475, 1_833),
        (Fault::Freeze, 0.10105701120893512, 1_414),
        (Fault::Start, 0.8087050535340033, 3_132),
        (Fault::Heal, 0.8569412977169616, 435),
        (Fault::Split, 0.9446694854177541, 2_467),
        (Fault::Freeze, 0.17724805226470408, 1_407),
        (Fault::Heal, 0.9724002694868057, 2_731),
    ];
    let burst = run_burst(22, 3, &faults);
    assert!(burst.max_in_second as f64 <= BOUND, "{} arrivals in a second", burst.max_in_second);
}
