//! Cold endpoints: whatever entries know of each other, together they send no more than one bears.

use std::collections::{HashMap, VecDeque};

use briarwinch::gateway::directory::{Change, Directory, EndpointKey, Event};
use briarwinch::gateway::policy::warmup::{self, Allowed, Sends, Warming};
use proptest::prelude::*;

use crate::directory::endpoint;
use crate::virtual_fleet::{Fleet, TICK_MS, Trouble, ZONES, key, troubles};

const PER_S: f64 = 6.7;
const FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;
/// What an endpoint bears in any second.
const BOUND: f64 = PER_S * FACTOR + EXTRA;
const ENDPOINTS: usize = 7;

/// Entries that send to cold endpoints whenever they may, as under a burst.
struct Burst {
    zones: usize,
    sends: Vec<Sends>,
    warming: Vec<Warming>,
    arrivals: HashMap<EndpointKey, VecDeque<u64>>,
    total: usize,
    most: usize,
}

impl Burst {
    fn begin(fleet: &Fleet, zones: usize) -> Self {
        let entries = fleet.nodes.len();
        Self {
            zones,
            sends: vec![Sends::default(); entries],
            warming: vec![Warming::default(); entries],
            arrivals: HashMap::new(),
            total: 0,
            most: 0,
        }
    }

    /// What the entry knew is lost with its process.
    fn forget(&mut self, index: usize) {
        self.sends[index] = Sends::default();
        self.warming[index] = Warming::default();
    }

    fn run_ms(&mut self, fleet: &mut Fleet, span_ms: u64) {
        let end_ms = fleet.now_ms + span_ms;
        while fleet.now_ms < end_ms {
            self.sends.resize_with(fleet.nodes.len(), Sends::default);
            self.warming.resize_with(fleet.nodes.len(), Warming::default);
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
            let most_per_s = warmup::most_per_s(PER_S, FACTOR, EXTRA);
            let allowed = |endpoint: usize| {
                let zone = ZONES[endpoint % self.zones];
                let keeps = node.exchange.keeps(key(endpoint), zone);
                Allowed { until_ms: u64::MAX, most_per_s: if keeps { most_per_s } else { 0 } }
            };
            self.warming[index].endpoints =
                (0..ENDPOINTS).map(|endpoint| (key(endpoint), allowed(endpoint))).collect();
        }
        for endpoint in (0..ENDPOINTS).map(key) {
            let is_known = !self.warming[index].endpoints.is_empty();
            if is_known && self.sends[index].has_room(endpoint, &self.warming[index], now_ms) {
                self.sends[index].note(endpoint, now_ms);
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
        self.most = self.most.max(arrivals.len());
    }
}

fn play(entries: usize, zones: usize, troubles: &[(Trouble, f64, u64)]) -> Burst {
    let mut fleet = Fleet::open(entries, zones, 0.02);
    fleet.run_ms(2_500);
    let mut burst = Burst::begin(&fleet, zones);
    let mut dead = Vec::new();
    for (trouble, share, pause_ms) in troubles {
        let restarted = fleet.strike(zones, &mut dead, (*trouble, *share));
        restarted.into_iter().for_each(|index| burst.forget(index));
        burst.run_ms(&mut fleet, *pause_ms);
    }
    burst
}

proptest! {
    #![proptest_config(crate::cases(60))]
    /// Guards against cold endpoints that crash because entries that don't hear of each other add up.
    #[test]
    fn cold_endpoints_get_no_more_than_they_bear(
        size in prop::sample::select(vec![(5, 3), (22, 3), (68, 5)]),
        troubles in troubles(),
    ) {
        let burst = play(size.0, size.1, &troubles);
        prop_assert!(burst.most as f64 <= BOUND, "{} in a second", burst.most);
    }
}

/// Guards against the same in the largest fleet, in which all start again at once.
#[test]
fn the_largest_fleet_keeps_the_bound_while_all_start_again() {
    let troubles = [
        (Trouble::Split, 0.4, 2_500),
        (Trouble::Kill, 1.0, 1_000),
        (Trouble::Heal, 1.0, 4_000),
        (Trouble::CutOff, 0.3, 3_000),
    ];
    let burst = play(340, 7, &troubles);
    assert!(burst.most as f64 <= BOUND, "{} in a second", burst.most);
}

/// Guards against a bound that is kept by sending nothing: cold endpoints would idle through a burst.
#[test]
fn cold_endpoints_get_nearly_what_they_bear_in_calm() {
    for (entries, zones) in [(5, 3), (22, 3), (68, 5), (340, 7)] {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.run_ms(4_000);
        let mut burst = Burst::begin(&fleet, zones);
        burst.run_ms(&mut fleet, 5_000);
        let per_s = burst.total as f64 / 5.0 / ENDPOINTS as f64;
        println!("{entries} entries: {per_s} a second each, {} at most", burst.most);
        assert!(per_s >= 0.9 * PER_S, "{entries} entries: {per_s} a second");
        assert!(burst.most as f64 <= BOUND, "{entries} entries: {} in a second", burst.most);
    }
}

fn told(id: &str, cold_ms: u32, revision: u64) -> Event {
    Event { change: Change::Present(endpoint(id)), revision, cold_ms }
}

/// Guards against an endpoint that turns cold without any other change and is taken for warm by who pulls.
#[test]
fn endpoints_that_turn_cold_are_news_also_for_peers() {
    let mut directory = Directory::default();
    directory.replace(vec![endpoint("one")], 10, None);
    let mut peer = directory.clone();
    assert!(directory.apply_events([told("one", 3_000, 11)].into_iter(), 11, None, 50_000));
    let key = EndpointKey::of("one");
    assert_eq!(directory.cold_until_ms(key, 50_100), Some(53_000));
    let cold = directory.cold(50_200);
    assert!(peer.adopt(directory, &[], &cold, 7_000));
    assert_eq!(peer.cold_until_ms(key, 7_001), Some(9_800));
    assert_eq!(peer.cold_until_ms(key, 9_800), None);
}

/// Guards against beats that count down: each would have all entries pull the whole list again.
#[test]
fn the_beats_of_a_cold_endpoint_are_no_news() {
    let mut directory = Directory::default();
    directory.replace(vec![endpoint("one")], 10, None);
    assert!(directory.apply_events([told("one", 3_000, 11)].into_iter(), 11, None, 50_000));
    assert!(!directory.apply_events([told("one", 1_900, 12)].into_iter(), 12, None, 51_300));
    assert_eq!(directory.cold_until_ms(EndpointKey::of("one"), 51_300), Some(53_000));
    assert!(
        directory.apply_events([told("one", 3_000, 13)].into_iter(), 13, None, 52_000),
        "cold again"
    );
    assert!(!directory.apply_events([told("one", 0, 14)].into_iter(), 14, None, 52_500));
    assert_eq!(directory.cold_until_ms(EndpointKey::of("one"), 52_500), None);
}

/// Guards against an endpoint that restarts under its old id: the store tells only later that it is cold.
#[test]
fn an_endpoint_that_refused_a_connection_is_tried_with_one_request_a_second() {
    let (mut sends, warming) = (Sends::default(), Warming::default());
    let endpoint = EndpointKey::of("one");
    sends.refused(endpoint, 10_000);
    assert!(sends.has_room(endpoint, &warming, 10_100));
    sends.note(endpoint, 10_100);
    assert!(!sends.has_room(endpoint, &warming, 10_900));
    assert!(sends.has_room(endpoint, &warming, 12_000), "it said nothing of being cold");
}

/// Guards against keepers that add up while islands of entries form, freeze and come together again.
#[test]
fn islands_that_come_together_again_keep_the_bound_of_cold_endpoints() {
    let troubles = [
        (Trouble::Split, 0.2138499146224673, 2_079),
        (Trouble::Start, 0.13758011075345475, 1_833),
        (Trouble::Freeze, 0.10105701120893512, 1_414),
        (Trouble::Start, 0.8087050535340033, 3_132),
        (Trouble::Heal, 0.8569412977169616, 435),
        (Trouble::Split, 0.9446694854177541, 2_467),
        (Trouble::Freeze, 0.17724805226470408, 1_407),
        (Trouble::Heal, 0.9724002694868057, 2_731),
    ];
    let burst = play(22, 3, &troubles);
    assert!(burst.most as f64 <= BOUND, "{} in a second", burst.most);
}
