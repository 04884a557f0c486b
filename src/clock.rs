//! The clocks of an instance.
//!
//! Durations are measured with the boot clock, which keeps running while an instance is suspended, so
//! that a lease that expires meanwhile is seen as expired. The time of day is read once at the start and
//! advanced with the boot clock, so that a jump of the instance's wall clock has no effect. If the
//! process started during such a jump, its time is corrected from peers that have run longer.

use std::sync::LazyLock;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time;

/// Returns the boot clock in milliseconds.
#[must_use]
pub fn boot_ms() -> u64 {
    boot_us() / 1_000
}

fn boot_us() -> u64 {
    let now = time::clock_gettime(time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// The time of day as known to this process.
#[derive(Debug)]
pub struct TimeOfDay {
    /// Unix time minus boot time.
    anchor_ms: AtomicI64,
    started_ms: u64,
}

impl TimeOfDay {
    /// Reads the instance's wall clock.
    fn read_wall_clock() -> Self {
        let started_ms = boot_ms();
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis());
        let anchor_ms = unix_ms as i64 - started_ms as i64;
        Self { anchor_ms: AtomicI64::new(anchor_ms), started_ms }
    }

    /// Returns the milliseconds since 1970.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        (boot_ms() as i64 + self.anchor_ms.load(Ordering::Relaxed)).max(0) as u64
    }

    /// Returns the microseconds since 1970.
    #[must_use]
    pub fn unix_us(&self) -> u64 {
        let anchor_us = self.anchor_ms.load(Ordering::Relaxed) * 1_000;
        (boot_us() as i64 + anchor_us).max(0) as u64
    }

    /// Returns how long this process has kept the time.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.started_ms)
    }

    /// Moves the time of day by `by_ms`.
    pub fn shift_ms(&self, by_ms: i64) {
        self.anchor_ms.fetch_add(by_ms, Ordering::Relaxed);
    }
}

/// Returns the time of day of this process. Log lines, billing windows and digests all use it, so that the
/// log lines of a request from several instances sort in their true order.
#[must_use]
pub fn time_of_day() -> &'static TimeOfDay {
    static PROCESS: LazyLock<TimeOfDay> = LazyLock::new(TimeOfDay::read_wall_clock);
    &PROCESS
}

/// Returns the correction of the time of day: the median of the offsets of longer-running peers, if it is
/// large enough.
#[must_use]
pub fn correction_ms(peer_offsets_ms: &mut [i64]) -> Option<i64> {
    /// Smaller differences are transit time and the normal spread of the platform's clocks.
    const MIN_CORRECTION_MS: i64 = 250;
    if peer_offsets_ms.is_empty() {
        return None;
    }
    peer_offsets_ms.sort_unstable();
    let median = peer_offsets_ms[peer_offsets_ms.len() / 2];
    (median.abs() >= MIN_CORRECTION_MS).then_some(median)
}
