//! What an entry has seen of each endpoint: silence, refused connections, failed answers, speed.

use std::collections::HashMap;

use crate::gateway::directory::EndpointKey;

/// First time that an endpoint is avoided after it could not be reached; doubled with each failure.
const FIRST_AVOID_MS: u64 = 250;
/// An endpoint that comes back is tried again within this.
const LONGEST_AVOID_MS: u64 = 2_000;
/// Weight of the newest answer in the share of failures: about the last ten count.
const NEWEST: f64 = 0.1;
/// The share of failures halves in this time without an answer, so that an endpoint that was
/// avoided is tried again.
const FADE_MS: f64 = 2_000.0;

/// An endpoint that sent bytes of any answer within this is alive, and a wait there is a queue.
pub const ALIVE_MS: u64 = 400;

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    avoid_until_ms: u64,
    avoid_ms: u64,
    failed_share: f64,
    failed_at_ms: u64,
    answer_ms: Option<f64>,
    heard_ms: u64,
}

/// What an entry has seen of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    seen: HashMap<EndpointKey, Seen>,
}

impl Health {
    /// No connection, or silence where an answer was due.
    pub fn record_unreachable(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let seen = self.seen.entry(endpoint).or_default();
        if seen.avoid_until_ms > now_ms {
            return;
        }
        seen.avoid_ms = (seen.avoid_ms * 2).clamp(FIRST_AVOID_MS, LONGEST_AVOID_MS);
        seen.avoid_until_ms = now_ms + seen.avoid_ms;
    }

    /// Another endpoint has the address now. That stays so until the list says otherwise, so this one
    /// is avoided for the longest time at once.
    pub fn record_misdirected(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let seen = self.seen.entry(endpoint).or_default();
        seen.avoid_ms = LONGEST_AVOID_MS;
        seen.avoid_until_ms = now_ms + LONGEST_AVOID_MS;
    }

    /// Bytes of an answer have come.
    pub fn record_bytes(&mut self, endpoint: EndpointKey, now_ms: u64) {
        let seen = self.seen.entry(endpoint).or_default();
        seen.heard_ms = now_ms;
        seen.avoid_ms = 0;
        seen.avoid_until_ms = 0;
    }

    /// When bytes of any answer last came from the endpoint.
    #[must_use]
    pub fn last_bytes_ms(&self, endpoint: EndpointKey) -> u64 {
        self.seen.get(&endpoint).map_or(0, |seen| seen.heard_ms)
    }

    /// Whether bytes of any answer came from the endpoint just now.
    #[must_use]
    pub fn is_alive(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        self.seen.get(&endpoint).is_some_and(|seen| now_ms < seen.heard_ms + ALIVE_MS)
    }

    /// An answer has ended, well or not, after this time.
    pub fn record_answer(
        &mut self,
        endpoint: EndpointKey,
        is_good: bool,
        took_ms: u64,
        now_ms: u64,
    ) {
        let seen = self.seen.entry(endpoint).or_default();
        let now = if is_good { 0.0 } else { 1.0 };
        seen.failed_share = faded(seen, now_ms);
        seen.failed_share += (now - seen.failed_share) * NEWEST;
        seen.failed_at_ms = now_ms;
        let took_ms = took_ms as f64;
        let answer_ms = seen.answer_ms.unwrap_or(took_ms);
        seen.answer_ms = Some(answer_ms + (took_ms - answer_ms) * NEWEST);
    }

    /// Whether the endpoint could not be reached just now.
    #[must_use]
    pub fn is_avoided(&self, endpoint: EndpointKey, now_ms: u64) -> bool {
        self.seen.get(&endpoint).is_some_and(|seen| now_ms < seen.avoid_until_ms)
    }

    /// Share of the latest answers that failed, from 0 to 1.
    #[must_use]
    pub fn failed_share(&self, endpoint: EndpointKey, now_ms: u64) -> f64 {
        self.seen.get(&endpoint).map_or(0.0, |seen| faded(seen, now_ms))
    }

    /// How long answers take, if any has ended.
    #[must_use]
    pub fn answer_ms(&self, endpoint: EndpointKey) -> Option<f64> {
        self.seen.get(&endpoint)?.answer_ms
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.seen.retain(|endpoint, _| is_known(*endpoint));
    }
}

fn faded(seen: &Seen, now_ms: u64) -> f64 {
    let quiet_ms = now_ms.saturating_sub(seen.failed_at_ms) as f64;
    seen.failed_share * 0.5_f64.powf(quiet_ms / FADE_MS)
}
