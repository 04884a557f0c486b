//! The clocks of an instance.
//!
//! Spans are measured on the boot clock, which goes on while an instance is suspended: a lease that
//! ran out meanwhile is then seen to have run out. The time of day is read once, at the start, and
//! carried on by the boot clock, so that a jump of the instance's own time of day changes nothing; a
//! start in the middle of a jump is corrected by older peers.

use std::sync::LazyLock;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time;

/// Milliseconds on the boot clock.
#[must_use]
pub fn boot_ms() -> u64 {
    boot_us() / 1_000
}

fn boot_us() -> u64 {
    let now = time::clock_gettime(time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// The time of day, as far as this instance knows it.
#[derive(Debug)]
pub struct TimeOfDay {
    /// Unix time less boot time.
    anchor_ms: AtomicI64,
    started_ms: u64,
}

impl TimeOfDay {
    /// Reads the instance's time of day.
    fn open() -> Self {
        let started_ms = boot_ms();
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        let anchor_ms = unix_ms as i64 - started_ms as i64;
        Self { anchor_ms: AtomicI64::new(anchor_ms), started_ms }
    }

    /// Milliseconds since 1970.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        (boot_ms() as i64 + self.anchor_ms.load(Ordering::Relaxed)).max(0) as u64
    }

    /// Microseconds since 1970.
    #[must_use]
    pub fn unix_us(&self) -> u64 {
        let anchor_us = self.anchor_ms.load(Ordering::Relaxed) * 1_000;
        (boot_us() as i64 + anchor_us).max(0) as u64
    }

    /// How long this process has kept the time.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.started_ms)
    }

    /// Moves the time of day by this much.
    pub fn shift_ms(&self, by_ms: i64) {
        self.anchor_ms.fetch_add(by_ms, Ordering::Relaxed);
    }
}

/// The time of day of this process: log lines, billing windows and digests all go by it, so that a
/// request's lines from several instances stand in their true order.
#[must_use]
pub fn time_of_day() -> &'static TimeOfDay {
    static PROCESS: LazyLock<TimeOfDay> = LazyLock::new(TimeOfDay::open);
    &PROCESS
}

/// By how much to move the time of day, from what older peers show beyond it: their median.
#[must_use]
pub fn correction_ms(beyond_ms: &mut [i64]) -> Option<i64> {
    /// Below this a difference is transit time and the platform's own spread.
    const LEAST_MS: i64 = 250;
    if beyond_ms.is_empty() {
        return None;
    }
    beyond_ms.sort_unstable();
    let median = beyond_ms[beyond_ms.len() / 2];
    (median.abs() >= LEAST_MS).then_some(median)
}
