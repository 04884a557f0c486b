//! Idle connections to endpoints, kept for the next request.
//!
//! The newest is used first, so that a burst's connections grow old and are closed. The number kept
//! is bounded; the number open at a time is not, beyond the requests under way.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::http1;

/// How long an idle connection is used where the endpoint said nothing: below the shortest time
/// that servers commonly keep one.
const IDLE_MS: u64 = 4_000;
/// Part of the time that an endpoint tells for which its connection is used.
const IDLE_PART: f64 = 0.7;
/// Longest time to connect: a hundred times the way between two zones.
const CONNECT: Duration = Duration::from_millis(300);
/// Idle connections kept for one endpoint; as many requests as one entry sends there at a time.
const MAX_IDLE: usize = 32;

#[derive(Debug)]
struct Idle {
    connection: http1::Connection,
    until_ms: u64,
}

/// The idle connections of one traffic thread.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// An idle connection that is still good.
    pub fn take(&mut self, addr: SocketAddr, now_ms: u64) -> Option<http1::Connection> {
        let idle = self.idle.get_mut(&addr)?;
        while let Some(one) = idle.pop() {
            if now_ms < one.until_ms && one.connection.is_reusable() {
                return Some(one.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn put(&mut self, addr: SocketAddr, connection: http1::Connection, now_ms: u64) {
        if !connection.is_reusable() {
            return;
        }
        let told_ms = connection
            .keep_alive_s()
            .map(|keep_alive_s| (keep_alive_s as f64 * 1_000.0 * IDLE_PART) as u64);
        let until_ms = now_ms + told_ms.unwrap_or(IDLE_MS);
        let idle = self.idle.entry(addr).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { connection, until_ms });
        }
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&mut self, now_ms: u64) {
        for idle in self.idle.values_mut() {
            idle.retain(|one| now_ms < one.until_ms && one.connection.is_reusable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Closes all idle connections to an address; what silenced one may have silenced all.
    pub fn close_idle(&mut self, addr: SocketAddr) {
        self.idle.remove(&addr);
    }
}

/// Opens a new connection.
///
/// # Errors
/// As [`http1::Connection::open`].
pub async fn connect(addr: SocketAddr) -> Result<http1::Connection, http1::Error> {
    http1::Connection::open(addr, CONNECT).await
}
