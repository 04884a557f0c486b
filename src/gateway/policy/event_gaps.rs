//! Gaps between the events of recent streams, by engine.
//!
//! Load pattern: an engine prefills prompts between the decoding steps of running responses. An
//! engine that is slower than the others keeps its steps short enough until it prefills long
//! prompts; then each event of its responses is slightly late. No queue shows this, only the streams
//! themselves.

use std::collections::{HashMap, VecDeque};

use crate::gateway::directory::EndpointKey;

/// Streams kept per endpoint.
const MAX_STREAMS: usize = 24;
/// How long a stream counts for its endpoint: what the endpoint prefills changes with the traffic.
const RECENT_MS: u64 = 10_000;
/// Shorter streams are ignored: they may have ended before a prompt was prefilled beside them.
const MIN_EVENTS: u64 = 8;
/// Longer gaps are ignored: the endpoint or this process was stopped, which says nothing about
/// the engine's decoding steps.
const STALL_MS: u64 = 1_000;
/// Prior: this many streams without a late event are added to those observed.
const PRIOR_STREAMS: f64 = 4.0;

/// A stream that has ended.
#[derive(Clone, Copy, Debug)]
struct Stream {
    longest_ms: u64,
    at_ms: u64,
}

/// Longest gaps of recent streams, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct EventGaps {
    streams: HashMap<EndpointKey, VecDeque<Stream>>,
}

impl EventGaps {
    /// Records a stream that has ended, its number of events and the longest gap between two of
    /// them.
    pub fn record_stream(
        &mut self,
        endpoint: EndpointKey,
        events: u64,
        longest_ms: u64,
        now_ms: u64,
    ) {
        if events < MIN_EVENTS || longest_ms > STALL_MS {
            return;
        }
        let streams = self.streams.entry(endpoint).or_default();
        if streams.len() >= MAX_STREAMS {
            streams.pop_front();
        }
        streams.push_back(Stream { longest_ms, at_ms: now_ms });
    }

    /// Returns the share of recent streams of an endpoint that had a gap beyond the limit.
    #[must_use]
    pub fn late_share(&self, endpoint: EndpointKey, limit_ms: u32, now_ms: u64) -> f64 {
        let Some(streams) = self.streams.get(&endpoint) else {
            return 0.0;
        };
        let recent = streams.iter().filter(|one| now_ms < one.at_ms + RECENT_MS);
        let (mut known, mut late) = (0_u32, 0_u32);
        for one in recent {
            known += 1;
            late += u32::from(one.longest_ms > u64::from(limit_ms));
        }
        f64::from(late) / (f64::from(known) + PRIOR_STREAMS)
    }

    /// Removes endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.streams.retain(|endpoint, _| is_known(*endpoint));
    }
}
