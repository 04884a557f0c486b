//! Answers kept by a side: pieces by offset, credit, late and crossed readers; and the budget of
//! retries.

use briarwinch::admission::{Budgets, thread_rate_per_s};
use briarwinch::answer::{Answer, AnswerHead, Ending, Reader};
use briarwinch::retry::{Budget, max_retries};
use briarwinch::sse::Counter;
use briarwinch::wire::{StreamId, ToEntry};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Act {
    Push {
        bytes: Vec<u8>,
    },
    Credit {
        bytes: u64,
    },
    Read,
    /// The link is lost; the reader comes back at the offset it has received.
    Return,
    LetGo {
        behind: u64,
    },
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let act = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..40_000).prop_map(|bytes| Act::Push { bytes }),
        (0..60_000_u64).prop_map(|bytes| Act::Credit { bytes }),
        Just(Act::Read),
        Just(Act::Return),
        (0..10_000_u64).prop_map(|behind| Act::LetGo { behind }),
    ];
    prop::collection::vec(act, 1..60)
}

proptest! {
    #![proptest_config(crate::cases(300))]

    /// Links are lost and readers come back at any moment, slow readers give little credit. The
    /// bytes received are the bytes sent, each once and in order, and never beyond the credit.
    #[test]
    fn reader_gets_every_byte_once(acts in acts()) {
        let mut answer = Answer::default();
        answer.head = Some(AnswerHead { status: 200, headers: Vec::new() });
        let mut sent: Vec<u8> = Vec::new();
        let mut received: Vec<u8> = Vec::new();
        let stream = StreamId { slot: 0, generation: 0 };
        let mut reader = Reader::new(stream, 0, 1000);
        let mut allowed = 1000_u64;
        let read = |reader: &mut Reader, answer: &Answer, received: &mut Vec<u8>| {
            while let Some(frame) = reader.next(answer) {
                if let ToEntry::Data(data) = frame {
                    assert_eq!(data.offset, received.len() as u64);
                    received.extend_from_slice(&data.bytes);
                }
            }
        };
        for act in acts {
            match act {
                Act::Push { bytes } => {
                    answer.push(&bytes);
                    sent.extend_from_slice(&bytes);
                }
                Act::Credit { bytes } => {
                    reader.credit_bytes += bytes;
                    allowed += bytes;
                }
                Act::Read => read(&mut reader, &answer, &mut received),
                Act::Return => {
                    let offset = received.len() as u64;
                    prop_assert!(answer.is_available_from(offset));
                    reader = Reader::new(stream, offset, 500);
                    allowed = offset + 500;
                }
                Act::LetGo { behind } => {
                    answer.discard_before((received.len() as u64).saturating_sub(behind));
                }
            }
            prop_assert!(received.len() as u64 <= allowed);
            prop_assert_eq!(&sent[..received.len()], &received[..]);
        }
        answer.ending = Some(Ending::Complete { tokens: 0, queue_ms: 0 });
        reader.credit_bytes = u64::MAX / 2;
        read(&mut reader, &answer, &mut received);
        prop_assert!(reader.is_done());
        prop_assert_eq!(sent, received);
    }

    /// Tokens are counted alike however the stream is cut into pieces.
    #[test]
    fn tokens_are_counted_in_any_pieces(
        events in prop::collection::vec(prop_oneof![
            Just("data: {\"x\": \"data: y\"}\n\n"), Just(": comment\n\n"), Just("event: ping\ndata: {}\n\n"),
        ], 0..30),
        cuts in prop::collection::vec(1..20_usize, 1..40),
    ) {
        let mut text = events.concat();
        text.push_str("data: [DONE]\n\n");
        let tokens = events.iter().filter(|event| event.contains("data: {")).count() as u32;
        let mut counter = Counter::default();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() { break; }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            counter.push(piece);
            rest = left;
        }
        prop_assert_eq!(counter.tokens(), tokens);
        prop_assert!(counter.is_done());
    }

    /// An account sends as fast as it can through several entries, each of which knows only its own
    /// part. All together let through the account's rate, and what the requests under way cost more.
    #[test]
    fn accounts_stay_within_their_token_rate(
        costs in prop::collection::vec((1..3000_u64, 0..400_u64, 0..4_usize), 50..400),
        rate_per_s in 100..5000_u32,
    ) {
        let mut entries = vec![Budgets::default(); 4];
        let part = thread_rate_per_s(rate_per_s, 4, 1);
        let (mut now_ms, mut spent, mut largest) = (0, 0, 0);
        for (cost, pause_ms, entry) in costs {
            now_ms += pause_ms;
            match entries[entry].admit("account", part, now_ms) {
                Ok(()) => {
                    entries[entry].charge("account", part, cost, now_ms);
                    spent += cost;
                    largest = largest.max(cost);
                }
                Err(wait_ms) => {
                    let later_ms = now_ms + u64::from(wait_ms) + 1;
                    prop_assert!(entries[entry].clone().admit("account", part, later_ms).is_ok());
                }
            }
            let earned = f64::from(rate_per_s) * (5.0 + now_ms as f64 / 1000.0);
            prop_assert!(spent as f64 <= earned + 4.0 * largest as f64);
        }
    }

    /// A third of the endpoints die and every request fails. Retries stay under their share, else
    /// the survivors would get a multiple of their load.
    #[test]
    fn retries_stay_within_their_budget(failures in prop::collection::vec(any::<bool>(), 1..3000)) {
        let mut budget = Budget::default();
        let mut retries = 0;
        for (number, failed) in (1_u64..).zip(failures) {
            budget.earn();
            retries += u64::from(failed && budget.spend());
            prop_assert!(retries <= max_retries(number));
        }
    }
}
