//! Claims: at most one send for one idempotency key, whatever the store does.

use briarwinch::claims::{self, Holder, Outcome, Record, SavedAnswer, State};
use proptest::prelude::*;

use crate::fake_store::{Fate, Store, now};

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Served),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Delayed),
        1 => Just(Fate::Down),
    ]
}

#[derive(Clone, Debug)]
struct Try {
    fates: Vec<Fate>,
    /// Which of three sides tries.
    side: u64,
    /// The side dies after the claim, before, while or after it sends.
    dies: Death,
    other_body: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Death {
    None,
    BeforeSend,
    AfterSend,
    /// It could not connect, so nothing was sent, and it takes the claim back.
    NotSent,
}

fn tries() -> impl Strategy<Value = Vec<Try>> {
    let death = prop_oneof![
        4 => Just(Death::None),
        1 => Just(Death::BeforeSend),
        1 => Just(Death::AfterSend),
        1 => Just(Death::NotSent),
    ];
    let one = (prop::collection::vec(fate(), 0..10), 0..3_u64, death, prop::bool::weighted(0.1))
        .prop_map(|(fates, side, dies, other_body)| Try { fates, side, dies, other_body });
    prop::collection::vec(one, 1..12)
}

fn saved(run: u64) -> SavedAnswer {
    SavedAnswer { status: 200, headers: Vec::new(), body: Some(run.to_string().into_bytes()) }
}

proptest! {
    #![proptest_config(crate::cases(2000))]

    /// A payment is tried again and again through any side, while writes are lost, answered late or
    /// not at all, and sides die between any two steps. Two sends would be two payments; and an
    /// answer that says "not run" after a send would make the clerk pay again.
    #[test]
    fn one_key_is_sent_at_most_once(tries in tries()) {
        let store = Store::default();
        let mut sends = 0_u64;
        let mut boots = [0_u64; 3];
        for (number, attempt) in (1_u64..).zip(tries) {
            let holder = Holder { daemon: format!("side-{}", attempt.side).into(), boot: boots[attempt.side as usize] };
            let record = Record {
                state: State::Running,
                nonce: number,
                request_digest: [u8::from(attempt.other_body); 16],
                holder,
            };
            let alive = |holder: &Holder| {
                let side: usize = holder.daemon[5..].parse().expect("side-N");
                boots[side] == holder.boot
            };
            store.script(&attempt.fates);
            let outcome = now(claims::claim(&store, "claims/k".to_owned(), record, alive));
            // Whatever was delayed may arrive at any later moment; here at the worst one.
            store.settle();
            match outcome {
                Outcome::Claimed(mut claim) => match attempt.dies {
                    Death::BeforeSend => boots[attempt.side as usize] += 1,
                    Death::NotSent => { now(claims::release(&store, &claim)); }
                    Death::AfterSend => {
                        sends += 1;
                        boots[attempt.side as usize] += 1;
                    }
                    Death::None => {
                        sends += 1;
                        now(claims::record_outcome(&store, &mut claim, State::Done(saved(sends))));
                    }
                },
                Outcome::Replay(answer) => prop_assert_eq!(answer, saved(1)),
                Outcome::Refuse { refusal, unconfirmed } => {
                    // "Not run" is said of this try; and where the claim may still arrive, it is
                    // known, so that it can be taken back.
                    if let Some(claim) = unconfirmed {
                        prop_assert_eq!(refusal.ran, briarwinch::error::Ran::No);
                        if now(claims::release(&store, &claim)) {
                            store.settle();
                        }
                    }
                }
            }
            prop_assert!(sends <= 1, "sent {sends} times");
        }
    }
}

/// Without the janitor of the paper a claim whose holder died stays; nobody may send again before
/// an operator has said what happened.
#[test]
fn claim_of_a_dead_holder_is_not_reverted() {
    let store = Store::default();
    let record = |nonce, boot| Record {
        state: State::Running,
        nonce,
        request_digest: [0; 16],
        holder: Holder { daemon: "side".into(), boot },
    };
    let first = now(claims::claim(&store, "claims/k".to_owned(), record(1, 1), |_| true));
    assert!(matches!(first, Outcome::Claimed(_)));
    let second = now(claims::claim(&store, "claims/k".to_owned(), record(2, 2), |_| false));
    let Outcome::Refuse { refusal, unconfirmed: None } = second else { panic!("{second:?}") };
    assert_eq!(refusal.kind, briarwinch::error::Kind::ClaimUnresolved);
}
