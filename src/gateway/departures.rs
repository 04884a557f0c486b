//! Endpoints that say in their answers that they leave. The store may learn of it later, or not at all.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::directory::{Endpoint, EndpointKey};

/// One start of an endpoint that leaves. It never takes that back.
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

/// The departures that answers have told of.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    started: HashMap<EndpointKey, u64>,
}

impl Departures {
    /// Notes one. Gives whether it was not known.
    pub fn note(&mut self, departure: Departure) -> bool {
        let before = self.started.insert(departure.endpoint, departure.started_unix_ms);
        before != Some(departure.started_unix_ms)
    }

    /// Starts of endpoints that leave, as answers say.
    #[must_use]
    pub fn count(&self) -> usize {
        self.started.len()
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.started.retain(|endpoint, _| is_known(*endpoint));
    }
}
