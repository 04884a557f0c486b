//! Engines behind a side that stop in the middle of the head of their response and close in order.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::caller;
use crate::fleet::{Fleet, FleetOptions};

const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
];
/// Distance between two of the places at which a head is cut.
const STEP: usize = 5;

/// What an engine answers, and how many requests it has received.
#[derive(Default)]
pub struct State {
    pub bytes: Vec<u8>,
    pub requests: usize,
}

/// Starts an engine that answers each request with the same bytes and closes the connection. Returns its URL.
pub fn engine(state: Arc<Mutex<State>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // The whole request fits the buffer; what is left unread would reset the connection.
            let _ = stream.read(&mut [0; 16_384]);
            let answer = {
                let mut state = state.lock().expect("the engine's state");
                state.requests += 1;
                state.bytes.clone()
            };
            let _ = stream.write_all(&answer);
        }
    });
    format!("http://{addr}")
}

/// Guards against a head that was cut off and is taken for a response without a body, or with the body that came so far.
#[test]
fn no_cut_head_behind_a_side_looks_like_a_success() {
    let state = Arc::new(Mutex::new(State::default()));
    let requests = || state.lock().expect("the engine's state").requests;
    let mut fleet =
        Fleet::start(FleetOptions { entries: 1, engines: 0, ..FleetOptions::default() });
    let side = fleet.spawn_side("side-cut", "juru-tulis", &engine(Arc::clone(&state)));
    fleet.sides.push(side);
    fleet.wait_until_connected();
    let key = fleet.grant("court");
    for head in HEADS {
        for length in (1..head.len()).step_by(STEP) {
            state.lock().expect("the engine's state").bytes = head.as_bytes()[..length].to_vec();
            for streams in [false, true] {
                let before = requests();
                let body = caller::chat_body("cut", 2, streams);
                let answer = caller::try_send(caller::chat(&fleet.entries[0], &key), &body);
                // Without an answer the connection broke, which no caller takes for a success.
                let status = answer.map(|answer| (answer.status, answer.text));
                let is_success = matches!(status, Some((200..300, _)));
                assert!(requests() > before, "no request reached the engine: {status:?}");
                assert!(!is_success, "{length} bytes of {head:?}: {status:?}");
            }
        }
    }
}
