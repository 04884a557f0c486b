//! Tests that the platform never gets endpoint orders from two daemons that both consider themselves the
//! holder of the duty.

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::fleet::{self, Fleet, FleetOptions};

const ZONE: &str = "jkt";

fn orders(fleet: &Fleet) -> Vec<Value> {
    let record = fleet.platform.record();
    record["orders"][ZONE].as_array().cloned().unwrap_or_default()
}

fn epoch(order: &Value) -> u64 {
    order["order"]["epoch"].as_u64().expect("an epoch")
}

fn set_endpoint(fleet: &Fleet, id: &str, standing: &str) {
    let url = format!("{}/control/endpoints/{ZONE}", fleet.platform.url);
    let line = json!({"id": id, "service": "juru-tulis", "standing": standing});
    ureq::post(&url).send_json(line).expect("the stand-in accepts the change");
}

fn holder(fleet: &Fleet) -> Option<usize> {
    fleet.entries.iter().position(|entry| {
        let duties = entry.status()["duties"].clone();
        let duties = duties.as_array().cloned().unwrap_or_default();
        duties.iter().any(|duty| {
            let name = duty["duty"].as_str().unwrap_or_default();
            name.starts_with("leases/endpoints/") && duty["held_here"] == true
        })
    })
}

/// The holder is suspended beyond its term, another entry takes over and sends orders, and the first one
/// resumes. Guards against orders that start or stop endpoints twice. The platform of this test doesn't check
/// fencing tokens, so only the term and the recorded intent prevent them.
#[test]
fn resumed_holder_sends_no_order_after_its_successor() {
    let mut options = FleetOptions { entries: 3, engines: 1, ..FleetOptions::default() };
    options.config["services"]["juru-tulis"]["endpoints"] = json!({"least": 9, "most": 9});
    let fleet = Fleet::start(options);
    set_endpoint(&fleet, "first", "live");
    fleet::wait_for("the first order", || (!orders(&fleet).is_empty()).then_some(()));
    let suspended = fleet::wait_for("a holder", || holder(&fleet));
    fleet.entries[suspended].process.signal(Signal::SIGSTOP);
    let first_epoch = epoch(&orders(&fleet)[0]);
    fleet::wait_for("the successor orders", || {
        orders(&fleet).iter().any(|order| epoch(order) > first_epoch).then_some(())
    });
    fleet.entries[suspended].process.signal(Signal::SIGCONT);
    let count = orders(&fleet).len();
    // The ordered endpoints come up, so that further orders are due.
    for number in 1..=8 {
        set_endpoint(&fleet, &format!("ordered-{number}"), "live");
    }
    set_endpoint(&fleet, "first", "leaving");
    fleet::wait_for("more orders", || (orders(&fleet).len() > count).then_some(()));
    let epochs: Vec<u64> = orders(&fleet).iter().map(epoch).collect();
    assert!(epochs.is_sorted(), "an earlier epoch after a later one: {epochs:?}");
    let nonces: std::collections::HashSet<String> =
        orders(&fleet).iter().map(|order| order["order"]["nonce"].to_string()).collect();
    assert_eq!(nonces.len(), epochs.len(), "an order was sent twice");
}

/// The store goes down during a holder's term. Guards against orders without the store, while another entry
/// could take over unnoticed. When the store is back, there is one holder again.
#[test]
fn nothing_is_ordered_without_the_store() {
    let mut options = FleetOptions { entries: 2, engines: 1, ..FleetOptions::default() };
    options.config["services"]["juru-tulis"]["endpoints"] = json!({"least": 9, "most": 9});
    let fleet = Fleet::start(options);
    set_endpoint(&fleet, "first", "live");
    fleet::wait_for("the first order", || (!orders(&fleet).is_empty()).then_some(()));
    fleet.fail_platform(&json!({"down": true}));
    let count = orders(&fleet).len();
    fleet::wait_for("no entry holds the duty any more", || holder(&fleet).is_none().then_some(()));
    assert_eq!(orders(&fleet).len(), count);
    fleet.fail_platform(&json!({}));
    fleet::wait_for("orders continue", || (orders(&fleet).len() > count).then_some(()));
    let epochs: Vec<u64> = orders(&fleet).iter().map(epoch).collect();
    assert!(epochs.is_sorted(), "{epochs:?}");
}

/// The entries that contend for a duty first die one after another. Guards against the others waiting for
/// them: billing and orders would stop silently.
#[test]
fn duty_survives_the_death_of_its_first_contenders() {
    let mut fleet =
        Fleet::start(FleetOptions { entries: 4, engines: 0, ..FleetOptions::default() });
    while fleet.entries.len() > 1 {
        let holding = fleet::wait_for("a holder", || holder(&fleet));
        fleet.entries[holding].process.kill();
        fleet.entries.remove(holding);
    }
    fleet::wait_for("the last one holds the duty", || holder(&fleet));
}
