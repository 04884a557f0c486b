//! Callers that do not keep to the limits, at `briarwinch-entry`: its process lives, stays within its memory and
//! descriptors and answers ordinary callers, beside the crowd and after it.

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

use crate::crowd::{Bounds, Script};
use crate::fleet::{Fleet, FleetOptions};
use crate::forms::{MAX_BODY_BYTES, Sender};

/// Memory that an entry has if its settings state none, in units of 1,000,000 bytes.
const MEMORY_MB: u64 = 64;
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
    let _turn = crowd::wait_for_turn();
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
    let bounds =
        Bounds { memory_mb: MEMORY_MB, descriptors: max_descriptors, body_bytes: MAX_BODY_BYTES };
    // Each payment has an idempotency key of its own.
    let mut number = 0;
    crowd::play(fleet.entries[0].process.pid(), addr, script, bounds, |body_bytes| {
        number += 1;
        ordinary_request(&ordinary_key, number, body_bytes)
    });
    assert!(!fleet.entries[0].process.has_exited(), "the entry has ended");
}
