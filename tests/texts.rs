//! Parsing of configurations and settings: valid texts are accepted, errors are reported with their
//! position.

use std::path::Path;

use briarwinch::config::Config;
use briarwinch::settings;
use expect_test::{Expect, expect};
use serde_json::json;

#[test]
fn examples_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for name in ["sidang-rekam.jsonc", "pullikkal.jsonc"] {
        let text = std::fs::read_to_string(folder.join(name)).expect("an example");
        let config = Config::parse(&text).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert!(config.classes.iter().any(|class| class.spec.protected));
    }
}

/// Returns a minimal valid configuration with `from` replaced by `to`.
fn changed(from: &str, to: &str) -> String {
    let text = r#"{
  // comments are allowed
  "classes": { "fast": { "latency_target_ms": 400, "priority": 9 }, "slow": { "latency_target_ms": 4000, "priority": 1 } },
  "services": {
    "engine": { "kind": "engine", "models": ["m"], "default_class": "fast", "depends_on": ["ledger"] },
    "ledger": { "kind": "plain", "default_class": "slow", "depends_on": [] },
  },
  "accounts": { "court": { "share": 2 } },
}"#;
    assert!(Config::parse(text).is_ok());
    assert!(from.is_empty() || text.contains(from), "{from}");
    text.replacen(from, to, 1)
}

fn check(text: &str, expected: &Expect) {
    let error = Config::parse(text).expect_err("an invalid configuration");
    expected.assert_eq(&error.to_string());
}

#[test]
fn errors_report_position_and_message() {
    let cases = [
        (
            changed("\"priority\": 9", "\"priority\": 900"),
            expect!["line 3, column 52: invalid value: integer `900`, expected u8"],
        ),
        (
            changed("\"priority\": 9", "\"prio\": 9"),
            expect![
                "line 3, column 52: unknown field `prio`, expected one of `latency_target_ms`, `priority`, `protected`, `guaranteed_ppm`, `max_wait_ms`"
            ],
        ),
        (
            changed("\"latency_target_ms\": 400, ", ""),
            expect!["line 3, column 16: missing field `latency_target_ms`"],
        ),
        (changed("400", "0"), expect!["line 3, column 26: the latency target is zero"]),
        (
            changed("\"priority\": 9", "\"priority\": 9, \"guaranteed_ppm\": 0"),
            expect!["line 3, column 67: a class without a guaranteed share could wait forever"],
        ),
        (
            changed("\"priority\": 9", "\"priority\": 9, \"guaranteed_ppm\": 600000"),
            expect![
                "line 3, column 67: the guaranteed shares add up to 600000 ppm, over the limit of 500000"
            ],
        ),
        (
            changed("[\"ledger\"]", "[\"ledge\"]"),
            expect!["line 5, column 92: the service `ledge` is not defined in this configuration"],
        ),
        (
            changed("\"depends_on\": []", "\"depends_on\": [\"engine\"]"),
            expect!["line 5, column 77: the service `engine` depends on itself through a cycle"],
        ),
        (
            changed("\"default_class\": \"slow\"", "\"default_class\": \"slowly\""),
            expect!["line 6, column 34: the class `slowly` is not defined in this configuration"],
        ),
        (
            changed("[\"m\"]", "[\"m\", \"m\"]"),
            expect!["line 5, column 51: the model `m` is listed twice"],
        ),
        (
            changed("[\"m\"]", "[]"),
            expect!["line 5, column 35: the engine service `engine` lists no models"],
        ),
        (
            changed("\"court\"", "\"the court\""),
            expect![
                "line 8, column 17: `the court` is not a valid name: use 1 to 64 letters, digits, `-`, `_` or `.`"
            ],
        ),
        (changed("\"share\": 2", "\"share\": 0"), expect!["line 8, column 28: the share is zero"]),
        (
            changed("\"share\": 2", "\"share\": 2, \"share\": 3"),
            expect!["line 8, column 40: the field `share` is given twice"],
        ),
        (
            changed("\"accounts\"", "accounts"),
            expect!["line 8, column 3: Expected string for object property"],
        ),
        (
            changed("  \"services\"", "  \"services\": }"),
            expect!["line 4, column 15: Unexpected close brace"],
        ),
    ];
    for (text, expected) in cases {
        check(&text, &expected);
    }
}

fn entry_settings(change: impl Fn(&mut serde_json::Value)) -> String {
    let mut settings = json!({
        "daemon": {
            "id": "entry-1", "region": "jawa", "zone": "jkt",
            "peer_addr": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
            "platform_url": "http://127.0.0.1:7700", "fleet_secret": "sixteen characters",
        },
        "listen_addr": "127.0.0.1:0",
    });
    change(&mut settings);
    settings.to_string()
}

#[test]
fn invalid_settings_are_rejected_with_a_position() {
    assert!(settings::parse::<settings::Entry>(&entry_settings(|_| {})).is_ok());
    let wrong = [
        entry_settings(|settings| settings["daemon"]["fleet_secret"] = "short".into()),
        entry_settings(|settings| settings["daemon"]["platform_url"] = "https://platform".into()),
        entry_settings(|settings| settings["daemon"]["peer_addr"] = "localhost".into()),
        entry_settings(|settings| settings["workers"] = 0.into()),
        entry_settings(|settings| settings["listen_adr"] = "127.0.0.1:0".into()),
    ];
    for text in wrong {
        let error = settings::parse::<settings::Entry>(&text).expect_err("invalid settings");
        assert!(error.column > 1, "{error}");
    }
}
