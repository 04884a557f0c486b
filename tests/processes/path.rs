//! Tests the path of a request from the caller to the endpoint and back.

use serde_json::json;

use crate::caller;
use crate::fleet::{self, Fleet, FleetOptions};

/// Guards against answers, forwarded requests, explanations or status output that are wrong end to end, and
/// against a key that reaches an endpoint or the store.
#[test]
fn a_request_is_served_from_end_to_end() {
    let fleet = Fleet::start(FleetOptions::default());
    let key = fleet.grant("court");
    for entry in &fleet.entries {
        let streamed =
            caller::send(caller::chat(entry, &key), &caller::chat_body("exhibits", 8, true));
        assert_eq!(streamed.status, 200);
        caller::assert_complete(&streamed.text, "exhibits", 8);

        let whole =
            caller::send(caller::chat(entry, &key), &caller::chat_body("exhibits", 8, false));
        let content: String = (0..8).map(|place| caller::token("exhibits", place)).collect();
        assert_eq!(whole.json()["choices"][0]["message"]["content"], content);
    }

    let entry = &fleet.entries[0];
    let bearer = format!("Bearer {key}");
    let models = ureq::get(&format!("{}/v1/models", entry.url())).set("authorization", &bearer);
    let models: serde_json::Value = models.call().expect("models").into_json().expect("JSON");
    assert_eq!(models["data"][0]["id"], "juru-tulis");

    // Method, query, headers and body of a plain call are forwarded.
    let put = ureq::put(&format!("{}/services/loket/filings/7?copy=2", entry.url()))
        .set("authorization", &bearer)
        .set("idempotency-key", "filing-7");
    let answer = caller::send(put, "the filing").json();
    assert_eq!(answer["method"], "PUT");
    assert_eq!(answer["path"], "/filings/7?copy=2");
    assert_eq!(answer["body"], "the filing");

    // A request can be explained afterwards.
    let answer = caller::send(caller::chat(entry, &key), &caller::chat_body("told", 4, true));
    let request = answer.request.expect("a request id");
    let (code, story) = fleet.operate(&["explain", &request]);
    assert_eq!(code, 0, "{story}");
    assert!(story.contains("account court") && story.contains("outcome whole"), "{story}");

    let (code, status) = fleet.operate(&["status"]);
    assert_eq!(code, 0);
    assert!(status.contains("side-loket"), "{status}");

    // No key reached an endpoint or the store.
    for standin in fleet.engines.iter().chain([&fleet.service, &fleet.platform]) {
        assert_eq!(standin.record()["key_seen"], json!(false));
    }
}

/// Guards against an engine that keeps generating after its caller has disconnected.
#[test]
fn a_caller_that_hangs_up_is_cancelled_at_the_engine() {
    let fleet = Fleet::start(FleetOptions { token_ms: 50, ..FleetOptions::default() });
    let key = fleet.grant("court");
    let request = caller::chat(&fleet.entries[0], &key);
    let response = request.send_string(&caller::chat_body("dropped", 2000, true)).expect("a head");
    let mut reader = response.into_reader();
    let mut first = [0; 1];
    std::io::Read::read_exact(&mut reader, &mut first).expect("the first byte");
    drop(reader);
    fleet::wait_for("the engine stops generating", || {
        let cancelled = fleet
            .engines
            .iter()
            .map(|engine| engine.record()["cancelled"].as_u64())
            .sum::<Option<u64>>();
        (cancelled == Some(1)).then_some(())
    });
}
