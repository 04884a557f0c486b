//! Endpoints that have turned this entry away and said for how long they want nothing more from it. Pure.
//!
//! The load pattern: a service with few slots under a burst. Its endpoints turn requests away; if entries
//! go on sending to them, each such send costs the endpoint a connection and the request a retry.

use std::collections::HashMap;

use crate::gateway::directory::{Endpoint, EndpointKey};

/// An endpoint that names a longer time is tried again after this one.
const LONGEST_MS: u64 = 600_000;

#[derive(Clone, Copy, Debug)]
struct Asked {
    /// Tells the start that asked from later ones under the same id.
    started_unix_ms: u64,
    until_ms: u64,
}

/// The endpoints that this entry leaves alone.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    asked: HashMap<EndpointKey, Asked>,
}

impl Backoff {
    /// An endpoint wants nothing for so long.
    pub fn record_wait(&mut self, endpoint: &Endpoint, wait_ms: u32, now_ms: u64) {
        let until_ms = now_ms + u64::from(wait_ms).min(LONGEST_MS);
        let started_unix_ms = endpoint.started_unix_ms;
        let before = self.asked.get(&endpoint.key);
        let before = before.filter(|asked| asked.started_unix_ms == started_unix_ms);
        let until_ms = before.map_or(until_ms, |asked| asked.until_ms.max(until_ms));
        self.asked.insert(endpoint.key, Asked { started_unix_ms, until_ms });
    }

    /// How long an endpoint is still left alone; zero: it is not.
    #[must_use]
    pub fn remaining_ms(&self, endpoint: &Endpoint, now_ms: u64) -> u64 {
        let asked = self.asked.get(&endpoint.key);
        let asked = asked.filter(|asked| asked.started_unix_ms == endpoint.started_unix_ms);
        asked.map_or(0, |asked| asked.until_ms.saturating_sub(now_ms))
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now_ms: u64) {
        self.asked.retain(|_, asked| now_ms < asked.until_ms);
    }
}
