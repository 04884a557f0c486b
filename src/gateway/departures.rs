//! Endpoints that say in their answers that they leave. The store may learn of it later, or not at all, and goes
//! on listing them as ready.
//!
//! Entries tell each other, so that one that was not answered by the endpoint itself sends nothing there
//! either. A start of an endpoint never takes it back; another start under the same id is another endpoint.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::directory::{Endpoint, EndpointKey};

/// How long peers are told: those that were cut off for a while still hear of it.
const TOLD_MS: u64 = 10_000;
/// How long it is remembered: far longer than a leaving endpoint serves, so that no old list brings it back.
const REMEMBERED_MS: u64 = 600_000;

/// One start of an endpoint that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    pub endpoint: EndpointKey,
    /// Tells the start from others under the same id, as [`Endpoint::started_unix_ms`].
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

/// The departures that answers, and peers, have told of.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    known: HashMap<EndpointKey, Known>,
}

impl Departures {
    /// Notes one. Gives whether it was not known. Of two starts of an endpoint the later one counts.
    pub fn record(&mut self, departure: Departure, now_ms: u64) -> bool {
        let Departure { endpoint, started_unix_ms } = departure;
        let is_old = |known: &Known| started_unix_ms <= known.started_unix_ms;
        if self.known.get(&endpoint).is_some_and(is_old) {
            return false;
        }
        self.known.insert(endpoint, Known { started_unix_ms, since_ms: now_ms });
        true
    }

    /// Whether this start of an endpoint leaves.
    #[must_use]
    pub fn contains(&self, endpoint: &Endpoint) -> bool {
        let known = self.known.get(&endpoint.key);
        known.is_some_and(|known| known.started_unix_ms == endpoint.started_unix_ms)
    }

    /// What the other entries are told.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<Departure> {
        let recent = self.known.iter().filter(|(_, known)| now_ms < known.since_ms + TOLD_MS);
        let told = recent.map(|(endpoint, known)| Departure {
            endpoint: *endpoint,
            started_unix_ms: known.started_unix_ms,
        });
        let mut told: Vec<Departure> = told.collect();
        told.sort_unstable_by_key(|departure| departure.endpoint);
        told
    }

    /// Forgets what is of no matter any more.
    pub fn sweep(&mut self, now_ms: u64) {
        self.known.retain(|_, known| now_ms < known.since_ms + REMEMBERED_MS);
    }
}
