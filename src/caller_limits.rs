//! Limits on what callers make a process hold, derived from the memory and the descriptors of its instance.
//!
//! Callers are not trusted to keep to the operators' limits, and those who do are served beside them: each limit is far
//! above what ordinary callers of one process need at a time. Where a limit is reached, the connection or body that has
//! made the least progress is given up.

use rustix::process::{Resource, getrlimit};

/// Memory that is assumed if it is unknown, in units of 1,000,000 bytes.
const DEFAULT_MEMORY_MB: u64 = 64;
/// Share of the memory for bodies that wait for their end or for an answer.
const BODIES_SHARE: u64 = 4;
/// Share of the memory for what reading bodies costs besides: buffers of the server and of the kernel, and small bodies.
const READING_SHARE: u64 = 8;
/// Share of the memory for incomplete heads.
const HEADS_SHARE: u64 = 12;
/// Share of the memory for open connections.
const CONNECTIONS_SHARE: u64 = 8;
/// Memory of an open connection without its buffers.
const CONNECTION_BYTES: u64 = 6 << 10;
/// Descriptors for files and for what does not depend on the number of callers.
const OWN_DESCRIPTORS: u64 = 200;
/// Least number of connections that are accepted.
const MIN_CONNECTIONS: u64 = 16;

/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bodies that wait for their end or for an answer, in bytes.
    pub bodies_bytes: usize,
    /// What reading bodies costs besides, in bytes.
    pub reading_bytes: usize,
    /// Incomplete heads, in bytes.
    pub heads_bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl CallerLimits {
    /// Returns the limits of a process with this memory that may open this number of descriptors. A quarter of the
    /// descriptors is left for connections to endpoints, peers and the store.
    #[must_use]
    pub fn new(memory_mb: Option<u64>, max_descriptors: u64) -> Self {
        let memory_bytes = memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1_000_000);
        let share = |of: u64| usize::try_from(memory_bytes / of).unwrap_or(usize::MAX);
        let by_descriptors = max_descriptors.saturating_sub(OWN_DESCRIPTORS) / 4 * 3;
        let by_memory = memory_bytes / CONNECTIONS_SHARE / CONNECTION_BYTES;
        let connections = by_descriptors.min(by_memory).max(MIN_CONNECTIONS);
        Self {
            bodies_bytes: share(BODIES_SHARE),
            reading_bytes: share(READING_SHARE),
            heads_bytes: share(HEADS_SHARE),
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
        }
    }

    /// Returns the limits of each of several traffic threads for what they do not share.
    #[must_use]
    pub fn of_thread(self, threads: usize) -> Self {
        let threads = threads.max(1);
        let connections = self.connections.div_ceil(threads);
        Self { heads_bytes: self.heads_bytes / threads, connections, ..self }
    }
}

/// Number of descriptors that this process may open.
#[must_use]
pub fn max_descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}
