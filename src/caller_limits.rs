//! Limits on what callers make a process hold, derived from the memory of its instance.
//!
//! Callers are not trusted to keep to the operators' limits, and those who do are served beside them: each limit is far
//! above what ordinary callers of one process need at a time. Where a limit is reached, the connection that has made the
//! least progress is closed.

/// Memory that is assumed if it is unknown, in units of 1,000,000 bytes.
const DEFAULT_MEMORY_MB: u64 = 64;
/// Share of the memory for incomplete heads.
const HEADS_SHARE: u64 = 12;
/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Incomplete heads, in bytes.
    pub heads_bytes: usize,
}

impl CallerLimits {
    /// Returns the limits of a process with this memory.
    #[must_use]
    pub fn new(memory_mb: Option<u64>) -> Self {
        let memory_bytes = memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1_000_000);
        let share = |of: u64| usize::try_from(memory_bytes / of).unwrap_or(usize::MAX);
        Self { heads_bytes: share(HEADS_SHARE) }
    }

    /// Returns the limits of each of several traffic threads for what they do not share.
    #[must_use]
    pub fn of_thread(self, threads: usize) -> Self {
        Self { heads_bytes: self.heads_bytes / threads.max(1) }
    }
}
