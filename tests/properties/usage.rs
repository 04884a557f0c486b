//! Property tests of billing: a window is sealed once, reports repeat the seal, and no usage is lost or
//! billed twice.

use std::collections::BTreeMap;

use briarwinch::billing;
use briarwinch::usage::{Figures, Line, Sealed, Sheet, Window};
use proptest::prelude::*;

use crate::fake_store::{CallOutcome, Store, now};

#[derive(Clone, Debug)]
enum Action {
    /// Usage at a daemon in the current window or, if it was counted late, in an earlier one.
    Run { daemon: usize, account: u8, tokens: u64, windows_ago: u64 },
    /// A daemon writes its sheet.
    Flush { daemon: usize },
    /// A daemon dies; usage that it had not written is lost.
    Crash { daemon: usize },
    /// The next window begins.
    Tick,
    /// A holder seals the oldest open window, with these outcomes of its calls to the store.
    Seal { call_outcomes: Vec<CallOutcome> },
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let call_outcome = prop_oneof![
        5 => Just(CallOutcome::Served), 2 => Just(CallOutcome::AnswerLost), 1 => Just(CallOutcome::Lost),
        1 => Just(CallOutcome::Delayed), 1 => Just(CallOutcome::Down),
    ];
    let action = prop_oneof![
        6 => (0..3_usize, 0..3_u8, 1..100_u64, 0..2_u64).prop_map(|(daemon, account, tokens, windows_ago)|
            Action::Run { daemon, account, tokens, windows_ago }),
        4 => (0..3_usize).prop_map(|daemon| Action::Flush { daemon }),
        1 => (0..3_usize).prop_map(|daemon| Action::Crash { daemon }),
        2 => Just(Action::Tick),
        4 => prop::collection::vec(call_outcome, 0..8)
            .prop_map(|call_outcomes| Action::Seal { call_outcomes }),
    ];
    prop::collection::vec(action, 1..120)
}

fn line(account: u8) -> Line {
    Line { account: format!("account-{account}").into(), service: "juru-tulis".into() }
}

proptest! {
    #![proptest_config(crate::cases(600))]

    /// Guards against a bill that shows a window twice with different sums or lacks usage. Holders of the
    /// duty change, answers of the store are lost, sheets are written late and daemons die.
    #[test]
    fn sealed_figures_never_change_and_add_up(actions in actions()) {
        let store = Store::default();
        let mut sheets: Vec<(u32, Sheet)> = vec![(0, Sheet::default()); 3];
        let mut written = 0_u64;
        let mut unwritten = [0_u64; 3];
        let (mut current, mut next) = (10_u64, 9_u64);
        let mut reported: BTreeMap<u64, Sealed> = BTreeMap::new();
        let flush = |store: &Store, daemon: usize, sheet: &(u32, Sheet)| {
            let key = format!("usage/r/sheets/{daemon}.{}", sheet.0);
            let value = serde_json::to_string(&sheet.1).expect("a sheet");
            store.script(&[]);
            let version = now(briarwinch::store::ObjectStore::get(store, &key))
                .expect("served").map_or(0, |object| object.version);
            store.write(&key, Some(value), version).expect("its own key");
        };
        for action in actions {
            match action {
                Action::Run { daemon, account, tokens, windows_ago } => {
                    let figures = Figures { requests: 1, prompt_tokens: 0, output_tokens: tokens };
                    sheets[daemon].1.add(Window(current - windows_ago), &line(account), figures);
                    unwritten[daemon] += tokens;
                }
                Action::Flush { daemon } => {
                    flush(&store, daemon, &sheets[daemon]);
                    written += std::mem::take(&mut unwritten[daemon]);
                }
                Action::Crash { daemon } => {
                    unwritten[daemon] = 0;
                    sheets[daemon] = (sheets[daemon].0 + 1, Sheet::default());
                }
                Action::Tick => current += 1,
                Action::Seal { call_outcomes } if next < current => {
                    store.script(&call_outcomes);
                    let sealed = now(billing::seal_in(&store, "r", Window(next), current));
                    store.script(&[]);
                    store.apply_delayed();
                    // Every reporter at any time reports the seal in the store.
                    let stored = now(billing::seal_in(&store, "r", Window(next), 999));
                    if let Ok(sealed) = sealed {
                        prop_assert_eq!(Ok(&sealed), stored.as_ref());
                        reported.insert(next, sealed);
                        next += 1;
                    }
                }
                Action::Seal { .. } => {}
            }
            for (window, sealed) in &reported {
                let resealed = now(billing::seal_in(&store, "r", Window(*window), 7)).expect("served");
                prop_assert_eq!(&resealed, sealed);
            }
        }
        // All usage that was ever written is billed after the last window is sealed.
        current += 1;
        while next < current {
            let sealed = now(billing::seal_in(&store, "r", Window(next), 1)).expect("served");
            reported.insert(next, sealed);
            next += 1;
        }
        let billed: u64 = reported.values().map(|sealed| sealed.figures.sum().output_tokens).sum();
        prop_assert_eq!(billed, written);
    }
}
