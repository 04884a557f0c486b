//! Backoff: for how long each endpoint that turned a request away asked this entry not to send
//! more.
//!
//! Load pattern: a service with few slots under a burst. Its endpoints turn requests away. Each
//! further send to such an endpoint costs the endpoint a connection and the request a retry.

use std::collections::HashMap;

use crate::gateway::directory::{Endpoint, EndpointKey};

/// Cap on the wait that an endpoint may ask for.
const MAX_WAIT_MS: u64 = 600_000;

/// One requested wait.
#[derive(Clone, Copy, Debug)]
struct Wait {
    /// Start of the endpoint process that asked, so that the wait does not apply to a later
    /// process under the same id.
    started_unix_ms: u64,
    until_ms: u64,
}

/// Endpoints to which this entry sends nothing for the time being.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    waits: HashMap<EndpointKey, Wait>,
}

impl Backoff {
    /// Records that an endpoint asked for no requests during `wait_ms`. The longest wait counts: a
    /// shorter one in a later response does not end it.
    pub fn record_wait(&mut self, endpoint: &Endpoint, wait_ms: u32, now_ms: u64) {
        let until_ms = now_ms + u64::from(wait_ms).min(MAX_WAIT_MS);
        let started_unix_ms = endpoint.started_unix_ms;
        let before = self.waits.get(&endpoint.key);
        let before = before.filter(|wait| wait.started_unix_ms == started_unix_ms);
        let until_ms = before.map_or(until_ms, |wait| wait.until_ms.max(until_ms));
        self.waits.insert(endpoint.key, Wait { started_unix_ms, until_ms });
    }

    /// Returns how much of the wait is left; zero if requests may be sent.
    #[must_use]
    pub fn remaining_ms(&self, endpoint: &Endpoint, now_ms: u64) -> u64 {
        let wait = self.waits.get(&endpoint.key);
        let wait = wait.filter(|wait| wait.started_unix_ms == endpoint.started_unix_ms);
        wait.map_or(0, |wait| wait.until_ms.saturating_sub(now_ms))
    }

    /// Removes waits that are over.
    pub fn sweep(&mut self, now_ms: u64) {
        self.waits.retain(|_, wait| now_ms < wait.until_ms);
    }
}
