//! Passive health checks: what an entry has observed of each endpoint (silence, refused
//! connections, failed responses, response times).

use std::collections::{HashMap, HashSet};

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

/// Shortest silence after which an endpoint with an unanswered request is suspected to stand still.
const MIN_SUSPICION_MS: u64 = 100;
/// The same as a multiple of the expected time to the first byte.
const SUSPICION_FACTOR: u64 = 3;
/// How often the time until the next suspicion doubles while an endpoint answers health checks and nothing else: it works
/// on a request for long.
const MAX_DOUBLINGS: u32 = 6;
/// Silence after which a suspected endpoint gets no request even if there is no other. Sound endpoints pause for about
/// a second.
const LONG_SILENCE_MS: u64 = 1_000;

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
    /// Requests there that have not ended.
    open_sends: u32,
    /// Since when a request has been there while nothing has arrived; kept when the request is given up.
    silent_since_ms: Option<u64>,
    /// When the last silence began because of which the endpoint was suspected.
    last_silence_ms: Option<u64>,
    /// Longest expected time to the first byte among these requests.
    expected_ms: u64,
    /// Health checks that the endpoint has answered during the silence.
    answered_checks: u32,
}

impl Observed {
    fn silent_ms(&self, now_ms: u64) -> u64 {
        self.silent_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    fn is_suspected(&self, now_ms: u64) -> bool {
        let patience_ms = MIN_SUSPICION_MS.max(self.expected_ms * SUSPICION_FACTOR);
        self.silent_ms(now_ms) >= patience_ms << self.answered_checks.min(MAX_DOUBLINGS)
    }

    fn end_silence(&mut self) {
        self.silent_since_ms = None;
        self.expected_ms = 0;
        self.answered_checks = 0;
    }
}

/// Observations of all endpoints by this entry.
#[derive(Clone, Debug, Default)]
pub struct Health {
    observed: HashMap<EndpointKey, Observed>,
    /// Endpoints that this entry or another has found silent.
    silent_elsewhere: HashSet<EndpointKey>,
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
        observed.answered_checks = 0;
        observed.silent_since_ms = (observed.open_sends > 0).then_some(now_ms);
    }

    /// Records that a health check was answered. The process does not stand still, but what it does with requests is
    /// not known.
    pub fn record_answered_check(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let Some(observed) = self.observed.get_mut(&endpoint) else {
            return;
        };
        if observed.open_sends == 0 {
            observed.end_silence();
        } else {
            observed.answered_checks += 1;
            observed.silent_since_ms = Some(now_ms);
        }
    }

    /// Records that a request is sent, with the expected time to the first byte of its response if no other is ahead of
    /// it.
    pub fn record_send(&mut self, endpoint: EndpointKey, expected_ms: u64, now_ms: u64) {
        let observed = self.observed.entry(endpoint).or_default();
        observed.open_sends += 1;
        observed.silent_since_ms.get_or_insert(now_ms);
        observed.expected_ms = observed.expected_ms.max(expected_ms);
    }

    /// Records that a request has ended, answered or not. An endpoint that is suspected by then stays so.
    pub fn record_send_end(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let Some(observed) = self.observed.get_mut(&endpoint) else {
            return;
        };
        observed.open_sends = observed.open_sends.saturating_sub(1);
        if observed.open_sends == 0 && !observed.is_suspected(now_ms) {
            observed.end_silence();
        }
    }

    /// Ends the suspicion of an endpoint that cannot be asked, so that it is tried again.
    pub fn forget_silence(&mut self, endpoint: EndpointKey) {
        if let Some(observed) = self.observed.get_mut(&endpoint) {
            observed.end_silence();
        }
    }

    /// Returns for how long a request has been unanswered while nothing has arrived from the endpoint; zero if none is.
    #[must_use]
    pub fn silent_ms(&self, endpoint: EndpointKey, now_ms: u64) -> u64 {
        self.observed.get(&endpoint).map_or(0, |observed| observed.silent_ms(now_ms))
    }

    /// Returns whether the endpoint has been suspected to stand still for longer than sound endpoints pause.
    #[must_use]
    pub fn is_stalled(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        self.observed.get(&endpoint).is_some_and(|observed| {
            observed.is_suspected(now_ms) && observed.silent_ms(now_ms) >= LONG_SILENCE_MS
        })
    }

    /// Notes when the silences of the suspected endpoints began.
    pub fn note_silences(&mut self, now_ms: u64) {
        for observed in self.observed.values_mut().filter(|one| one.is_suspected(now_ms)) {
            observed.last_silence_ms = observed.silent_since_ms;
        }
    }

    /// Returns when the last silence began because of which the endpoint was suspected.
    #[must_use]
    pub fn last_silence_ms(&self, endpoint: EndpointKey) -> Option<u64> {
        self.observed.get(&endpoint)?.last_silence_ms
    }

    /// Returns the suspected endpoints that may be asked now.
    #[must_use]
    pub fn suspects(&self, now_ms: u64) -> Vec<EndpointKey> {
        let suspects = self.observed.iter().filter(|(_, observed)| {
            observed.is_suspected(now_ms) && now_ms >= observed.avoid_until_ms
        });
        suspects.map(|(endpoint, _)| *endpoint).collect()
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

    /// Sets which endpoints some entry has found silent. It does not count for those that have sent something here
    /// recently.
    pub fn set_silent_elsewhere(&mut self, endpoints: HashSet<EndpointKey>) {
        self.silent_elsewhere = endpoints;
    }

    /// Returns whether the endpoint is avoided because it was unreachable recently or seems to stand still.
    #[must_use]
    pub fn is_avoided(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        let is_avoided = self.observed.get(&endpoint).is_some_and(|observed| {
            now_ms < observed.avoid_until_ms || observed.is_suspected(now_ms)
        });
        is_avoided
            || (self.silent_elsewhere.contains(&endpoint) && !self.is_alive(endpoint, now_ms))
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
