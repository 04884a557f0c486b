//! The clocks that daemons go by.

use briarwinch::{clock, hub};

/// Daemons take the time since something was last heard for silence, and nothing was heard before
/// their start. By a clock that began at the instance's boot, each daemon that starts would find the
/// readers of its zone silent and read the store itself.
#[test]
fn a_daemons_time_begins_at_its_start() {
    let before_ms = clock::boot_ms();
    let hub = hub::Hub::default();
    assert!(hub.now_ms() <= clock::boot_ms() - before_ms);
}
