//! Endpoints that have announced in a response that they are leaving. The store may learn of this later or
//! never, and continues to list them as ready.
//!
//! Entries forward the announcement to each other, so that an entry without a response from the endpoint
//! also stops sending to it. A process of an endpoint never revokes its departure; a new process
//! under the same id counts as a different endpoint.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::directory::{Endpoint, EndpointKey};

/// How long a departure is sent to peers; long enough to reach peers that were cut off for a while.
const GOSSIP_MS: u64 = 10_000;
/// How long a departure is kept: far longer than a leaving endpoint goes on serving, so that no old list
/// brings the endpoint back.
const RETENTION_MS: u64 = 600_000;

/// The departure of one process of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    pub endpoint: EndpointKey,
    /// Identifies the process, as [`Endpoint::started_unix_ms`] does.
    pub started_unix_ms: u64,
}

impl Departure {
    #[must_use]
    pub fn of(endpoint: &Endpoint) -> Self {
        Self { endpoint: endpoint.key, started_unix_ms: endpoint.started_unix_ms }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    started_unix_ms: u64,
    since_ms: u64,
}

/// Departures learned from responses and from peers.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    known: HashMap<EndpointKey, Known>,
}

impl Departures {
    /// Records a departure and returns whether it is new. Of several processes of an endpoint only the
    /// latest is kept.
    pub fn record(&mut self, departure: Departure, now_ms: u64) -> bool {
        let Departure { endpoint, started_unix_ms } = departure;
        let is_old = |known: &Known| started_unix_ms <= known.started_unix_ms;
        if self.known.get(&endpoint).is_some_and(is_old) {
            return false;
        }
        self.known.insert(endpoint, Known { started_unix_ms, since_ms: now_ms });
        true
    }

    /// Returns whether this process of an endpoint is leaving.
    #[must_use]
    pub fn contains(&self, endpoint: &Endpoint) -> bool {
        let known = self.known.get(&endpoint.key);
        known.is_some_and(|known| known.started_unix_ms == endpoint.started_unix_ms)
    }

    /// Returns the departures to send to the other entries.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<Departure> {
        let recent = self.known.iter().filter(|(_, known)| now_ms < known.since_ms + GOSSIP_MS);
        let departures = recent.map(|(endpoint, known)| Departure {
            endpoint: *endpoint,
            started_unix_ms: known.started_unix_ms,
        });
        let mut departures: Vec<Departure> = departures.collect();
        departures.sort_unstable_by_key(|departure| departure.endpoint);
        departures
    }

    /// Drops departures that are older than the retention time.
    pub fn sweep(&mut self, now_ms: u64) {
        self.known.retain(|_, known| now_ms < known.since_ms + RETENTION_MS);
    }
}
