//! A small simulated engine with slots, serial prefill, decoding that slows down as the batch grows, and a
//! prefix cache.

use std::collections::VecDeque;

/// Requests that run concurrently.
pub const SLOTS: usize = 32;
/// Prompt tokens processed per second.
const PREFILL_TOKENS_PER_S: f64 = 12_000.0;
/// Time between two tokens of a stream that runs alone.
const MIN_TOKEN_MS: f64 = 18.0;
/// Time between two tokens of a stream in a full batch.
const MAX_TOKEN_MS: f64 = 36.0;
/// Prompt prefixes that fit in the cache.
const CACHED_PREFIXES: usize = 48;
/// Fraction of the prefill that a cached prefix saves.
const PREFIX_SAVING: f64 = 0.6;

/// Output tokens per second of an engine with a full batch.
pub fn capacity_tokens_per_s() -> f64 {
    SLOTS as f64 * 1000.0 / MAX_TOKEN_MS
}

/// Times of the first and the last token of a request.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub first_token_ms: u64,
    pub end_ms: u64,
}

/// The state of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Speed relative to a normal engine.
    pub speed: f64,
    pub running: usize,
    pub dead: bool,
    /// When the prefill of the requests started so far ends.
    prefill_free_ms: f64,
    /// Cached prefixes, least recently used first.
    prefixes: VecDeque<u64>,
}

impl Engine {
    pub fn new(speed: f64) -> Self {
        Self { speed, running: 0, dead: false, prefill_free_ms: 0.0, prefixes: VecDeque::new() }
    }

    /// Starts a request and returns when its first token and its end are due.
    pub fn start(
        &mut self,
        now_ms: u64,
        prompt_tokens: u32,
        output_tokens: u64,
        prefix: u64,
    ) -> Times {
        self.running += 1;
        let cached = self.prefixes.contains(&prefix);
        self.prefixes.retain(|other| *other != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        let uncached = if cached { 1.0 - PREFIX_SAVING } else { 1.0 };
        let prefill_ms =
            f64::from(prompt_tokens) * uncached / PREFILL_TOKENS_PER_S * 1000.0 / self.speed;
        let first = self.prefill_free_ms.max(now_ms as f64) + prefill_ms;
        self.prefill_free_ms = first;
        let batch = self.running as f64 / SLOTS as f64;
        let token_ms = (MIN_TOKEN_MS + (MAX_TOKEN_MS - MIN_TOKEN_MS) * batch) / self.speed;
        let first = first + token_ms;
        Times {
            first_token_ms: first as u64,
            end_ms: (first + token_ms * output_tokens as f64) as u64,
        }
    }
}
