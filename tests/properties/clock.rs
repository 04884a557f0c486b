//! Tests of the clocks that daemons use.

use briarwinch::{clock, hub};

/// Guards against a daemon clock that starts at the boot of the instance. Daemons detect silent peers by the
/// time since their last message, and no message arrives before the start. With such a clock, every daemon
/// that starts would consider the readers of its zone silent and read the store itself.
#[test]
fn a_daemons_time_begins_at_its_start() {
    let before_ms = clock::boot_ms();
    let hub = hub::Hub::default();
    assert!(hub.now_ms() <= clock::boot_ms() - before_ms);
}
