//! Turning prompts away: the less urgent first, and never the other way round.

use briarwinch::gateway::policy::gate::{self, Gate};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

proptest! {
    #![proptest_config(crate::cases(200))]
    #[test]
    fn whoever_is_admitted_so_is_the_more_urgent(
        free_share in 0.0..1.0_f64, priority in 1_u8..9,
    ) {
        if gate::admits(priority, free_share) {
            prop_assert!(gate::admits(priority - 1, free_share));
        }
    }
}

#[test]
fn most_urgent_requests_are_sent_also_when_no_engine_is_free() {
    assert!(gate::admits(0, 0.0));
    assert!(!gate::admits(1, 0.0));
    assert!(!gate::admits(2, 0.2));
    assert!(gate::admits(2, 0.5));
}

/// Two entries see the engines at different moments. One turns a drafting request away while the
/// other still sends long summaries. A user whose request is the more urgent gets nothing, while
/// less urgent and larger ones begin.
#[test]
fn less_urgent_requests_wait_after_a_more_urgent_one_was_turned_away_elsewhere() {
    let (here, there) = (Gate::default(), Gate::default());
    assert!(!here.passes(1, 1, 0.0, 50_000));
    there.take(here.ages(50_100), 90_100);
    assert!(!there.passes(2, 2, 1.0, 90_200), "the other entry was told");
    assert!(there.passes(1, 1, 1.0, 90_200), "its own rank is not held off");
    assert!(there.passes(2, 2, 1.0, 93_000), "the hold-off ends");
}

/// Summaries were sent until a moment ago, and now hardly any engine is free. Were all drafting
/// requests turned away at once, their users would get nothing in the same seconds in which less
/// urgent and larger requests begin.
#[test]
fn few_requests_are_turned_away_while_less_urgent_ones_were_sent_lately() {
    let gate = Gate::default();
    assert!(gate.passes(2, 2, 1.0, 10_000));
    let turned_away = (0..64).filter(|step| !gate.passes(1, 1, 0.0, 10_100 + step * 50)).count();
    assert!(turned_away <= 4, "{turned_away} of 64");
    assert!(!gate.passes(2, 2, 1.0, 13_400), "nothing less urgent is sent meanwhile");
    let later = (0..64).filter(|step| !gate.passes(1, 1, 0.0, 16_000 + step * 10)).count();
    assert_eq!(later, 64, "nothing less urgent was sent for long");
}

/// A client account has a low priority of its own. Its drafting requests are turned away first, but
/// they are drafting requests still, and of these too few must not get nothing.
#[test]
fn what_a_kind_of_request_is_owed_does_not_hang_on_the_accounts_priority() {
    let gate = Gate::default();
    assert!(gate.passes(0, 2, 1.0, 10_000), "a summary of an urgent account");
    let turned_away = (0..32).filter(|step| !gate.passes(3, 1, 0.1, 10_100 + step * 50)).count();
    assert!(turned_away <= 2, "{turned_away} of 32");
}

/// Engines that take only so many requests a second, over a while in which more requests come than they take.
struct Scarce {
    gates: Vec<Gate>,
    /// When the next place falls due at each entry.
    due_ms: Vec<u64>,
    /// Requests that wait: entry, priority, until when.
    waiting: Vec<(usize, u8, u64)>,
    given_up: Vec<(u64, u8)>,
    begun: Vec<(u64, u8)>,
}

impl Scarce {
    const ENTRIES: usize = 4;
    const STEP_MS: u64 = 25;
    const PLACE_MS: u64 = 225;
    /// How long requests of each priority wait for an endpoint.
    const HOLD_MS: [u64; 3] = [24, 48, 120];
    /// Mean time between two requests of each priority at an entry.
    const PAUSE_MS: [u64; 3] = [200, 360, 170];

    fn play() -> Self {
        let mut random = StdRng::seed_from_u64(crate::SEED);
        let entries = 0..Self::ENTRIES;
        let mut scarce = Self {
            gates: entries.clone().map(|_| Gate::default()).collect(),
            due_ms: entries.map(|entry| 60_000 + 55 * entry as u64).collect(),
            waiting: Vec::new(),
            given_up: Vec::new(),
            begun: Vec::new(),
        };
        for now_ms in (60_000..90_000).step_by(Self::STEP_MS as usize) {
            if now_ms % 100 == 0 {
                scarce.tell(now_ms);
            }
            for entry in 0..Self::ENTRIES {
                for priority in 0..3 {
                    let part = Self::STEP_MS as f64 / Self::PAUSE_MS[priority] as f64;
                    if random.random_bool(part) {
                        let until_ms = now_ms + Self::HOLD_MS[priority];
                        scarce.waiting.push((entry, priority as u8, until_ms));
                    }
                }
            }
            scarce.look(now_ms);
        }
        scarce
    }

    /// The entries tell each other of their gates.
    fn tell(&self, now_ms: u64) {
        let told: Vec<gate::Ages> = self.gates.iter().map(|gate| gate.ages(now_ms)).collect();
        for gate in &self.gates {
            told.iter().for_each(|ages| gate.take(*ages, now_ms));
        }
    }

    /// Each request that waits looks for a place once.
    fn look(&mut self, now_ms: u64) {
        for (entry, priority, until_ms) in std::mem::take(&mut self.waiting) {
            let gate = &self.gates[entry];
            if now_ms >= self.due_ms[entry] {
                if gate.passes(priority, priority, 1.0, now_ms) {
                    self.due_ms[entry] = now_ms + Self::PLACE_MS;
                    self.begun.push((now_ms, priority));
                }
            } else if now_ms > until_ms {
                gate.found_no_place(priority, now_ms);
                self.given_up.push((now_ms, priority));
            } else {
                self.waiting.push((entry, priority, until_ms));
            }
        }
    }
}

/// Guards against urgent requests that get nothing because less urgent ones, which wait longer, take the few
/// places as they fall due.
#[test]
fn less_urgent_requests_begin_nowhere_while_more_urgent_ones_find_no_place() {
    const NEWS_MS: u64 = 200;
    const HELD_OFF_MS: u64 = 1_500;
    let scarce = Scarce::play();
    let overtaken = scarce.given_up.iter().filter(|(given_up_ms, priority)| {
        let after = given_up_ms + NEWS_MS..given_up_ms + HELD_OFF_MS;
        scarce.begun.iter().any(|(at_ms, other)| other > priority && after.contains(at_ms))
    });
    assert_eq!(overtaken.count(), 0, "of {} given up", scarce.given_up.len());
    assert!(scarce.given_up.len() > 100, "places were scarce");
    assert!(scarce.begun.iter().any(|(_, priority)| *priority == 0), "the most urgent are served");
}

#[test]
fn nothing_is_held_off_before_anything_was_turned_away() {
    let gate = Gate::default();
    assert!(gate.passes(3, 3, 1.0, 100));
    gate.take(Gate::default().ages(1_000_000), 100);
    assert!(gate.passes(3, 3, 1.0, 100));
}
