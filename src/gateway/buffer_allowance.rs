//! Allowance for the bytes of responses that are buffered because their end, or the end of an event, has not
//! arrived. All requests of the process share it.
//!
//! A response of stated length reserves all of it before its body is read, and waits for that while it holds nothing.
//! Another one that finds the allowance used up fails at once: if such responses waited for each other's bytes, none of
//! them might end, and all would hold theirs until their time limits.
//!
//! An allowance that is sized by the instance's memory also covers what callers have not taken, and the first bytes of
//! each response: with a thousand slow callers these alone would exceed it.

use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};

/// Bytes that each response may buffer without a reservation, so that short responses never fail because of
/// long ones.
pub const FREE_BYTES: usize = 64 << 10;
/// Maximum number of bytes that all responses together buffer beyond these.
pub const SHARED_BYTES: usize = 8 << 20;
/// A quarter of a unit of `memory_mb`.
const BYTES_PER_MB: u64 = 1_000_000 / 4;

/// The part of the allowance that is left.
#[derive(Debug)]
pub struct BufferAllowance {
    /// Below zero while responses that are never refused hold more than the allowance.
    left_bytes: AtomicIsize,
    total_bytes: usize,
    /// Whether the first bytes of each response count as well.
    counts_all: bool,
}

impl Default for BufferAllowance {
    fn default() -> Self {
        Self::new(SHARED_BYTES, false)
    }
}

impl BufferAllowance {
    fn new(total_bytes: usize, counts_all: bool) -> Self {
        let left_bytes = AtomicIsize::new(signed(total_bytes));
        Self { left_bytes, total_bytes, counts_all }
    }

    /// An allowance of a quarter of the instance's memory that counts all buffered bytes.
    #[must_use]
    pub fn of_memory(memory_mb: Option<u64>) -> Self {
        let quarter = |mb: u64| usize::try_from(mb.saturating_mul(BYTES_PER_MB));
        let total_bytes = memory_mb.and_then(|mb| quarter(mb).ok()).unwrap_or(SHARED_BYTES);
        Self::new(total_bytes.min(isize::MAX as usize), true)
    }

    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Bytes that are not reserved; below zero if more than the allowance is.
    #[must_use]
    pub fn left_bytes(&self) -> isize {
        self.left_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        usize::try_from(signed(self.total_bytes) - self.left_bytes()).unwrap_or_default()
    }
}

fn signed(bytes: usize) -> isize {
    isize::try_from(bytes).unwrap_or(isize::MAX)
}

/// The bytes that one response has reserved.
#[derive(Debug)]
pub struct Reservation {
    allowance: Arc<BufferAllowance>,
    bytes: usize,
}

impl Reservation {
    #[must_use]
    pub fn new(allowance: &Arc<BufferAllowance>) -> Self {
        Self { allowance: Arc::clone(allowance), bytes: 0 }
    }

    /// Reserves what a response needs that has buffered this much, or releases the rest. Returns false if the
    /// allowance is used up.
    pub fn resize(&mut self, buffered_bytes: usize) -> bool {
        let is_short = buffered_bytes <= FREE_BYTES;
        let needed_bytes = match self.allowance.counts_all {
            true => buffered_bytes,
            false => buffered_bytes.saturating_sub(FREE_BYTES),
        };
        if needed_bytes <= self.bytes || (is_short && self.allowance.counts_all) {
            self.resize_always(needed_bytes);
            return true;
        }
        let more_bytes = signed(needed_bytes - self.bytes);
        let take = |left: isize| (left >= more_bytes).then(|| left - more_bytes);
        let left_bytes = &self.allowance.left_bytes;
        if left_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_err() {
            return false;
        }
        self.bytes = needed_bytes;
        true
    }

    /// Reserves exactly this much, also beyond the allowance: for bytes that are buffered already.
    pub fn resize_always(&mut self, bytes: usize) {
        let freed_bytes = signed(self.bytes) - signed(bytes);
        self.allowance.left_bytes.fetch_add(freed_bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// The bytes that it has reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize_always(0);
    }
}
