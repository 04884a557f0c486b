//! Pool of idle connections to endpoints.
//!
//! The most recently used connection is taken first, so that surplus connections of a burst expire. The
//! number of idle connections is bounded. The number of open connections is bounded only by the number
//! of active requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::http1;

/// How long an idle connection is reused if the endpoint states no limit. It is below the shortest
/// keep-alive time that is common among servers.
const IDLE_MS: u64 = 4_000;
/// Fraction of the endpoint's stated keep-alive time for which an idle connection is reused.
const KEEP_ALIVE_RATIO: f64 = 0.7;
/// Time limit for connecting, a hundred times the latency between two zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections per endpoint, equal to the number of requests that one entry sends
/// to it at the same time.
const MAX_IDLE: usize = 32;

/// Part of the drain time of a leaving endpoint within which a request has to be delivered. The rest is left
/// for the news of its leaving to reach this entry.
const DELIVERY_DIVISOR: u64 = 2;

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
    /// Takes an idle connection that can still be used.
    pub fn take(&mut self, addr: SocketAddr, now_ms: u64) -> Option<http1::Connection> {
        let idle = self.idle.get_mut(&addr)?;
        while let Some(one) = idle.pop() {
            if now_ms < one.until_ms && one.connection.is_reusable() {
                return Some(one.connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse once its response has been read completely.
    pub fn put(&mut self, addr: SocketAddr, connection: http1::Connection, now_ms: u64) {
        if !connection.is_reusable() {
            return;
        }
        let stated_ms = connection
            .keep_alive_s()
            .map(|keep_alive_s| (keep_alive_s as f64 * 1_000.0 * KEEP_ALIVE_RATIO) as u64);
        let until_ms = now_ms + stated_ms.unwrap_or(IDLE_MS);
        let idle = self.idle.entry(addr).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { connection, until_ms });
        }
    }

    /// Closes connections that have expired or are no longer usable.
    pub fn sweep(&mut self, now_ms: u64) {
        for idle in self.idle.values_mut() {
            idle.retain(|one| now_ms < one.until_ms && one.connection.is_reusable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Whether an idle connection to an address was closed by its peer.
    #[must_use]
    pub fn has_lost(&self, addr: SocketAddr) -> bool {
        let idle = self.idle.get(&addr);
        idle.is_some_and(|idle| idle.iter().any(|one| !one.connection.is_reusable()))
    }

    /// Closes all idle connections to an address. A failure of one connection may have affected all.
    pub fn close_idle(&mut self, addr: SocketAddr) {
        self.idle.remove(&addr);
    }
}

/// Opens a new connection to an endpoint that takes requests for `leave_ms` after it has announced that it
/// is leaving.
///
/// # Errors
/// As [`http1::Connection::open`].
pub async fn connect(addr: SocketAddr, leave_ms: u64) -> Result<http1::Connection, http1::Error> {
    let connection = http1::Connection::open(addr, CONNECT_TIMEOUT).await?;
    connection.limit_delivery(Duration::from_millis(leave_ms / DELIVERY_DIVISOR))?;
    Ok(connection)
}
