//! How evenly the engines deliver: the longest pause in each of the latest streams.
//!
//! The load pattern: an engine reads prompts between the steps of the answers it writes. One that is
//! slower than the others keeps its steps short enough until it reads long prompts, and then each
//! event of its answers is a little late. That shows in no queue; only in the streams themselves.

use std::collections::{HashMap, VecDeque};

use crate::gateway::directory::EndpointKey;

/// Streams that are remembered of one endpoint.
const MAX_STREAMS: usize = 24;
/// How long a stream says something about its endpoint: what it reads changes with the traffic.
const RECENT_MS: u64 = 10_000;
/// Shorter streams may have ended before a prompt was read beside them.
const LEAST_EVENTS: u64 = 8;
/// A longer pause is a stop of the endpoint or of this process, and says nothing about its steps.
const STALL_MS: u64 = 1_000;
/// Streams without a late event that stand for what is not known of an endpoint.
const UNKNOWN_STREAMS: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Ended {
    longest_ms: u64,
    at_ms: u64,
}

/// The longest pauses of the latest streams, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    ended: HashMap<EndpointKey, VecDeque<Ended>>,
}

impl Pauses {
    /// A stream of so many events has ended, with this as its longest pause.
    pub fn record_stream(
        &mut self,
        endpoint: EndpointKey,
        events: u64,
        longest_ms: u64,
        now_ms: u64,
    ) {
        if events < LEAST_EVENTS || longest_ms > STALL_MS {
            return;
        }
        let ended = self.ended.entry(endpoint).or_default();
        if ended.len() >= MAX_STREAMS {
            ended.pop_front();
        }
        ended.push_back(Ended { longest_ms, at_ms: now_ms });
    }

    /// Share of the latest streams of an endpoint that had a pause beyond the limit.
    #[must_use]
    pub fn late_share(&self, endpoint: EndpointKey, limit_ms: u32, now_ms: u64) -> f64 {
        let Some(ended) = self.ended.get(&endpoint) else {
            return 0.0;
        };
        let recent = ended.iter().filter(|one| now_ms < one.at_ms + RECENT_MS);
        let (mut known, mut late) = (0_u32, 0_u32);
        for one in recent {
            known += 1;
            late += u32::from(one.longest_ms > u64::from(limit_ms));
        }
        f64::from(late) / (f64::from(known) + UNKNOWN_STREAMS)
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.ended.retain(|endpoint, _| is_known(*endpoint));
    }
}
