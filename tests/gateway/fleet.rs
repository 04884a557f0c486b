//! A fleet on a virtual clock: who knows whom, what work is known where and how soon, what it costs, and
//! what is billed, while datagrams are lost and entries die, freeze, start and take over.

use std::collections::BTreeMap;

use briarwinch::gateway::policy::load;
use rand::Rng;

use crate::virtual_fleet::{Fleet, SIZES, STEP_MS, WINDOW_MS, ZONES, key};

/// Live entries that take each other for gone each read the store, contend for the duties and take a
/// larger share of every budget.
#[test]
fn live_entries_are_never_taken_for_gone() {
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

/// The one that aggregates and the one that stands by die together with others. Who goes on taking them
/// for alive waits for them.
#[test]
fn deaths_are_known_within_two_seconds_even_of_those_that_aggregate() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.settles_within_ms(1_500);
        let first = fleet.nodes[0].exchange.peers.aggregators("b", fleet.now_ms);
        let victims: Vec<usize> = first.iter().map(|addr| fleet.index[addr]).collect();
        fleet.silence(|index| victims.contains(&index) || index % 9 == 4);
        let settled_ms = fleet.settles_within_ms(2_000);
        println!("{entries} entries know of deaths after {settled_ms} ms");
    }
}

/// Half of the fleet starts at once, then three quarters of what there is by then.
#[test]
fn entries_that_start_are_known_everywhere_within_a_second() {
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

/// All entries are killed at once and are back a second later.
#[test]
fn a_fleet_that_was_killed_knows_itself_again_within_a_second() {
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

/// Entries send to engines that others have just filled, because they do not know of it yet. What one
/// entry has under way is known to all within three tenths of a second, also while an aggregator dies.
#[test]
fn work_is_known_everywhere_in_a_moment_and_summed_once() {
    const ENDPOINTS: usize = 200;
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(1_000);
        for index in 0..entries {
            for endpoint in 0..ENDPOINTS {
                if (index + endpoint) % 7 == 0 {
                    let work = load::Work { requests: 1, unread_tokens: 1_000 };
                    fleet.nodes[index].book.add(key(endpoint), work, fleet.now_ms);
                    fleet.nodes[index].has_news = true;
                }
            }
        }
        let check = |fleet: &Fleet, when: &str| {
            for node in fleet.nodes.iter().filter(|node| !node.is_silent) {
                for endpoint in 0..ENDPOINTS {
                    let living = fleet.nodes.iter().enumerate().filter(|(_, one)| !one.is_silent);
                    let expected = living.filter(|(index, _)| (index + endpoint) % 7 == 0).count();
                    let known = node.book.at(key(endpoint), fleet.now_ms).requests as usize;
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
        check(&fleet, "after a moment");
        let first = fleet.nodes[1].exchange.peers.aggregators(ZONES[1], fleet.now_ms)[0];
        let victim = fleet.index[&first];
        fleet.silence(|index| index == victim);
        fleet.run_ms(3_000);
        check(&fleet, "after a death");
    }
}

/// Prompt parts that one entry has placed are known to all, so that nobody has them read again.
#[test]
fn placed_parts_reach_every_entry() {
    use briarwinch::gateway::request::PromptPart;
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(500);
        for index in 0..entries {
            let part = PromptPart { id: index as u64, tokens: 3_000 };
            fleet.nodes[index].homes.place(key(index), &[part], fleet.now_ms);
        }
        fleet.run_ms(300);
        for node in &fleet.nodes {
            let is_missing = |index: &usize| {
                let part = PromptPart { id: *index as u64, tokens: 3_000 };
                node.homes.known_tokens(key(*index), &[part], fleet.now_ms) == 0
            };
            assert_eq!((0..entries).filter(is_missing).count(), 0, "{entries} entries");
        }
    }
}

/// Without callers' traffic an entry of the largest fleet sends less than 13 kB a second, those that
/// aggregate apart, and the bytes between zones do not grow with the square of the fleet.
#[test]
fn telling_costs_little_at_any_size() {
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

/// What became of the windows of a run.
struct Billed {
    truth: BTreeMap<u64, u32>,
    sealed: BTreeMap<u64, u32>,
}

/// Entries count requests for some windows while `disturb` is called before each step; the holder seals.
fn bill(entries: usize, zones: usize, mut disturb: impl FnMut(&mut Fleet, u64)) -> Billed {
    let mut fleet = Fleet::open(entries, zones, 0.02);
    fleet.run_ms(2_000);
    let mut billed = Billed { truth: BTreeMap::new(), sealed: BTreeMap::new() };
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
                *billed.truth.entry(window).or_default() += 1;
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
                    if node.settled.may_seal((due + 1) * WINDOW_MS, now_ms, held_ms, true, live) {
                        let counts = node.tally.sum(due).values().sum();

                        billed.sealed.insert(due, counts);
                    }
                }
                if now_ms.is_multiple_of(200) {
                    saved = node.tally.save(window - 4);
                }
            }
            None => {
                // The lease of a holder that died has to run out.
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
    // The first window began before the counting, the last one is not over.
    let (first, last) = (begin_ms / WINDOW_MS, fleet.now_ms / WINDOW_MS);
    billed.truth.retain(|window, _| (first + 1..last - 2).contains(window));
    billed
}

impl Billed {
    fn check(&self, what: &str, tolerance: f64) {
        assert!(self.truth.len() >= 2, "{what}: {:?}", self.truth);
        for (window, truth) in &self.truth {
            let sealed = self.sealed.get(window).copied().unwrap_or(0);
            let off = f64::from(truth.abs_diff(sealed)) / f64::from(*truth);
            assert!(off <= tolerance, "{what}: window {window} has {sealed} of {truth}");
        }
    }
}

/// All entries of a zone but a few freeze together, and go on. Those that know only each other would be a
/// fleet of their own for good: they would read the store, contend for the duties and be billed by nobody.
#[test]
fn entries_that_were_frozen_together_come_back_into_the_fleet() {
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

/// A window sealed before the counts of all entries are in bills accounts for less than they used.
#[test]
fn windows_are_billed_exactly_at_any_size() {
    for (entries, zones) in SIZES {
        bill(entries, zones, |_, _| {}).check(&format!("{entries} entries"), 0.001);
    }
}

/// Entries are cut off from the others at the end of a window for a little longer than it takes to count them
/// as gone. They go on serving, and what they counted is owed.
#[test]
fn windows_wait_for_entries_that_may_only_be_cut_off() {
    for (entries, zones) in [(22, 3), (68, 5)] {
        let billed = bill(entries, zones, |fleet, passed_ms| {
            let is_cut_off = |index: usize| index % 4 == 3;
            // The first full window ends 3 s after the count begins, the next ones every 5 s.
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

/// Entries die, freeze for a while, start, and the holder dies: every window is within the tolerance that
/// operators allow.
#[test]
fn windows_are_billed_within_the_tolerance_while_entries_come_and_go() {
    // The last one grows to 339.
    for (entries, zones) in [(22, 3), (68, 5), (226, 7)] {
        let billed = bill(entries, zones, |fleet, passed_ms| match passed_ms {
            6_000 => fleet.silence(|index| index % 20 == 7),
            7_500 => (0..entries / 2).for_each(|_| fleet.start(zones)),
            9_000 => fleet.silence(|index| index % 10 == 3),
            // Those were frozen, and go on where they were.
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
