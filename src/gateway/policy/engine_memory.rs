//! Memory of engines: which candidates have room for a request.
//!
//! Load pattern: long prompts share engines with many short ones, and bursts of them arrive at many entries
//! at the same time. An engine whose running requests exceed its memory crashes, and all its streams are lost.

use std::collections::HashMap;

use crate::gateway::directory::{Endpoint, EndpointKey};
use crate::gateway::policy::load;
use crate::gateway::request::{Prompt, PromptPart};

/// Shared prompt parts that this entry's requests use, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct UsedParts {
    uses: HashMap<EndpointKey, HashMap<u64, u32>>,
}

impl UsedParts {
    /// Adds a use of each part and returns the tokens of those that were not in use there.
    pub fn add(&mut self, endpoint: EndpointKey, parts: &[PromptPart]) -> u64 {
        if parts.is_empty() {
            return 0;
        }
        let uses = self.uses.entry(endpoint).or_default();
        let mut added_tokens = 0;
        for part in parts {
            let count = uses.entry(part.id).or_default();
            *count += 1;
            if *count == 1 {
                added_tokens += u64::from(part.tokens);
            }
        }
        added_tokens
    }

    /// Removes a use of each part and returns the tokens of those that are no longer in use there.
    pub fn remove(&mut self, endpoint: EndpointKey, parts: &[PromptPart]) -> u64 {
        let Some(uses) = self.uses.get_mut(&endpoint) else {
            return 0;
        };
        let mut removed_tokens = 0;
        for part in parts {
            if let Some(count) = uses.get_mut(&part.id) {
                *count -= 1;
                if *count == 0 {
                    uses.remove(&part.id);
                    removed_tokens += u64::from(part.tokens);
                }
            }
        }
        if uses.is_empty() {
            self.uses.remove(&endpoint);
        }
        removed_tokens
    }

    /// Returns the tokens of those parts that are in use at an endpoint.
    #[must_use]
    pub fn used_tokens(&self, endpoint: EndpointKey, parts: &[PromptPart]) -> u64 {
        let Some(uses) = self.uses.get(&endpoint) else {
            return 0;
        };
        let used = parts.iter().filter(|part| uses.contains_key(&part.id));
        used.map(|part| u64::from(part.tokens)).sum()
    }
}

/// Returns the tokens that a request holds apart from its shared parts: the rest of its prompt and its output.
#[must_use]
pub fn private_tokens(prompt: &Prompt) -> u64 {
    let shared: u32 = prompt.shared_parts().iter().map(|part| part.tokens).sum();
    u64::from(prompt.tokens.saturating_sub(shared)) + u64::from(prompt.max_output_tokens)
}

/// Whether the engines' memory has room for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Room {
    /// Memory is not considered: the switch is off or the service has no engines.
    #[default]
    Unchecked,
    /// Some engines have room; this many were left out.
    Enough { left_out: u32 },
    /// No engine has room.
    Nowhere,
}

impl Room {
    /// Returns whether a request of this priority is sent. The most urgent ones are always sent.
    #[must_use]
    pub fn admits(self, priority: u8) -> bool {
        match self {
            Self::Unchecked | Self::Enough { .. } => true,
            Self::Nowhere => priority == 0,
        }
    }

    /// Returns the number of engines that were left out.
    #[must_use]
    pub fn left_out(self) -> Option<u32> {
        match self {
            Self::Enough { left_out } => Some(left_out),
            Self::Unchecked | Self::Nowhere => None,
        }
    }
}

/// Returns the memory left at an engine after a request is added; negative if it exceeds the engine's.
fn room_tokens(
    endpoint: EndpointKey,
    prompt: &Prompt,
    kv_cache_tokens: u64,
    load_table: &load::LoadTable,
    now_ms: u64,
) -> i64 {
    let work = load_table.work_at(endpoint, now_ms);
    let shared = prompt.shared_parts();
    let shared_tokens: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
    let all_tokens = private_tokens(prompt) + shared_tokens;
    let new_tokens = all_tokens - load_table.used_parts().used_tokens(endpoint, shared);
    let unreported = u64::from(load_table.expected_unreported(endpoint, now_ms));
    let mean_tokens = match (work.memory_tokens, work.requests) {
        (0, _) | (_, 0) => all_tokens,
        (tokens, requests) => tokens / u64::from(requests),
    };
    let needed_tokens = work.memory_tokens + unreported * mean_tokens + new_tokens;
    kv_cache_tokens as i64 - needed_tokens as i64
}

/// Removes the candidates without room for a request. If none has room, the one with the most is left.
/// Without a `kv_cache_tokens` all are left.
pub fn retain_with_room(
    candidates: &mut Vec<&Endpoint>,
    prompt: &Prompt,
    kv_cache_tokens: Option<u64>,
    load_table: &load::LoadTable,
    now_ms: u64,
) -> Room {
    let Some(kv_cache_tokens) = kv_cache_tokens else {
        return Room::Unchecked;
    };
    let room = |one: &&Endpoint| room_tokens(one.key, prompt, kv_cache_tokens, load_table, now_ms);
    let rooms: Vec<i64> = candidates.iter().map(room).collect();
    let most = rooms.iter().copied().max().unwrap_or(0);
    let before = candidates.len();
    let least = most.min(0);
    let mut rooms = rooms.into_iter();
    candidates.retain(|_| rooms.next().is_some_and(|room| room >= least));
    if most < 0 {
        candidates.truncate(1);
        return Room::Nowhere;
    }
    Room::Enough { left_out: (before - candidates.len()) as u32 }
}
