//! Endpoints that leave both a request and a health check unanswered, as one entry finds out and tells the others.
//!
//! Each entry would otherwise write a request of its own to a process that stands still before it notices. What is told
//! lapses soon unless it is repeated: the path to the endpoint may have failed for one entry only.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::directory::{Endpoint, EndpointKey};

/// Time for which others avoid an endpoint after an entry has found it silent.
const TOLD_MS: u64 = 700;

/// Silence of one process of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    pub endpoint: EndpointKey,
    /// Identifies the process, as [`Endpoint::started_unix_ms`] does.
    pub started_unix_ms: u64,
    /// Time since an entry has last found it silent.
    pub age_ms: u64,
}

impl Silence {
    /// A silence that lasts now.
    #[must_use]
    pub fn of(endpoint: &Endpoint) -> Self {
        Self { endpoint: endpoint.key, started_unix_ms: endpoint.started_unix_ms, age_ms: 0 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    started_unix_ms: u64,
    /// When an entry has last found the endpoint silent, on this entry's clock.
    at_ms: u64,
}

/// Silences that this entry has found or was told of.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    known: HashMap<EndpointKey, Known>,
}

impl Silences {
    /// Records a silence and returns whether the endpoint was not known to be silent.
    pub fn record(&mut self, silence: Silence, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(silence.age_ms);
        let new = Known { started_unix_ms: silence.started_unix_ms, at_ms };
        let before = self.known.get(&silence.endpoint).copied();
        if before.is_some_and(|known| known.at_ms >= at_ms) || now_ms >= at_ms + TOLD_MS {
            return false;
        }
        self.known.insert(silence.endpoint, new);
        before.is_none_or(|known| now_ms >= known.at_ms + TOLD_MS)
    }

    /// Forgets a silence, because the endpoint has sent something.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.known.remove(&endpoint);
    }

    /// Drops silences that have lapsed.
    pub fn sweep(&mut self, now_ms: u64) {
        self.known.retain(|_, known| now_ms < known.at_ms + TOLD_MS);
    }

    /// Returns whether this process of an endpoint is known to be silent.
    #[must_use]
    pub fn contains(&self, endpoint: &Endpoint, now_ms: u64) -> bool {
        self.known.get(&endpoint.key).is_some_and(|known| {
            known.started_unix_ms == endpoint.started_unix_ms && now_ms < known.at_ms + TOLD_MS
        })
    }

    /// Returns the silences to send to the other entries.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<Silence> {
        let recent = self.known.iter().filter(|(_, known)| now_ms < known.at_ms + TOLD_MS);
        let silences = recent.map(|(endpoint, known)| Silence {
            endpoint: *endpoint,
            started_unix_ms: known.started_unix_ms,
            age_ms: now_ms.saturating_sub(known.at_ms),
        });
        let mut silences: Vec<Silence> = silences.collect();
        silences.sort_unstable_by_key(|silence| silence.endpoint);
        silences
    }
}
