//! The platform never gets endpoint orders from two daemons that both believe they are in charge.

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::fleet::{self, Fleet, Shape};

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
    ureq::post(&url).send_json(line).expect("the stand-in obeys");
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

/// The holder is frozen past its term, another takes over and orders, and the first is woken. If it
/// still ordered, endpoints would be started or stopped twice. The platform here does not check
/// fencing numbers, so nothing but the term and the intent stands between.
#[test]
fn woken_holder_orders_nothing_after_its_successor() {
    let mut shape = Shape { entries: 3, engines: 1, ..Shape::default() };
    shape.config["services"]["juru-tulis"]["endpoints"] = json!({"least": 9, "most": 9});
    let fleet = Fleet::start(shape);
    set_endpoint(&fleet, "first", "live");
    fleet::wait_for("the first order", || (!orders(&fleet).is_empty()).then_some(()));
    let frozen = fleet::wait_for("a holder", || holder(&fleet));
    fleet.entries[frozen].process.signal(Signal::SIGSTOP);
    let before = epoch(&orders(&fleet)[0]);
    fleet::wait_for("the successor orders", || {
        orders(&fleet).iter().any(|order| epoch(order) > before).then_some(())
    });
    fleet.entries[frozen].process.signal(Signal::SIGCONT);
    let count = orders(&fleet).len();
    // What was started comes up, so that there is more to order.
    for number in 1..=8 {
        set_endpoint(&fleet, &format!("ordered-{number}"), "live");
    }
    set_endpoint(&fleet, "first", "leaving");
    fleet::wait_for("more orders", || (orders(&fleet).len() > count).then_some(()));
    let epochs: Vec<u64> = orders(&fleet).iter().map(epoch).collect();
    assert!(epochs.is_sorted(), "an old epoch after a newer one: {epochs:?}");
    let nonces: std::collections::HashSet<String> =
        orders(&fleet).iter().map(|order| order["order"]["nonce"].to_string()).collect();
    assert_eq!(nonces.len(), epochs.len(), "no order was sent twice");
}

/// The store goes down under a holder. Without it a rival could take over unseen, so nothing is
/// ordered until the store is back, and then there is one holder again.
#[test]
fn nothing_is_ordered_without_the_store() {
    let mut shape = Shape { entries: 2, engines: 1, ..Shape::default() };
    shape.config["services"]["juru-tulis"]["endpoints"] = json!({"least": 9, "most": 9});
    let fleet = Fleet::start(shape);
    set_endpoint(&fleet, "first", "live");
    fleet::wait_for("the first order", || (!orders(&fleet).is_empty()).then_some(()));
    fleet.fail_platform(&json!({"down": true}));
    let count = orders(&fleet).len();
    fleet::wait_for("nobody holds the duty any more", || holder(&fleet).is_none().then_some(()));
    assert_eq!(orders(&fleet).len(), count);
    fleet.fail_platform(&json!({}));
    fleet::wait_for("orders go on", || (orders(&fleet).len() > count).then_some(()));
    let epochs: Vec<u64> = orders(&fleet).iter().map(epoch).collect();
    assert!(epochs.is_sorted(), "{epochs:?}");
}

/// The entries that contend for a duty first die one after another. If the rest went on waiting for
/// them, nobody would bill or order any more, and nothing would say so.
#[test]
fn duty_survives_the_death_of_its_first_contenders() {
    let mut fleet = Fleet::start(Shape { entries: 4, engines: 0, ..Shape::default() });
    while fleet.entries.len() > 1 {
        let holding = fleet::wait_for("a holder", || holder(&fleet));
        fleet.entries[holding].process.kill();
        fleet.entries.remove(holding);
    }
    fleet::wait_for("the last one holds the duty", || holder(&fleet));
}
