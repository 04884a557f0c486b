//! Endpoints that have announced in a response that they are leaving. The store may learn of this later or
//! never, and continues to list them as ready.
//!
//! Entries forward the announcement to each other, so that an entry without a response from the endpoint
//! also stops sending to it. A process of an endpoint never revokes its departure; each process under the same
//! id has a departure of its own, since the start times in records do not always order them.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use serde::{Deserialize, Serialize};

use super::directory::{Endpoint, EndpointKey};

/// How long a departure is sent to peers; long enough to reach peers that were cut off for a while.
const GOSSIP_MS: u64 = 10_000;
/// How long a departure is kept: far longer than a leaving endpoint goes on serving, so that no old list
/// brings the endpoint back.
const RETENTION_MS: u64 = 600_000;

/// The departure of one process of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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

/// Departures learned from responses and from peers.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// By departure, since when it is known.
    known_since_ms: HashMap<Departure, u64>,
}

impl Departures {
    /// Records a departure and returns whether it is new.
    pub fn record(&mut self, departure: Departure, now_ms: u64) -> bool {
        match self.known_since_ms.entry(departure) {
            Entry::Occupied(_) => false,
            Entry::Vacant(vacant) => {
                vacant.insert(now_ms);
                true
            }
        }
    }

    /// Returns whether this process of an endpoint is leaving.
    #[must_use]
    pub fn contains(&self, endpoint: &Endpoint) -> bool {
        self.known_since_ms.contains_key(&Departure::of(endpoint))
    }

    /// Returns the departures to send to the other entries.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<Departure> {
        let is_recent = |since_ms: &u64| now_ms < since_ms + GOSSIP_MS;
        let recent = self.known_since_ms.iter().filter(|(_, since_ms)| is_recent(since_ms));
        let mut departures: Vec<Departure> = recent.map(|(departure, _)| *departure).collect();
        departures.sort_unstable();
        departures
    }

    /// Drops departures that are older than the retention time.
    pub fn sweep(&mut self, now_ms: u64) {
        self.known_since_ms.retain(|_, since_ms| now_ms < *since_ms + RETENTION_MS);
    }
}
