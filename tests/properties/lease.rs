//! Leases: two daemons never both believe they are in charge while either acts.

use briarwinch::lease::{Contender, Epoch, Record, Step, TIMING, TermNotice, VersionedRecord};
use briarwinch::orders::Fence;
use proptest::prelude::*;

/// What happens to a daemon's next call, and how long each part takes.
#[derive(Clone, Copy, Debug)]
struct Call {
    out_ms: u64,
    back_ms: u64,
    answer_lost: bool,
    down: bool,
    /// The daemon is frozen for this long after the call.
    frozen_ms: u64,
    /// The read shows the version before the newest.
    stale: bool,
}

fn call() -> impl Strategy<Value = Call> {
    (
        0..900_u64,
        0..900_u64,
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
        prop_oneof![8 => Just(0_u64), 2 => 0..20_000_u64],
        prop::bool::weighted(0.1),
    )
        .prop_map(|(out_ms, back_ms, answer_lost, down, frozen_ms, stale)| Call {
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

/// A call on its way: when it takes effect, when the daemon goes on.
#[derive(Clone, Debug)]
struct UnderWay {
    effect: Effect,
    sent_ms: u64,
    effect_at_ms: u64,
    go_on_at_ms: u64,
    fate: Call,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
enum Outcome {
    VersionedRecord(VersionedRecord),
    Written(u64),
    Conflict,
    Nothing,
}

struct Daemon {
    contender: Contender,
    under_way: Option<UnderWay>,
    wait_until_ms: u64,
    /// Its own clock against true time.
    clock_offset_ms: u64,
}

/// How often daemons tell each other of their leases.
const TELL_MS: u64 = 500;

/// What a holder told, on its way to all rivals.
#[derive(Clone, Copy, Debug)]
struct Message {
    from: usize,
    told: TermNotice,
    at_ms: u64,
}

#[derive(Default)]
struct Store {
    history: Vec<Record>,
}

impl Store {
    fn seen(&self, stale: bool) -> VersionedRecord {
        let count = self.history.len() - usize::from(stale && !self.history.is_empty());
        VersionedRecord {
            version: count as u64,
            record: count.checked_sub(1).map(|at| self.history[at].clone()),
        }
    }

    fn act(&mut self, effect: &Effect, fate: Call) -> Outcome {
        if fate.down {
            return Outcome::Nothing;
        }
        let outcome = match effect {
            Effect::Read => Outcome::VersionedRecord(self.seen(fate.stale)),
            Effect::Write { if_version, .. } if *if_version != self.history.len() as u64 => {
                Outcome::Conflict
            }
            Effect::Write { record, .. } => {
                self.history.push(record.clone());
                Outcome::Written(self.history.len() as u64)
            }
        };
        if fate.answer_lost { Outcome::Nothing } else { outcome }
    }
}

impl Daemon {
    fn start(number: usize, boot: u64, clock_offset_ms: u64, at_ms: u64) -> Self {
        let name = format!("entry-{number}").into();
        Self {
            contender: Contender::with_exclusive_name(name, boot, TIMING),
            under_way: None,
            wait_until_ms: at_ms,
            clock_offset_ms,
        }
    }

    /// What it tells its rivals, unless it is frozen.
    fn tells(&self, true_ms: u64) -> Option<TermNotice> {
        let is_frozen = self.under_way.as_ref().is_some_and(|call| call.fate.frozen_ms > 0);
        if is_frozen { None } else { self.contender.notice(self.clock(true_ms)) }
    }

    fn clock(&self, true_ms: u64) -> u64 {
        true_ms + self.clock_offset_ms
    }

    fn advance(&mut self, true_ms: u64, store: &mut Store, fates: &mut impl Iterator<Item = Call>) {
        let clock = self.clock(true_ms);
        if let Some(call) = &mut self.under_way {
            if call.outcome.is_none() && true_ms >= call.effect_at_ms {
                call.outcome = Some(store.act(&call.effect, call.fate));
            }
            if true_ms < call.go_on_at_ms {
                return;
            }
            let call = self.under_way.take().expect("matched above");
            match (&call.effect, call.outcome.expect("the effect comes first")) {
                (Effect::Read, Outcome::VersionedRecord(seen)) => {
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
        let fate = fates.next().expect("endless");
        let effect_at_ms = true_ms + fate.out_ms;
        let go_on_at_ms = effect_at_ms + fate.back_ms + fate.frozen_ms;
        self.under_way = Some(UnderWay {
            effect,
            sent_ms: clock,
            effect_at_ms,
            go_on_at_ms,
            fate,
            outcome: None,
        });
    }
}

/// When the faults end. From then on whoever is in charge is killed every so often, until one is
/// left: time for the last frozen call, the longest term and some tries.
const CALM_MS: u64 = 180_000;
const KILL_EVERY_MS: u64 = 40_000;
const END_MS: u64 = CALM_MS + 3 * KILL_EVERY_MS;

proptest! {
    #![proptest_config(crate::cases(300))]

    /// Holders are frozen past their term, or killed and started again under the same name, answers
    /// are lost after they took effect, reads are old, the store is down, three rivals contend. An order from two of them at once would start or
    /// stop the same endpoints twice.
    #[test]
    fn at_most_one_daemon_is_in_charge(
        calls in prop::collection::vec(call(), 20..120),
        offsets in prop::collection::vec(0..1_000_000_u64, 3),
        restarts in prop::collection::vec((0..CALM_MS, 0..3_usize), 0..12),
        delays in prop::collection::vec(
            prop_oneof![6 => 0..300_u64, 2 => 300..8_000_u64, 2 => Just(u64::MAX)], 1..40,
        ),
    ) {
        let mut store = Store::default();
        let mut left_behind: Vec<UnderWay> = Vec::new();
        let mut messages: Vec<Message> = Vec::new();
        let mut delays = delays.iter().copied().cycle();
        // After the faults a calm, in which somebody must come to be in charge.
        let calm = Call {
            out_ms: 5, back_ms: 5, answer_lost: false, down: false, frozen_ms: 0, stale: false,
        };
        let mut faults = calls.iter().copied().cycle();
        let mut calms = std::iter::repeat(calm);
        let mut daemons: Vec<Daemon> = offsets
            .iter()
            .enumerate()
            .map(|(number, offset)| Daemon::start(number, number as u64, *offset, 0))
            .collect();
        let mut fence = Fence::default();
        let mut newest = Epoch(0);
        let mut held_ms = 0_u64;
        for true_ms in (0..END_MS).step_by(50) {
            for (at_ms, number) in &restarts {
                if (true_ms..true_ms + 50).contains(at_ms) {
                    let offset = offsets[*number];
                    let next = Daemon::start(*number, 1_000 + at_ms, offset, true_ms + 300);
                    let ended = std::mem::replace(&mut daemons[*number], next);
                    // What it had sent still takes effect.
                    left_behind.extend(ended.under_way.filter(|call| call.outcome.is_none()));
                }
            }
            left_behind.retain(|call| {
                let is_due = true_ms >= call.effect_at_ms;
                if is_due {
                    store.act(&call.effect, call.fate);
                }
                !is_due
            });
            if true_ms.is_multiple_of(TELL_MS) {
                for (from, daemon) in daemons.iter().enumerate() {
                    let told = daemon.tells(true_ms);
                    messages.extend(told.into_iter().map(|told| {
                        let at_ms = true_ms.saturating_add(delays.next().expect("endless"));
                        Message { from, told, at_ms }
                    }));
                }
            }
            for message in messages.extract_if(.., |message| message.at_ms <= true_ms) {
                for (to, daemon) in daemons.iter_mut().enumerate() {
                    // A rival that waits for a call hears of it when it goes on.
                    if to != message.from && daemon.under_way.is_none() {
                        let clock = daemon.clock(true_ms);
                        daemon.contender.receive_notice(message.told, clock);
                    }
                }
            }
            for daemon in &mut daemons {
                if true_ms < CALM_MS {
                    daemon.advance(true_ms, &mut store, &mut faults);
                } else {
                    daemon.advance(true_ms, &mut store, &mut calms);
                }
            }
            let in_charge: Vec<Epoch> = daemons
                .iter()
                .filter_map(|daemon| daemon.contender.epoch(daemon.clock(true_ms)))
                .collect();
            prop_assert!(in_charge.len() <= 1, "{in_charge:?} at {true_ms}");
            if true_ms > CALM_MS && (true_ms + 50 - CALM_MS).is_multiple_of(KILL_EVERY_MS) {
                prop_assert_eq!(in_charge.len(), 1, "nobody took over by {}", true_ms);
                daemons.retain(|daemon| daemon.contender.epoch(daemon.clock(true_ms)).is_none());
            }
            for epoch in in_charge {
                // No act under an epoch after one of a greater epoch.
                prop_assert!(epoch >= newest, "{epoch} after {newest}");
                prop_assert!(fence.admit(epoch));
                newest = epoch;
                held_ms += 50;
            }
        }
        // With calls like these somebody is in charge for some of the time, so the above says
        // something.
        prop_assert!(held_ms > 0 || calls.iter().all(|call| call.down || call.answer_lost));
    }

    /// An order of a former holder is still in the network when the next one has begun. An endpoint
    /// that does not check who gives an order would obey both; its side does not let it through.
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

/// A holder is woken after any pause. It must see by its own clock that its term is over before a
/// rival can have begun: the gap between both is twice the margin.
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
        "counted from before the write was sent"
    );
}

/// A daemon stops as planned and gives its lease back, so that the next one need not wait.
#[test]
fn released_lease_is_taken_at_once() {
    let mut holder = Contender::new("holder".into(), 1, TIMING);
    holder.read(VersionedRecord { version: 0, record: None }, 0, 0);
    let Step::Write(_) = holder.step(0) else { panic!("it takes the free lease") };
    holder.written(1, 10);
    holder.release();
    assert_eq!(holder.epoch(20), None, "it no longer acts");
    let Step::Write(write) = holder.step(20) else { panic!("it gives the lease back") };
    let mut rival = Contender::new("rival".into(), 2, TIMING);
    rival.read(VersionedRecord { version: 2, record: Some(write.record) }, 30, 30);
    let Step::Write(taken) = rival.step(30) else { panic!("it need not wait") };
    assert_eq!(taken.record.epoch, Epoch(2));
}
