//! A small fake engine: slots, serial prefill, decode that slows with the batch, a prefix cache.

use std::collections::VecDeque;

/// Requests that run at the same time.
pub const SLOTS: usize = 32;
/// Prompt tokens read in a second.
const PREFILL_PER_S: f64 = 12_000.0;
/// Time between tokens of a stream, alone and in a full batch.
const ALONE_MS: f64 = 18.0;
const FULL_MS: f64 = 36.0;
/// Prompt heads whose cache fits in memory, and the part of a prompt that a head saves.
const CACHED_HEADS: usize = 48;
const HEAD_PART: f64 = 0.6;

/// Tokens a second of a full engine.
pub fn capacity_tokens_per_s() -> f64 {
    SLOTS as f64 * 1000.0 / FULL_MS
}

/// When a request that starts now has its first token and its end.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub first_token_ms: u64,
    pub end_ms: u64,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub speed: f64,
    pub running: usize,
    pub dead: bool,
    prefill_free_ms: f64,
    heads: VecDeque<u64>,
}

impl Engine {
    pub fn new(speed: f64) -> Self {
        Self { speed, running: 0, dead: false, prefill_free_ms: 0.0, heads: VecDeque::new() }
    }

    /// Starts a request.
    pub fn start(&mut self, now_ms: u64, prompt_tokens: u32, output: u64, head: u64) -> Times {
        self.running += 1;
        let cached = self.heads.contains(&head);
        self.heads.retain(|known| *known != head);
        self.heads.push_back(head);
        if self.heads.len() > CACHED_HEADS {
            self.heads.pop_front();
        }
        let left = if cached { 1.0 - HEAD_PART } else { 1.0 };
        let prefill_ms = f64::from(prompt_tokens) * left / PREFILL_PER_S * 1000.0 / self.speed;
        let first = self.prefill_free_ms.max(now_ms as f64) + prefill_ms;
        self.prefill_free_ms = first;
        let batch = self.running as f64 / SLOTS as f64;
        let token_ms = (ALONE_MS + (FULL_MS - ALONE_MS) * batch) / self.speed;
        let first = first + token_ms;
        Times { first_token_ms: first as u64, end_ms: (first + token_ms * output as f64) as u64 }
    }
}
