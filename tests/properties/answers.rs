//! Property tests of the answers kept by a side (offsets, credit, resumed readers), of token counting, and of
//! the token and retry budgets.

use briarwinch::admission::{Budgets, thread_rate_per_s};
use briarwinch::answer::{Answer, AnswerHead, Ending, Reader};
use briarwinch::retry::{Budget, max_retries};
use briarwinch::sse::Counter;
use briarwinch::wire::{StreamId, ToEntry};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Push {
        bytes: Vec<u8>,
    },
    Credit {
        bytes: u64,
    },
    Read,
    /// The link is lost, and the reader resumes at the offset that it has received.
    Resume,
    LetGo {
        behind: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..40_000).prop_map(|bytes| Step::Push { bytes }),
        (0..60_000_u64).prop_map(|bytes| Step::Credit { bytes }),
        Just(Step::Read),
        Just(Step::Resume),
        (0..10_000_u64).prop_map(|behind| Step::LetGo { behind }),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(crate::cases(300))]

    /// Guards against lost, repeated or reordered bytes and exceeded credit when links are lost and readers
    /// resume at any moment, and slow readers grant little credit.
    #[test]
    fn reader_gets_every_byte_once(steps in steps()) {
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
        for step in steps {
            match step {
                Step::Push { bytes } => {
                    answer.push(&bytes);
                    sent.extend_from_slice(&bytes);
                }
                Step::Credit { bytes } => {
                    reader.credit_bytes += bytes;
                    allowed += bytes;
                }
                Step::Read => read(&mut reader, &answer, &mut received),
                Step::Resume => {
                    let offset = received.len() as u64;
                    prop_assert!(answer.is_available_from(offset));
                    reader = Reader::new(stream, offset, 500);
                    allowed = offset + 500;
                }
                Step::LetGo { behind } => {
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

    /// Guards against a token count that depends on how the stream is split into chunks.
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
            let (chunk, remaining) = rest.split_at((*cut).min(rest.len()));
            counter.push(chunk);
            rest = remaining;
        }
        prop_assert_eq!(counter.tokens(), tokens);
        prop_assert!(counter.is_done());
    }

    /// An account sends as fast as it can through several entries, each of which knows only its own share of
    /// the rate. Guards against more tokens in total than the account's rate plus the excess of the requests
    /// in progress.
    #[test]
    fn accounts_stay_within_their_token_rate(
        costs in prop::collection::vec((1..3000_u64, 0..400_u64, 0..4_usize), 50..400),
        rate_per_s in 100..5000_u32,
    ) {
        let mut entries = vec![Budgets::default(); 4];
        let share = thread_rate_per_s(rate_per_s, 4, 1);
        let (mut now_ms, mut spent, mut largest) = (0, 0, 0);
        for (cost, pause_ms, entry) in costs {
            now_ms += pause_ms;
            match entries[entry].admit("account", share, now_ms) {
                Ok(()) => {
                    entries[entry].charge("account", share, cost, now_ms);
                    spent += cost;
                    largest = largest.max(cost);
                }
                Err(wait_ms) => {
                    let later_ms = now_ms + u64::from(wait_ms) + 1;
                    prop_assert!(entries[entry].clone().admit("account", share, later_ms).is_ok());
                }
            }
            let earned = f64::from(rate_per_s) * (5.0 + now_ms as f64 / 1000.0);
            prop_assert!(spent as f64 <= earned + 4.0 * largest as f64);
        }
    }

    /// Guards against retries beyond their share when a third of the endpoints die and every request
    /// fails: the remaining endpoints would get a multiple of their load.
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
