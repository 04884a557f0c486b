//! Billing: every seal is made once, reports repeat it, and nothing that ran is lost or doubled.

use std::collections::BTreeMap;

use briarwinch::billing;
use briarwinch::usage::{Figures, Line, Sealed, Sheet, Window};
use proptest::prelude::*;

use crate::fake_store::{Fate, Store, now};

#[derive(Clone, Debug)]
enum Act {
    /// Usage at a daemon in the current window or, when its count was held up, an earlier one.
    Run { daemon: usize, account: u8, tokens: u64, windows_ago: u64 },
    /// A daemon writes its sheet.
    Flush { daemon: usize },
    /// A daemon dies; what it had not written is lost.
    Crash { daemon: usize },
    /// The next window begins.
    Tick,
    /// Some holder seals the oldest open window, with these fates of its calls.
    Seal { fates: Vec<Fate> },
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let fate = prop_oneof![
        5 => Just(Fate::Served), 2 => Just(Fate::AnswerLost), 1 => Just(Fate::Lost),
        1 => Just(Fate::Delayed), 1 => Just(Fate::Down),
    ];
    let act = prop_oneof![
        6 => (0..3_usize, 0..3_u8, 1..100_u64, 0..2_u64).prop_map(|(daemon, account, tokens, windows_ago)|
            Act::Run { daemon, account, tokens, windows_ago }),
        4 => (0..3_usize).prop_map(|daemon| Act::Flush { daemon }),
        1 => (0..3_usize).prop_map(|daemon| Act::Crash { daemon }),
        2 => Just(Act::Tick),
        4 => prop::collection::vec(fate, 0..8).prop_map(|fates| Act::Seal { fates }),
    ];
    prop::collection::vec(act, 1..120)
}

fn line(account: u8) -> Line {
    Line { account: format!("account-{account}").into(), service: "juru-tulis".into() }
}

proptest! {
    #![proptest_config(crate::cases(600))]

    /// Holders of the duty change, answers of the store are lost, sheets come late, daemons die.
    /// The users' bill would show a window twice with different sums, or lack what ran.
    #[test]
    fn sealed_figures_never_change_and_add_up(acts in acts()) {
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
        for act in acts {
            match act {
                Act::Run { daemon, account, tokens, windows_ago } => {
                    let figures = Figures { requests: 1, prompt_tokens: 0, output_tokens: tokens };
                    sheets[daemon].1.add(Window(current - windows_ago), &line(account), figures);
                    unwritten[daemon] += tokens;
                }
                Act::Flush { daemon } => {
                    flush(&store, daemon, &sheets[daemon]);
                    written += std::mem::take(&mut unwritten[daemon]);
                }
                Act::Crash { daemon } => {
                    unwritten[daemon] = 0;
                    sheets[daemon] = (sheets[daemon].0 + 1, Sheet::default());
                }
                Act::Tick => current += 1,
                Act::Seal { fates } if next < current => {
                    store.script(&fates);
                    let sealed = now(billing::seal_in(&store, "r", Window(next), current));
                    store.script(&[]);
                    store.settle();
                    // Whoever reports, whenever, reports what stands in the store.
                    let stands = now(billing::seal_in(&store, "r", Window(next), 999));
                    if let Ok(sealed) = sealed {
                        prop_assert_eq!(Ok(&sealed), stands.as_ref());
                        reported.insert(next, sealed);
                        next += 1;
                    }
                }
                Act::Seal { .. } => {}
            }
            for (window, sealed) in &reported {
                let again = now(billing::seal_in(&store, "r", Window(*window), 7)).expect("served");
                prop_assert_eq!(&again, sealed);
            }
        }
        // All that was ever written is billed once the last window is sealed.
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
