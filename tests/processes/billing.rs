//! Tests that no billing window is reported twice with different figures.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::caller;
use crate::fleet::{self, Fleet, FleetOptions};

/// Returns the output tokens in the reports, with each window counted once. Checks that a window that was
/// reported more than once has the same figures each time.
fn reported_tokens(fleet: &Fleet) -> u64 {
    let record = fleet.platform.record();
    let mut windows: BTreeMap<u64, Value> = BTreeMap::new();
    for report in record["reports"].as_array().expect("a list") {
        let window = report["window"].as_u64().expect("a window");
        let figures = report["figures"].clone();
        if let Some(earlier) = windows.insert(window, figures.clone()) {
            assert_eq!(earlier, figures, "window {window} was reported with different figures");
        }
    }
    windows
        .values()
        .flat_map(|figures| figures.as_array().cloned().unwrap_or_default())
        .map(|line| line["output_tokens"].as_u64().unwrap_or(0))
        .sum()
}

/// The holder of the billing duty dies, answers of the store are lost, and the store is down for a while.
/// Guards against a successor that reports other figures for a window, and against lost usage.
#[test]
fn reports_stay_consistent_after_a_holder_death_and_lost_answers() {
    let mut fleet = Fleet::start(FleetOptions {
        entries: 3,
        engines: 1,
        token_ms: 1,
        ..FleetOptions::default()
    });
    let key = fleet.grant("court");
    let mut tokens = 0;
    let mut send_chat = |entry: &fleet::Daemon, count: u32| {
        let prompt = format!("billed {tokens}");
        let answer =
            caller::send(caller::chat(entry, &key), &caller::chat_body(&prompt, count, true));
        caller::assert_complete(&answer.text, &prompt, count);
        tokens += u64::from(count);
        tokens
    };
    for round in 0..4 {
        send_chat(&fleet.entries[round % 3], 10);
        fleet.fail_platform(&json!({"lose_answers": round}));
    }
    let expected = send_chat(&fleet.entries[2], 10);
    fleet::wait_for("all usage is reported", || {
        (reported_tokens(&fleet) == expected).then_some(())
    });

    let holder = fleet::wait_for("an entry holds the duty", || {
        fleet.entries.iter().position(|entry| {
            let duties = entry.status()["duties"].clone();
            duties.as_array().is_some_and(|list| list.iter().any(|duty| duty["held_here"] == true))
        })
    });
    fleet.entries[holder].process.kill();
    fleet.entries.remove(holder);
    let expected = send_chat(&fleet.entries[0], 25);
    fleet.fail_platform(&json!({"down": true}));
    let expected = expected.max(send_chat(&fleet.entries[0], 25));
    fleet.fail_platform(&json!({}));
    fleet::wait_for("the next holder reports the rest", || {
        (reported_tokens(&fleet) == expected).then_some(())
    });
}
