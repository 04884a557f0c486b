//! A fleet of entries on a virtual clock: membership, how fast load spreads, traffic and billing, while
//! datagrams are lost and entries die, freeze, start and take over.

use std::collections::BTreeMap;

use briarwinch::gateway::policy::load;
use rand::Rng;

use crate::virtual_fleet::{Fleet, SIZES, STEP_MS, WINDOW_MS, ZONES, key};

/// Guards against live entries that consider each other dead. Each of them would read the store, contend for
/// the duties and take a larger share of every budget.
#[test]
fn live_entries_are_never_considered_dead() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        let settled_ms = fleet.settles_within_ms(1_500);
        println!("{entries} entries know each other after {settled_ms} ms");
        for _ in 0..40 {
            fleet.run_ms(200);
            assert_eq!(fleet.known(), (entries - 1, entries - 1), "{entries} entries");
        }
    }
}

/// Guards against entries that wait for dead aggregators. The active and the standby aggregator of a zone die
/// together with other entries.
#[test]
fn deaths_including_aggregators_are_known_within_two_seconds() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.settles_within_ms(1_500);
        let first = fleet.nodes[0].exchange.peers.aggregators("b", fleet.now_ms);
        let victims: Vec<usize> = first.iter().map(|addr| fleet.index[addr]).collect();
        fleet.silence(|index| victims.contains(&index) || index % 9 == 4);
        let settled_ms = fleet.settles_within_ms(2_000);
        println!("{entries} entries detected the deaths after {settled_ms} ms");
    }
}

/// Guards against slow discovery while a fleet grows: by half in one step, then by three quarters.
#[test]
fn started_entries_are_known_everywhere_within_a_second() {
    // The last one grows to 341.
    for (entries, zones) in [(4, 2), (22, 3), (68, 5), (130, 7)] {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.settles_within_ms(1_500);
        for added in [entries / 2, entries * 9 / 8] {
            (0..added).for_each(|_| fleet.start(zones));
            let settled_ms = fleet.settles_within_ms(1_000);
            println!("{added} more are known after {settled_ms} ms");
        }
    }
}

/// Guards against slow discovery when all entries are killed together and restart a second later.
#[test]
fn entries_of_a_killed_fleet_rediscover_each_other() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.settles_within_ms(1_500);
        fleet.silence(|_| true);
        fleet.run_ms(1_000);
        (0..entries).for_each(|index| fleet.restart(index));
        let settled_ms = fleet.settles_within_ms(1_500);
        println!("{entries} entries know each other again after {settled_ms} ms");
    }
}

/// Guards against entries that send to engines which others have just filled. The load of each entry has to
/// be in the sums of all others within 300 ms, exactly once, and still once after an aggregator has died.
#[test]
fn load_is_known_everywhere_within_300_ms_and_summed_once() {
    const ENDPOINTS: usize = 200;
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(1_000);
        for index in 0..entries {
            for endpoint in 0..ENDPOINTS {
                if (index + endpoint) % 7 == 0 {
                    let work =
                        load::Work { requests: 1, unread_tokens: 1_000, ..load::Work::default() };
                    fleet.nodes[index].load_table.add(key(endpoint), work, fleet.now_ms);
                    fleet.nodes[index].has_urgent_work = true;
                }
            }
        }
        let check = |fleet: &Fleet, when: &str| {
            for node in fleet.nodes.iter().filter(|node| !node.is_silent) {
                for endpoint in 0..ENDPOINTS {
                    let living = fleet.nodes.iter().enumerate().filter(|(_, one)| !one.is_silent);
                    let expected = living.filter(|(index, _)| (index + endpoint) % 7 == 0).count();
                    let known =
                        node.load_table.work_at(key(endpoint), fleet.now_ms).requests as usize;
                    let role = node.exchange.role(fleet.now_ms);
                    assert_eq!(
                        known, expected,
                        "{when}, {entries} entries, {role:?} {}",
                        node.addr
                    );
                }
            }
        };
        fleet.run_ms(300);
        check(&fleet, "after 300 ms");
        let first = fleet.nodes[1].exchange.peers.aggregators(ZONES[1], fleet.now_ms)[0];
        let victim = fleet.index[&first];
        fleet.silence(|index| index == victim);
        fleet.run_ms(3_000);
        check(&fleet, "after a death");
    }
}

/// Guards against prompts that are prefilled again: all entries know where each prompt part was placed.
#[test]
fn placements_reach_every_entry() {
    use briarwinch::gateway::request::PromptPart;
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(500);
        for index in 0..entries {
            let part = PromptPart { id: index as u64, tokens: 3_000 };
            fleet.nodes[index].prefix_index.record_sent(key(index), &[part], fleet.now_ms);
        }
        fleet.run_ms(300);
        for node in &fleet.nodes {
            let is_missing = |index: &usize| {
                let part = PromptPart { id: *index as u64, tokens: 3_000 };
                node.prefix_index.cached_tokens(key(*index), &[part], fleet.now_ms) == 0
            };
            assert_eq!((0..entries).filter(is_missing).count(), 0, "{entries} entries");
        }
    }
}

/// Guards against traffic that grows with the square of the fleet. Without requests, an entry sends at most
/// 13 kB/s on average, and at most 2 kB/s of that per entry passes between zones.
#[test]
fn idle_traffic_is_bounded_at_any_size() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(3_000);
        let before: Vec<usize> = fleet.nodes.iter().map(|node| node.sent_bytes).collect();
        let between = fleet.between_zones_bytes;
        fleet.run_ms(5_000);
        let mut sent: Vec<usize> = fleet.nodes.iter().map(|node| node.sent_bytes).collect();
        sent.iter_mut().zip(before).for_each(|(sent, before)| *sent = (*sent - before) / 5);
        sent.sort_unstable();
        let mean = sent.iter().sum::<usize>() / entries;
        let between = (fleet.between_zones_bytes - between) / 5;
        println!(
            "{entries} entries: {mean} B/s sent each, median {}, most {}, {between} B/s between zones",
            sent[entries / 2],
            sent[entries - 1]
        );
        assert!(mean <= 13_000, "{entries} entries: {mean} B/s");
        assert!(between / entries <= 2_000, "{entries} entries: {between} B/s between zones");
    }
}

/// Requests per billing window of a run.
struct Billed {
    /// As counted by the test.
    expected: BTreeMap<u64, u32>,
    /// As sealed by the holder of the duties.
    sealed: BTreeMap<u64, u32>,
}

/// Runs a fleet whose entries count requests for several windows while the holder seals them. Calls `disturb`
/// before each step.
fn bill(entries: usize, zones: usize, mut disturb: impl FnMut(&mut Fleet, u64)) -> Billed {
    let mut fleet = Fleet::open(entries, zones, 0.02);
    fleet.run_ms(2_000);
    let mut billed = Billed { expected: BTreeMap::new(), sealed: BTreeMap::new() };
    let mut saved = Default::default();
    let (mut vacant_ms, mut held_ms) = (0, 0);
    let begin_ms = fleet.now_ms;
    while fleet.now_ms < begin_ms + 5 * WINDOW_MS {
        let passed_ms = fleet.now_ms - begin_ms;
        disturb(&mut fleet, passed_ms);
        let now_ms = fleet.now_ms;
        let window = now_ms / WINDOW_MS;
        for index in 0..fleet.nodes.len() {
            if !fleet.nodes[index].is_silent && fleet.random.random_bool(0.05) {
                let account = format!("account-{}", fleet.random.random_range(0..40));
                let boot = fleet.nodes[index].boot;
                fleet.nodes[index].tally.add(boot, window, &account);
                *billed.expected.entry(window).or_default() += 1;
            }
        }
        let holder = fleet.nodes.iter().position(|node| node.holds_duties && !node.is_silent);
        match holder {
            Some(index) => {
                vacant_ms = 0;
                held_ms += STEP_MS;
                let node = &fleet.nodes[index];
                let due = (window - 4..window).find(|one| !billed.sealed.contains_key(one));
                if let Some(due) = due {
                    let live = node.exchange.peers.boots_since(due * WINDOW_MS);
                    if node.watermarks.may_seal((due + 1) * WINDOW_MS, now_ms, held_ms, true, live)
                    {
                        let counts = node.tally.sum(due).values().sum();

                        billed.sealed.insert(due, counts);
                    }
                }
                if now_ms.is_multiple_of(200) {
                    saved = node.tally.save(window - 4);
                }
            }
            None => {
                // The lease of a dead holder has to expire first.
                vacant_ms += STEP_MS;
                held_ms = 0;
                if vacant_ms >= 5_000 || passed_ms == 0 {
                    fleet.nodes.iter_mut().for_each(|node| node.holds_duties = false);
                    let next = fleet.nodes.iter_mut().find(|node| !node.is_silent);
                    let next = next.expect("an entry lives");
                    next.holds_duties = true;
                    next.tally.load(&saved);
                }
            }
        }
        fleet.step();
    }
    // The first window began before the counting, and the last one has not ended.
    let (first, last) = (begin_ms / WINDOW_MS, fleet.now_ms / WINDOW_MS);
    billed.expected.retain(|window, _| (first + 1..last - 2).contains(window));
    billed
}

impl Billed {
    fn check(&self, what: &str, tolerance: f64) {
        assert!(self.expected.len() >= 2, "{what}: {:?}", self.expected);
        for (window, expected) in &self.expected {
            let sealed = self.sealed.get(window).copied().unwrap_or(0);
            let off = f64::from(expected.abs_diff(sealed)) / f64::from(*expected);
            assert!(off <= tolerance, "{what}: window {window} has {sealed} of {expected}");
        }
    }
}

/// Guards against a split fleet after half of a zone was frozen together. Entries that know only each other
/// would remain a fleet of their own: they would read the store and contend for the duties, and their
/// requests would not be billed.
#[test]
fn entries_frozen_together_rejoin_the_fleet() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.settles_within_ms(1_500);
        let is_frozen = |index: usize| index % (2 * zones) == zones - 1;
        fleet.silence(is_frozen);
        fleet.run_ms(4_000);
        let nodes = fleet.nodes.iter_mut().enumerate();
        nodes.filter(|(index, _)| is_frozen(*index)).for_each(|(_, node)| node.is_silent = false);
        let settled_ms = fleet.settles_within_ms(2_000);
        println!("{entries} entries know each other again after {settled_ms} ms");
    }
}

/// Guards against windows that are sealed before the counts of all entries have arrived, so that accounts are
/// billed for less than they used.
#[test]
fn windows_are_billed_exactly_at_any_size() {
    for (entries, zones) in SIZES {
        bill(entries, zones, |_, _| {}).check(&format!("{entries} entries"), 0.001);
    }
}

/// Guards against lost counts of entries that are cut off at the end of a window for a little longer than the
/// peer timeout. They continue to serve requests, which have to be billed.
#[test]
fn windows_wait_for_entries_that_are_cut_off() {
    for (entries, zones) in [(22, 3), (68, 5)] {
        let billed = bill(entries, zones, |fleet, passed_ms| {
            let is_cut_off = |index: usize| index % 4 == 3;
            // The first full window ends 3 s after counting begins, the next ones every 5 s.
            let begins = [6_000, 11_000].contains(&passed_ms);
            let ends = [10_500, 15_500].contains(&passed_ms);
            if begins || ends {
                let nodes = fleet.nodes.iter_mut().enumerate();
                nodes
                    .filter(|(index, _)| is_cut_off(*index))
                    .for_each(|(_, node)| node.is_cut_off = begins);
            }
        });
        billed.check(&format!("{entries} entries"), 0.001);
    }
}

/// Guards against windows outside the billing tolerance of 5 % while entries die, freeze and start and the
/// holder of the duties dies.
#[test]
fn windows_are_billed_within_the_tolerance_while_entries_come_and_go() {
    // The last one grows to 339.
    for (entries, zones) in [(22, 3), (68, 5), (226, 7)] {
        let billed = bill(entries, zones, |fleet, passed_ms| match passed_ms {
            6_000 => fleet.silence(|index| index % 20 == 7),
            7_500 => (0..entries / 2).for_each(|_| fleet.start(zones)),
            9_000 => fleet.silence(|index| index % 10 == 3),
            // These were frozen and continue with their state.
            11_500 => {
                let frozen =
                    fleet.nodes.iter_mut().enumerate().filter(|(index, _)| index % 10 == 3);
                frozen.for_each(|(_, node)| node.is_silent = false);
            }
            12_700 => {
                let holder = fleet.nodes.iter().position(|node| node.holds_duties);
                fleet.silence(|index| Some(index) == holder);
            }
            _ => {}
        });
        billed.check(&format!("{entries} entries"), 0.05);
    }
}
