//! Passive health checks: what an entry has observed of each endpoint (silence, refused
//! connections, failed responses, response times).

use std::collections::HashMap;

use crate::gateway::directory::EndpointKey;

/// How long an endpoint is avoided after it was first unreachable; doubles with each failure.
const MIN_AVOID_MS: u64 = 250;
/// Upper bound of that time: an endpoint that comes back is tried again within it.
const MAX_AVOID_MS: u64 = 2_000;
/// Weight of the newest response in the moving averages: about the last ten responses count.
const NEWEST_WEIGHT: f64 = 0.1;
/// Half-life of the failure share while no response ends, so that an endpoint that was avoided is
/// tried again.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Time without a response after which the average response time no longer counts. An endpoint that looks slower
/// than the others gets no requests, so nothing else would change its average.
const RESPONSE_TIME_MS: u64 = 5_000;

/// An endpoint that sent bytes of any response within this time is alive; a wait there is due to
/// queueing.
pub const ALIVE_MS: u64 = 400;

/// Observations of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    avoid_until_ms: u64,
    avoid_ms: u64,
    failed_share: f64,
    updated_ms: u64,
    response_ms: Option<f64>,
    last_bytes_ms: u64,
}

/// Observations of all endpoints by this entry.
#[derive(Clone, Debug, Default)]
pub struct Health {
    observed: HashMap<EndpointKey, Observed>,
}

impl Health {
    /// Records that no connection was established, or that the endpoint sent no data while a response
    /// was due.
    pub fn record_unreachable(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let observed = self.observed.entry(endpoint).or_default();
        if observed.avoid_until_ms > now_ms {
            return;
        }
        observed.avoid_ms = (observed.avoid_ms * 2).clamp(MIN_AVOID_MS, MAX_AVOID_MS);
        observed.avoid_until_ms = now_ms + observed.avoid_ms;
    }

    /// Records that another endpoint now has the address. This lasts until the endpoint list
    /// changes, so the endpoint is avoided for the maximum time immediately.
    pub fn record_misdirected(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let observed = self.observed.entry(endpoint).or_default();
        observed.avoid_ms = MAX_AVOID_MS;
        observed.avoid_until_ms = now_ms + MAX_AVOID_MS;
    }

    /// Records that bytes of a response arrived, which ends any avoidance.
    pub fn record_bytes(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let observed = self.observed.entry(endpoint).or_default();
        observed.last_bytes_ms = now_ms;
        observed.avoid_ms = 0;
        observed.avoid_until_ms = 0;
    }

    /// Returns when bytes of any response last arrived from the endpoint; zero if none have.
    #[must_use]
    pub fn last_bytes_ms(&self, endpoint: EndpointKey) -> u64 {
        self.observed.get(&endpoint).map_or(0, |observed| observed.last_bytes_ms)
    }

    /// Returns whether bytes of any response arrived within [`ALIVE_MS`].
    #[must_use]
    pub fn is_alive(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        self.observed
            .get(&endpoint)
            .is_some_and(|observed| now_ms < observed.last_bytes_ms + ALIVE_MS)
    }

    /// Records the end of a response, its success and its duration, which for an endpoint that reports how
    /// long its work takes is divided by that.
    pub fn record_response(
        &mut self,
        endpoint: EndpointKey,
        is_success: bool,
        took_ms: u64,
        now_ms: u64,
    ) {
        let observed = self.observed.entry(endpoint).or_default();
        let sample = if is_success { 0.0 } else { 1.0 };
        observed.failed_share = decayed_share(observed, now_ms);
        observed.failed_share += (sample - observed.failed_share) * NEWEST_WEIGHT;
        let took_ms = took_ms as f64;
        let response_ms = recent_response_ms(observed, now_ms).unwrap_or(took_ms);
        observed.updated_ms = now_ms;
        observed.response_ms = Some(response_ms + (took_ms - response_ms) * NEWEST_WEIGHT);
    }

    /// Returns whether the endpoint is avoided because it was unreachable recently.
    #[must_use]
    pub fn is_avoided(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        self.observed.get(&endpoint).is_some_and(|observed| now_ms < observed.avoid_until_ms)
    }

    /// Returns the share of recent responses that failed, from 0 to 1.
    #[must_use]
    pub fn failed_share(&self, endpoint: EndpointKey, now_ms: u64) -> f64 {
        self.observed.get(&endpoint).map_or(0.0, |observed| decayed_share(observed, now_ms))
    }

    /// Returns the average duration of responses, if any has ended lately.
    #[must_use]
    pub fn response_ms(&self, endpoint: EndpointKey, now_ms: u64) -> Option<f64> {
        recent_response_ms(self.observed.get(&endpoint)?, now_ms)
    }

    /// Removes endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.observed.retain(|endpoint, _| is_known(*endpoint));
    }
}

fn recent_response_ms(observed: &Observed, now_ms: u64) -> Option<f64> {
    observed.response_ms.filter(|_| now_ms < observed.updated_ms + RESPONSE_TIME_MS)
}

fn decayed_share(observed: &Observed, now_ms: u64) -> f64 {
    let elapsed_ms = now_ms.saturating_sub(observed.updated_ms) as f64;
    observed.failed_share * 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS)
}
