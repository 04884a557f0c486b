//! Tests with endpoints that close connections that were kept open between requests.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::json;

use crate::caller;
use crate::fleet::{Fleet, FleetOptions};

/// Serves one request on each connection, keeps the connection open, and closes it without an answer when the
/// next request arrives.
fn serve(answer: String) -> (String, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("bound"));
    let answered = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&answered);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (answer, counter) = (answer.clone(), Arc::clone(&counter));
            std::thread::spawn(move || {
                let mut stream = stream.expect("a connection");
                if read_request(&mut stream) {
                    counter.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.write_all(answer.as_bytes());
                    let _ = stream.read(&mut [0; 1]);
                }
            });
        }
    });
    (url, answered)
}

/// Reads a request up to the end of its body, whose length is in the head.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let Some(head_end) = text.find("\r\n\r\n") else { continue };
        let length = text
            .split("content-length: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next()?.parse::<usize>().ok());
        if bytes.len() >= head_end + 4 + length.unwrap_or(0) {
            return true;
        }
    }
}

fn http(content_type: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\nconnection: keep-alive\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// An engine closes an idle connection at the moment when the side sends the next request on it. Guards
/// against failed requests, one in several hundred, although the endpoint is healthy.
#[test]
fn request_on_a_connection_just_closed_is_sent_again() {
    let token = json!({"choices": [{"delta": {"content": caller::token("stale", 0)}}]});
    let (url, _) = serve(http("text/event-stream", &format!("data: {token}\n\ndata: [DONE]\n\n")));
    let mut fleet =
        Fleet::start(FleetOptions { entries: 1, engines: 0, ..FleetOptions::default() });
    let side = fleet.spawn_side("side-stale", "juru-tulis", &url);
    fleet.sides.push(side);
    fleet.wait_until_connected();
    let key = fleet.grant("court");
    for _ in 0..6 {
        let request = caller::chat(&fleet.entries[0], &key);
        let answer = caller::send(request, &caller::chat_body("stale", 1, true));
        caller::assert_complete(&answer.text, "stale", 1);
    }
}

/// Guards against a call that may not be repeated on a used connection, where a close by the endpoint could
/// not be distinguished from a lost answer.
#[test]
fn payment_never_goes_out_on_a_used_connection() {
    let (url, answered) = serve(http("application/json", "{}"));
    let mut options = FleetOptions { entries: 1, engines: 0, ..FleetOptions::default() };
    options.config["services"]["mint"] = json!({
        "kind": "plain", "default_class": "lookup", "repeatable": false,
    });
    let mut fleet = Fleet::start(options);
    let side = fleet.spawn_side("side-mint", "mint", &url);
    fleet.sides.push(side);
    fleet.wait_until_connected();
    let key = fleet.grant("court");
    for number in 0..6 {
        let request = ureq::post(&format!("{}/services/mint/coins", fleet.entries[0].url()))
            .set("authorization", &format!("Bearer {key}"))
            .set("idempotency-key", &format!("coin-{number}"));
        let answer = caller::send(request, "{}");
        assert_eq!((answer.status, answer.text.as_str()), (200, "{}"));
    }
    assert_eq!(answered.load(Ordering::Relaxed), 6);
}
