//! Property tests of claims: a call is sent at most once per idempotency key, whatever the store does.

use briarwinch::claims::{self, Holder, Outcome, Record, SavedAnswer, State};
use proptest::prelude::*;

use crate::fake_store::{CallOutcome, Store, now};

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => Just(CallOutcome::Served),
        2 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::Lost),
        1 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Down),
    ]
}

#[derive(Clone, Debug)]
struct Attempt {
    call_outcomes: Vec<CallOutcome>,
    /// Index of the side that makes the attempt, one of three.
    side: u64,
    /// How the side fails after the claim, if it does.
    failure: SideFailure,
    has_other_body: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SideFailure {
    None,
    BeforeSend,
    AfterSend,
    /// The side could not connect, so nothing was sent, and it releases the claim.
    NotSent,
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let death = prop_oneof![
        4 => Just(SideFailure::None),
        1 => Just(SideFailure::BeforeSend),
        1 => Just(SideFailure::AfterSend),
        1 => Just(SideFailure::NotSent),
    ];
    let one =
        (prop::collection::vec(call_outcome(), 0..10), 0..3_u64, death, prop::bool::weighted(0.1))
            .prop_map(|(call_outcomes, side, failure, has_other_body)| Attempt {
                call_outcomes,
                side,
                failure,
                has_other_body,
            });
    prop::collection::vec(one, 1..12)
}

fn saved(run: u64) -> SavedAnswer {
    SavedAnswer { status: 200, headers: Vec::new(), body: Some(run.to_string().into_bytes()) }
}

proptest! {
    #![proptest_config(crate::cases(2000))]

    /// Guards against a payment that is sent twice, and against a "not run" answer after a send, which would
    /// make the client pay again. A payment is repeated through any side while writes are lost, answered late
    /// or not answered, and sides die between any two steps.
    #[test]
    fn one_key_is_sent_at_most_once(attempts in attempts()) {
        let store = Store::default();
        let mut sends = 0_u64;
        let mut boots = [0_u64; 3];
        for (number, attempt) in (1_u64..).zip(attempts) {
            let holder = Holder {
                daemon: format!("side-{}", attempt.side).into(),
                boot: boots[attempt.side as usize],
            };
            let record = Record {
                state: State::Running,
                nonce: number,
                request_digest: [u8::from(attempt.has_other_body); 16],
                holder,
            };
            let alive = |holder: &Holder| {
                let side: usize = holder.daemon[5..].parse().expect("side-N");
                boots[side] == holder.boot
            };
            store.script(&attempt.call_outcomes);
            let outcome = now(claims::claim(&store, "claims/k".to_owned(), record, alive));
            // Delayed writes may arrive at any later time; here they arrive at the worst one.
            store.apply_delayed();
            match outcome {
                Outcome::Claimed(mut claim) => match attempt.failure {
                    SideFailure::BeforeSend => boots[attempt.side as usize] += 1,
                    SideFailure::NotSent => { now(claims::release(&store, &claim)); }
                    SideFailure::AfterSend => {
                        sends += 1;
                        boots[attempt.side as usize] += 1;
                    }
                    SideFailure::None => {
                        sends += 1;
                        now(claims::record_outcome(&store, &mut claim, State::Done(saved(sends))));
                    }
                },
                Outcome::Replay(answer) => prop_assert_eq!(answer, saved(1)),
                Outcome::Refuse { refusal, unconfirmed } => {
                    // "Not run" refers to this attempt. If the claim may still arrive, it is returned
                    // so that it can be released.
                    if let Some(claim) = unconfirmed {
                        prop_assert_eq!(refusal.ran, briarwinch::error::Ran::No);
                        if now(claims::release(&store, &claim)) {
                            store.apply_delayed();
                        }
                    }
                }
            }
            prop_assert!(sends <= 1, "sent {sends} times");
        }
    }
}

/// Guards against a second send after a holder has died. No background process reverts stale claims, so the
/// claim stays, and the call must not be sent again before an operator has resolved the outcome.
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
