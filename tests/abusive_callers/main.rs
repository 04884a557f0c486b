//! Callers that do not keep to the limits, at `briarwinch-entry`: its process lives, stays within its memory and
//! descriptors and answers ordinary callers, beside the crowd and after it.
//!
//! The tests run one at a time, because what other tests hold on this machine would be measured as well.

#[path = "../processes/caller.rs"]
#[expect(dead_code, reason = "shared with the other tests")]
mod caller;
mod crowd;
#[path = "../processes/fleet.rs"]
#[expect(dead_code, reason = "shared with the other tests")]
mod fleet;
mod forms;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use crate::crowd::{Crowd, Measurement, Script};
use crate::fleet::{Fleet, FleetOptions};

/// Memory that an entry has if its settings state none, in units of 1,000,000 bytes.
const MEMORY_MB: u64 = 64;
/// Largest body in the settings of these tests.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Descriptors that the process may open.
const MAX_DESCRIPTORS: u64 = 4_100;

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Whose key a request of the crowd bears.
#[derive(Clone, Copy, Debug)]
enum Sender {
    Account,
    Unknown,
}

/// Key of the crowd's client account in the test that runs.
static CROWD_KEY: Mutex<String> = Mutex::new(String::new());

/// Returns the head of a request with a body up to its last field, which the caller of this ends.
fn request_head(sender: Sender, number: usize, fields: &str) -> String {
    let key = match sender {
        Sender::Account => CROWD_KEY.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        Sender::Unknown => "bw_no_key".to_owned(),
    };
    format!(
        "POST /services/loket/payments HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         idempotency-key: crowd-{number}\r\n{fields}"
    )
}

/// Returns a request of an ordinary caller with a body of this size.
fn ordinary_request(key: &str, number: usize, body_bytes: usize) -> Vec<u8> {
    let mut bytes = format!(
        "POST /services/loket/payments HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         idempotency-key: ordinary-{number}\r\ncontent-length: {body_bytes}\r\nconnection: close\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'x');
    bytes
}

/// Lets a crowd send to an entry and checks what must hold beside it and after it.
fn play(script: Script, max_descriptors: u64) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::start(FleetOptions {
        entries: 1,
        engines: 0,
        max_body_bytes: MAX_BODY_BYTES,
        max_descriptors: Some(max_descriptors),
        ..FleetOptions::default()
    });
    *CROWD_KEY.lock().unwrap_or_else(PoisonError::into_inner) = fleet.grant("court");
    let ordinary_key = fleet.grant("press");
    let addr: SocketAddr = fleet.entries[0].work_addr.parse().expect("an address");
    let measurement = Measurement::open(fleet.entries[0].process.pid(), addr);
    let check = |when: &str, number, body_bytes| {
        let status = crowd::status_of(addr, &ordinary_request(&ordinary_key, number, body_bytes));
        assert_eq!(status, 200, "{when} the crowd, a body of {body_bytes} bytes");
    };
    let crowd = Crowd::open(addr, script);
    crowd.settle();
    check("beside", 0, 0);
    check("beside", 1, 300);
    check("beside", 2, 16_000);
    drop(crowd);
    check("after", 3, 0);
    check("after", 4, MAX_BODY_BYTES);
    measurement.check(MEMORY_MB * 1_000_000, max_descriptors);
    assert!(!fleet.entries[0].process.has_exited(), "the entry has ended");
}
