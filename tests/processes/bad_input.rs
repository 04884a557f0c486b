//! Tests that malformed input is refused with its error code and does not affect other requests.

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};

use serde_json::json;

use crate::caller;
use crate::fleet::{self, Fleet, FleetOptions};

/// Guards against malformed requests that reach the engine, get an answer without a specific error code
/// or disturb the next request.
#[test]
fn bad_input_is_refused_with_its_error_code() {
    let fleet = Fleet::start(FleetOptions { entries: 1, engines: 1, ..FleetOptions::default() });
    let key = fleet.grant("court");
    let entry = &fleet.entries[0];
    let bearer = format!("Bearer {key}");
    let post =
        |path: &str| ureq::post(&format!("{}{path}", entry.url())).set("authorization", &bearer);
    let chat = "/v1/chat/completions";
    let good = caller::chat_body("good", 2, true);
    let wrong_secret = format!("{}0", &key[..key.len() - 1]);
    let wrong_secret =
        if wrong_secret == key { format!("{}1", &key[..key.len() - 1]) } else { wrong_secret };
    let no_key = ureq::post(&format!("{}{chat}", entry.url()));
    let bad_key = no_key.clone().set("authorization", &format!("Bearer {wrong_secret}"));
    let no_model = json!({"messages": [{"content": "x"}]}).to_string();
    let other_model = json!({"model": "gpt", "messages": [{"content": "x"}]}).to_string();
    let with_key = caller::chat_body(&format!("my key is {key}"), 2, true);
    let cases = [
        (post(chat), "{\"model\": ", 400, "invalid_request"),
        (post(chat), no_model.as_str(), 400, "invalid_request"),
        (post(chat), other_model.as_str(), 404, "unknown_model"),
        (post(chat).set("briarwinch-class", "first"), good.as_str(), 400, "unknown_class"),
        (post(chat).set("briarwinch-deadline-ms", "soon"), good.as_str(), 400, "invalid_request"),
        (no_key, good.as_str(), 401, "missing_key"),
        (bad_key, good.as_str(), 401, "invalid_key"),
        (post("/v1/embeddings"), good.as_str(), 404, "unknown_path"),
        (post("/services/mint/coins"), good.as_str(), 404, "unknown_service"),
        (post("/services/juru-tulis/v1/x"), good.as_str(), 404, "unknown_service"),
        (post("/services/loket/payments"), "{}", 400, "idempotency_key_required"),
        (post(chat), with_key.as_str(), 400, "key_in_request"),
    ];
    for (request, body, status, code) in cases {
        let answer = caller::send(request, body);
        assert_eq!((answer.status, answer.code().as_str()), (status, code), "{}", answer.text);
        assert_eq!(answer.ran.as_deref(), Some("no"), "{code}");
    }
    let long = caller::chat_body(&"x".repeat(200_000), 2, true);
    let answer = caller::send(post(chat), &long);
    assert_eq!((answer.status, answer.code().as_str()), (413, "body_too_large"));

    check_partial_request(entry, &bearer);
    check_garbage(&fleet);

    let record = fleet.engines[0].record();
    assert_eq!(record["runs"], json!({}), "a bad request reached the engine");
    let answer = caller::send(post(chat), &good);
    caller::assert_complete(&answer.text, "good", 2);
}

/// Checks that a caller that sends only a part of its body is refused or disconnected.
fn check_partial_request(entry: &fleet::Daemon, bearer: &str) {
    let mut stream = TcpStream::connect(&entry.work_addr).expect("the entry listens");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: {bearer}\r\n\
         content-length: 500\r\n\r\n{{\"model\""
    );
    stream.write_all(head.as_bytes()).expect("the entry reads");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
}

/// Checks that bytes that are not messages of this fleet are dropped and counted.
fn check_garbage(fleet: &Fleet) {
    let side = &fleet.sides[0];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for length in [0, 1, 15, 16, 17, 1400, 4000] {
        let bytes: Vec<u8> = (0..length).map(|at| (at * 31) as u8).collect();
        for addr in [&side.work_addr, &side.peer_addr, &fleet.entries[0].peer_addr] {
            socket.send_to(&bytes, addr).expect("loopback accepts the datagram");
        }
    }
    for addr in [&side.work_addr, &side.peer_addr] {
        for bytes in [&[0xff; 64][..], &[0; 8], &[16, 0, 0, 0, 1, 2, 3]] {
            let mut stream = TcpStream::connect(addr).expect("the side listens");
            let _ = stream.write_all(bytes);
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let _ = stream.read(&mut [0; 64]);
        }
    }
    fleet::wait_for("the side counts the rejected messages", || {
        let datagrams = side.metric("briarwinch_rejected_messages_total");
        let links = side.metric("briarwinch_links_refused_total");
        (datagrams >= 10.0 && links >= 2.0).then_some(())
    });
}
