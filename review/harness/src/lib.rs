//! Stand-ins for the platform's store, its interface for duties, runners and clients, and the start of entries as
//! separate processes. They speak the users' protocol on loopback addresses.

pub mod client;
pub mod entry;
pub mod http;
pub mod record;
pub mod runner;
pub mod store;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the script plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; false after the limit.
pub fn wait_until(limit_ms: u64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        sleep_ms(10);
    }
    true
}
