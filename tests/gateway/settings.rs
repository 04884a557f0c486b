//! Switches in the settings file of an entry.

use briarwinch::gateway::settings;
use serde_json::{Value, json};

fn has_overload_control(switch: Option<Value>) -> bool {
    let mut file = json!({
        "id": "entry-1", "region": "r", "zone": "a", "ip": "127.0.0.1", "listen_addr": "127.0.0.1:1",
        "ready_addr": "127.0.0.1:2", "internal_ports": [3, 4], "seeds": [],
        "store_addr": "127.0.0.1:5", "duties_addr": null, "fleet_secret": "a secret of the tests",
        "retries": {"ratio": 0.2, "extra": 50.0, "window_s": 10.0}, "billing_window_s": 5,
        "leave_ms": 3000, "stop_s": 8.0,
    });
    if let Some(switch) = switch {
        file["overload_control"] = switch;
    }
    let read: settings::Gateway = serde_json::from_value(file).expect("settings");
    read.overload_control
}

/// Guards against overload control on a deployment that does not ask for it, and none on one that does.
#[test]
fn overload_control_follows_the_rules_of_the_deployment() {
    let by_rules = |rules: Value| {
        has_overload_control(Some(json!({"asked_for_by": ["pressure"], "rules": rules})))
    };
    assert!(!has_overload_control(None));
    assert!(has_overload_control(Some(json!(true))));
    assert!(!has_overload_control(Some(json!(false))));
    assert!(by_rules(json!(["base", "pressure"])));
    assert!(!by_rules(json!(["base", "pool"])));
    assert!(!by_rules(json!([])));
}
