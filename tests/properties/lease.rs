//! Property tests of leases: at most one daemon considers itself the holder at any time.

use std::collections::HashMap;

use briarwinch::lease::{Contender, Epoch, Record, Step, TIMING, TermNotice, VersionedRecord};
use briarwinch::orders::Fence;
use briarwinch::store::{self, Era};
use proptest::prelude::*;

/// Faults and delays of one call of a daemon to the store.
#[derive(Clone, Copy, Debug)]
struct CallFaults {
    out_ms: u64,
    back_ms: u64,
    answer_lost: bool,
    down: bool,
    /// The daemon is frozen for this long after the call.
    frozen_ms: u64,
    /// The read returns the version before the newest.
    stale: bool,
}

fn call_faults() -> impl Strategy<Value = CallFaults> {
    (
        0..900_u64,
        0..900_u64,
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
        prop_oneof![8 => Just(0_u64), 2 => 0..20_000_u64],
        prop::bool::weighted(0.1),
    )
        .prop_map(|(out_ms, back_ms, answer_lost, down, frozen_ms, stale)| CallFaults {
            out_ms,
            back_ms,
            answer_lost,
            down,
            frozen_ms,
            stale,
        })
}

#[derive(Clone, Debug)]
enum Effect {
    Read,
    Write { if_version: u64, record: Record },
}

/// A call in flight, with the times at which it takes effect and at which the daemon continues.
#[derive(Clone, Debug)]
struct InFlight {
    effect: Effect,
    sent_ms: u64,
    effect_at_ms: u64,
    continue_at_ms: u64,
    faults: CallFaults,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
enum Outcome {
    Read(VersionedRecord),
    Written(u64),
    Conflict,
    Nothing,
}

struct Daemon {
    contender: Contender,
    in_flight: Option<InFlight>,
    wait_until_ms: u64,
    /// Offset of the daemon's clock from true time.
    clock_offset_ms: u64,
}

/// How often daemons send each other notices about their leases.
const NOTICE_INTERVAL_MS: u64 = 500;

/// A notice in flight from a holder to all other contenders.
#[derive(Clone, Copy, Debug)]
struct Message {
    from: usize,
    notice: TermNotice,
    at_ms: u64,
}

#[derive(Default)]
struct Store {
    /// The records with the time of their writing.
    history: Vec<(u64, Record)>,
    era: Era,
}

impl Store {
    fn seen(&self, stale: bool) -> VersionedRecord {
        let count = self.history.len() - usize::from(stale && !self.history.is_empty());
        VersionedRecord {
            version: self.era.version(count as u64),
            record: count.checked_sub(1).map(|at| self.history[at].1.clone()),
        }
    }

    /// Applies a call. A write of an older era takes effect if the object has its revision again.
    fn apply(&mut self, effect: &Effect, faults: CallFaults, now_ms: u64) -> Outcome {
        if faults.down {
            return Outcome::Nothing;
        }
        let outcome = match effect {
            Effect::Read => Outcome::Read(self.seen(faults.stale)),
            Effect::Write { if_version, .. }
                if store::revision(*if_version) != self.history.len() as u64 =>
            {
                Outcome::Conflict
            }
            Effect::Write { record, .. } => {
                self.history.push((now_ms, record.clone()));
                Outcome::Written(self.era.version(self.history.len() as u64))
            }
        };
        if faults.answer_lost { Outcome::Nothing } else { outcome }
    }

    /// Comes back from a copy of this time, which has the first record at least.
    fn restore(&mut self, copy_ms: u64) {
        let kept = self.history.iter().filter(|(at_ms, _)| *at_ms <= copy_ms).count();
        self.history.truncate(kept.max(1));
        self.era = Era(self.era.0 + 1);
    }
}

impl Daemon {
    fn start(number: usize, boot: u64, clock_offset_ms: u64, at_ms: u64) -> Self {
        let name = format!("entry-{number}").into();
        Self {
            contender: Contender::with_exclusive_name(name, boot, TIMING),
            in_flight: None,
            wait_until_ms: at_ms,
            clock_offset_ms,
        }
    }

    /// Returns the notice for the other contenders, unless the daemon is frozen.
    fn notice(&self, true_ms: u64) -> Option<TermNotice> {
        let is_frozen = self.in_flight.as_ref().is_some_and(|call| call.faults.frozen_ms > 0);
        if is_frozen { None } else { self.contender.notice(self.clock(true_ms)) }
    }

    fn clock(&self, true_ms: u64) -> u64 {
        true_ms + self.clock_offset_ms
    }

    fn advance(
        &mut self,
        true_ms: u64,
        store: &mut Store,
        next_calls: &mut impl Iterator<Item = CallFaults>,
    ) {
        let clock = self.clock(true_ms);
        if let Some(call) = &mut self.in_flight {
            if call.outcome.is_none() && true_ms >= call.effect_at_ms {
                call.outcome = Some(store.apply(&call.effect, call.faults, true_ms));
            }
            if true_ms < call.continue_at_ms {
                return;
            }
            let call = self.in_flight.take().expect("matched above");
            match (&call.effect, call.outcome.expect("the effect comes first")) {
                (Effect::Read, Outcome::Read(seen)) => {
                    self.contender.read(seen, call.sent_ms, clock);
                }
                (Effect::Write { .. }, Outcome::Written(version)) => {
                    self.contender.written(version, clock);
                }
                (Effect::Write { .. }, Outcome::Conflict) => self.contender.refused(clock),
                (Effect::Write { .. }, _) => self.contender.no_answer(clock),
                (Effect::Read, _) => {}
            }
        }
        if true_ms < self.wait_until_ms {
            return;
        }
        let effect = match self.contender.step(clock) {
            Step::Read => Effect::Read,
            Step::Write(write) => {
                Effect::Write { if_version: write.if_version, record: write.record }
            }
            Step::WaitUntil(at_ms) => {
                self.wait_until_ms = at_ms - self.clock_offset_ms;
                return;
            }
        };
        let faults = next_calls.next().expect("an infinite iterator");
        let effect_at_ms = true_ms + faults.out_ms;
        let continue_at_ms = effect_at_ms + faults.back_ms + faults.frozen_ms;
        self.in_flight = Some(InFlight {
            effect,
            sent_ms: clock,
            effect_at_ms,
            continue_at_ms,
            faults,
            outcome: None,
        });
    }
}

/// Time at which the faults end. From then on the holder is killed every `KILL_EVERY_MS` until one daemon
/// is left; the interval leaves time for the last frozen call, the longest term and some attempts.
const FAULTS_END_MS: u64 = 180_000;
const KILL_EVERY_MS: u64 = 40_000;
const END_MS: u64 = FAULTS_END_MS + 3 * KILL_EVERY_MS;

/// Faults of one run.
#[derive(Clone, Debug)]
struct Schedule {
    calls: Vec<CallFaults>,
    /// Offsets of the daemons' clocks.
    offsets: Vec<u64>,
    /// Times of restarts, and the daemon.
    restarts: Vec<(u64, usize)>,
    /// Delays of notices.
    delays: Vec<u64>,
    /// Times at which the store falls to a copy, and the age of the copy.
    falls: Vec<(u64, u64)>,
}

fn schedule(max_falls: usize) -> impl Strategy<Value = Schedule> {
    let delay = prop_oneof![6 => 0..300_u64, 2 => 300..8_000_u64, 2 => Just(u64::MAX)];
    (
        prop::collection::vec(call_faults(), 20..120),
        prop::collection::vec(0..1_000_000_u64, 3),
        prop::collection::vec((0..FAULTS_END_MS, 0..3_usize), 0..12),
        prop::collection::vec(delay, 1..40),
        prop::collection::vec((0..FAULTS_END_MS, 0..15_000_u64), max_falls.min(1)..=max_falls),
    )
        .prop_map(|(calls, offsets, restarts, delays, falls)| Schedule {
            calls,
            offsets,
            restarts,
            delays,
            falls,
        })
}

/// Runs three daemons that compete for the lease, and checks that one at most holds it, that no action comes under
/// a token after one under a higher token, and that a daemon takes over once the faults have ended.
fn check_holders(schedule: &Schedule) -> Result<(), TestCaseError> {
    let Schedule { calls, offsets, restarts, delays, falls } = schedule;
    let mut store = Store { era: Era(u64::from(!falls.is_empty())), ..Store::default() };
    let mut orphaned_calls: Vec<InFlight> = Vec::new();
    let mut messages: Vec<Message> = Vec::new();
    let mut delays = delays.iter().copied().cycle();
    // After the faults comes a period without faults, in which a daemon must become the holder.
    let faultless_call = CallFaults {
        out_ms: 5,
        back_ms: 5,
        answer_lost: false,
        down: false,
        frozen_ms: 0,
        stale: false,
    };
    let mut faults = calls.iter().copied().cycle();
    let mut faultless_calls = std::iter::repeat(faultless_call);
    let mut daemons: Vec<Daemon> = offsets
        .iter()
        .enumerate()
        .map(|(number, offset)| Daemon::start(number, number as u64, *offset, 0))
        .collect();
    let mut fence = Fence::default();
    let mut newest = Epoch(0);
    let mut holder_by_token = HashMap::new();
    let mut held_ms = 0_u64;
    for true_ms in (0..END_MS).step_by(50) {
        for (at_ms, age_ms) in falls {
            if (true_ms..true_ms + 50).contains(at_ms) {
                store.restore(true_ms.saturating_sub(*age_ms));
            }
        }
        for (at_ms, number) in restarts {
            if (true_ms..true_ms + 50).contains(at_ms) {
                let offset = offsets[*number];
                let next = Daemon::start(*number, 1_000 + at_ms, offset, true_ms + 300);
                let ended = std::mem::replace(&mut daemons[*number], next);
                // Calls that the killed daemon had sent still take effect.
                orphaned_calls.extend(ended.in_flight.filter(|call| call.outcome.is_none()));
            }
        }
        orphaned_calls.retain(|call| {
            let is_due = true_ms >= call.effect_at_ms;
            if is_due {
                store.apply(&call.effect, call.faults, true_ms);
            }
            !is_due
        });
        if true_ms.is_multiple_of(NOTICE_INTERVAL_MS) {
            for (from, daemon) in daemons.iter().enumerate() {
                let notice = daemon.notice(true_ms);
                messages.extend(notice.into_iter().map(|notice| {
                    let at_ms =
                        true_ms.saturating_add(delays.next().expect("an infinite iterator"));
                    Message { from, notice, at_ms }
                }));
            }
        }
        for message in messages.extract_if(.., |message| message.at_ms <= true_ms) {
            for (to, daemon) in daemons.iter_mut().enumerate() {
                // A contender that is waiting for a call misses this notice and gets a later one.
                if to != message.from && daemon.in_flight.is_none() {
                    let clock = daemon.clock(true_ms);
                    daemon.contender.receive_notice(message.notice, clock);
                }
            }
        }
        for daemon in &mut daemons {
            if true_ms < FAULTS_END_MS {
                daemon.advance(true_ms, &mut store, &mut faults);
            } else {
                daemon.advance(true_ms, &mut store, &mut faultless_calls);
            }
        }
        let holders: Vec<(Epoch, u64)> = daemons
            .iter()
            .filter_map(|daemon| {
                Some((daemon.contender.epoch(daemon.clock(true_ms))?, daemon.clock_offset_ms))
            })
            .collect();
        prop_assert!(holders.len() <= 1, "{holders:?} at {true_ms}");
        if true_ms > FAULTS_END_MS && (true_ms + 50 - FAULTS_END_MS).is_multiple_of(KILL_EVERY_MS) {
            prop_assert_eq!(holders.len(), 1, "no daemon took over by {}", true_ms);
            daemons.retain(|daemon| daemon.contender.epoch(daemon.clock(true_ms)).is_none());
        }
        for (epoch, holder) in holders {
            let first_holder = *holder_by_token.entry(epoch).or_insert(holder);
            prop_assert_eq!(first_holder, holder, "two daemons hold {}", epoch);
            // There must be no action under an epoch after one under a greater epoch.
            prop_assert!(epoch >= newest, "{epoch} after {newest}");
            prop_assert!(fence.admit(epoch));
            newest = epoch;
            held_ms += 50;
        }
    }
    // Guards against a vacuous test: some daemon must be the holder for some of the time.
    prop_assert!(held_ms > 0 || calls.iter().all(|call| call.down || call.answer_lost));
    Ok(())
}

proptest! {
    #![proptest_config(crate::cases(300))]

    /// Guards against two daemons that hold the lease at once and start or stop the same endpoints twice.
    /// Three daemons compete while holders are frozen past their term or restarted under the same name,
    /// answers are lost after writes took effect, reads are stale and the store is down.
    #[test]
    fn at_most_one_daemon_holds_the_lease(schedule in schedule(0)) {
        check_holders(&schedule)?;
    }

    /// Guards against two daemons that hold the lease at once or send one fencing token, and against a lease that
    /// nobody takes any more, where the store comes back from older copies.
    #[test]
    fn tokens_rise_where_the_store_falls_to_older_copies(schedule in schedule(4)) {
        check_holders(&schedule)?;
    }

    /// Guards against an order of an earlier holder that arrives after the next holder has started. An
    /// endpoint that does not check the sender would obey both, so its side rejects the old epoch.
    #[test]
    fn fence_admits_no_old_epoch_after_a_newer_one(epochs in prop::collection::vec(0..20_u64, 1..60)) {
        let mut fence = Fence::at(Epoch(epochs[0]));
        let mut newest = epochs[0];
        for epoch in epochs {
            let admitted = fence.admit(Epoch(epoch));
            prop_assert_eq!(admitted, epoch >= newest);
            newest = newest.max(epoch);
        }
    }
}

/// Guards against a holder that acts after a pause although its term has ended. Its own clock must show the
/// end of the term before another contender can start; the gap between the two is twice the margin.
#[test]
fn woken_holder_knows_that_its_term_is_over() {
    let mut holder = Contender::new("holder".into(), 1, TIMING);
    holder.read(VersionedRecord { version: 0, record: None }, 0, 0);
    assert!(matches!(holder.step(0), Step::Write(_)));
    holder.written(1, 700);
    let last = (0..2 * TIMING.term_ms).rev().find(|now| holder.epoch(*now).is_some());
    assert_eq!(
        last,
        Some(TIMING.term_ms - TIMING.margin_ms - 1),
        "the term counts from before the write was sent"
    );
}

/// Guards against an idle term after a planned stop: the holder releases its lease, and the next daemon takes
/// it without waiting.
#[test]
fn released_lease_is_taken_at_once() {
    let mut holder = Contender::new("holder".into(), 1, TIMING);
    holder.read(VersionedRecord { version: 0, record: None }, 0, 0);
    let Step::Write(_) = holder.step(0) else { panic!("the holder takes the free lease") };
    holder.written(1, 10);
    holder.release();
    assert_eq!(holder.epoch(20), None, "the holder no longer acts");
    let Step::Write(write) = holder.step(20) else { panic!("the holder releases the lease") };
    let mut contender = Contender::new("rival".into(), 2, TIMING);
    contender.read(VersionedRecord { version: 2, record: Some(write.record) }, 30, 30);
    let Step::Write(taken) = contender.step(30) else { panic!("the contender does not wait") };
    assert_eq!(taken.record.epoch, Epoch(2));
}
