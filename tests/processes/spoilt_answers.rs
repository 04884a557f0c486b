//! Engines behind a side that send an answer which is none in the protocol, or part of one and then reset the connection.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::caller;
use crate::cut_heads::{State, engine};
use crate::fleet::{Fleet, FleetOptions};
use crate::spoilt_forms;

const START: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
const BODY: &str = "{\"id\":\"from it\"}";
const RESET_CALLS: usize = 10;
/// Length of a prompt that does not fit into the buffers of a connection, whose receive buffer is made small.
const PROMPT_BYTES: usize = 1_000_000;
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;

fn start_fleet(engine_url: &str) -> Fleet {
    let mut fleet =
        Fleet::start(FleetOptions { entries: 1, engines: 0, ..FleetOptions::default() });
    let side = fleet.spawn_side("side-spoilt", "juru-tulis", engine_url);
    fleet.sides.push(side);
    fleet.wait_until_connected();
    fleet
}

/// Sends a request for each of these answers of the engine, and checks that none is a success or reaches the caller.
fn assert_are_failures(raws: &[String]) {
    let state = Arc::new(Mutex::new(State::default()));
    let fleet = start_fleet(&engine(Arc::clone(&state)));
    let key = fleet.grant("court");
    let mut failures = Vec::new();
    for raw in raws {
        state.lock().expect("the engine's state").bytes = raw.clone().into_bytes();
        let body = caller::chat_body("spoilt", 2, false);
        let answer = caller::try_send(caller::chat(&fleet.entries[0], &key), &body);
        if let Some(answer) = answer
            && (answer.status < 500 || answer.status > 599 || answer.text.contains("from it"))
        {
            let start: String = answer.text.chars().take(60).collect();
            failures.push(format!("{raw:?}: {} {start:?}", answer.status));
        }
    }
    assert!(failures.is_empty(), "{} failed:\n{}", failures.len(), failures.join("\n"));
}

/// Guards against answers that are none in the protocol and reach a caller as a success.
#[test]
fn no_spoilt_answer_behind_a_side_looks_like_a_success() {
    assert_are_failures(&spoilt_forms::answers(START, BODY));
}

/// Guards against a damaged length that goes on as another field after a line feed alone.
#[test]
fn no_line_feed_alone_behind_a_side_ends_a_line() {
    assert_are_failures(&[spoilt_forms::length_with_line_feed(START, BODY)]);
}

/// Guards against part of an answer that counts as all of it: its engine reset the connection while the request was
/// still being written.
#[test]
fn no_early_answer_that_is_reset_behind_a_side_looks_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let buffer = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    buffer.expect("the buffer is made small");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1_024]);
            let _ = stream.write_all(format!("{START}\r\n{BODY}").as_bytes());
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    let fleet = start_fleet(&format!("http://{addr}"));
    let key = fleet.grant("court");
    let prompt = "x".repeat(PROMPT_BYTES);
    for _ in 0..RESET_CALLS {
        let body = caller::chat_body(&prompt, 2, false);
        let answer = caller::try_send(caller::chat(&fleet.entries[0], &key), &body);
        let answer = answer.map(|answer| (answer.status, answer.text));
        assert!(!matches!(answer, Some((200..300, _))), "{answer:?}");
    }
}
