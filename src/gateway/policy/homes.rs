//! Which endpoint has which prompt parts in its memory, as far as the entries know.
//!
//! A part that an endpoint has read is not read again there. Entries note where they sent which
//! part and tell each other; an endpoint that restarts or leaves loses its parts.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::gateway::directory::{Endpoint, EndpointKey};
use crate::gateway::request::PromptPart;

/// How long a part is taken to stay in an endpoint's memory after its last use: about as long as an
/// engine takes to read as much as it holds.
const STAYS_MS: u64 = 40_000;
/// Parts remembered at most; about 4 MB.
const MAX_PARTS: usize = 50_000;

/// How long the other entries go on what they were told of a part: they are told again while it is
/// used, well before they forget it.
const TELL_AGAIN_MS: u64 = 12_000;

/// Parts that wait to be told, at most. The oldest are dropped: that costs other entries' reading
/// again, where growing would cost the process.
const MAX_UNTOLD: usize = 2_000;

/// Names a prompt part in messages between entries; eight bytes, where a number would take ten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartName([u8; 8]);

impl PartName {
    #[must_use]
    pub fn of(id: u64) -> Self {
        Self(id.to_le_bytes())
    }

    fn id(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

/// A part that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    pub endpoint: EndpointKey,
    pub part: PartName,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    endpoint: EndpointKey,
    used_ms: u64,
    /// When all entries last knew it.
    told_ms: u64,
}

/// Parts by where they are.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    held: HashMap<u64, Vec<Held>>,
    /// Placed here and not yet told to the other entries.
    untold: VecDeque<Placed>,
}

impl Homes {
    /// Notes that these parts were sent to an endpoint, by this entry.
    pub fn place(&mut self, endpoint: EndpointKey, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            let told_ms = self.told_ms(endpoint, part.id);
            if told_ms.is_none_or(|told_ms| now_ms >= told_ms + TELL_AGAIN_MS) {
                if self.untold.len() >= MAX_UNTOLD {
                    self.untold.pop_front();
                }
                self.untold.push_back(Placed { endpoint, part: PartName::of(part.id) });
                self.hold(part.id, Held { endpoint, used_ms: now_ms, told_ms: now_ms });
            } else {
                let told_ms = told_ms.unwrap_or(now_ms);
                self.hold(part.id, Held { endpoint, used_ms: now_ms, told_ms });
            }
        }
    }

    /// Notes parts that an endpoint holds, without telling the other entries.
    pub fn recall(&mut self, endpoint: EndpointKey, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            self.hold(part.id, Held { endpoint, used_ms: now_ms, told_ms: now_ms });
        }
    }

    /// Notes what another entry has told.
    pub fn note(&mut self, placed: Placed, now_ms: u64) {
        let held = Held { endpoint: placed.endpoint, used_ms: now_ms, told_ms: now_ms };
        self.hold(placed.part.id(), held);
    }

    /// The parts that were used last, at most this many, for an entry that has just started.
    #[must_use]
    pub fn latest(&self, most: usize) -> Vec<Placed> {
        let mut all: Vec<(u64, Placed)> = Vec::new();
        for (part, held) in &self.held {
            let part = PartName::of(*part);
            all.extend(
                held.iter().map(|one| (one.used_ms, Placed { endpoint: one.endpoint, part })),
            );
        }
        all.sort_unstable_by_key(|(used_ms, _)| std::cmp::Reverse(*used_ms));
        all.truncate(most);
        all.into_iter().map(|(_, placed)| placed).collect()
    }

    fn told_ms(&self, endpoint: EndpointKey, part: u64) -> Option<u64> {
        self.held.get(&part)?.iter().find(|one| one.endpoint == endpoint).map(|one| one.told_ms)
    }

    fn hold(&mut self, part: u64, new: Held) {
        if self.held.len() >= MAX_PARTS {
            self.sweep(new.used_ms);
        }
        let held = self.held.entry(part).or_default();
        held.retain(|one| one.endpoint != new.endpoint);
        held.push(new);
    }

    /// Tokens at the start of a prompt that an endpoint has already.
    #[must_use]
    pub fn known_tokens(&self, endpoint: EndpointKey, parts: &[PromptPart], now_ms: u64) -> u32 {
        parts
            .iter()
            .take_while(|part| self.has(endpoint, part.id, now_ms))
            .map(|part| part.tokens)
            .sum()
    }

    /// Whether any of these endpoints has the part.
    #[must_use]
    pub fn is_at_any(&self, endpoints: &[&Endpoint], part: u64, now_ms: u64) -> bool {
        let fresh = |one: &&Held| now_ms < one.used_ms + STAYS_MS;
        let mut held = self.held.get(&part).into_iter().flatten().filter(fresh);
        held.any(|one| endpoints.iter().any(|endpoint| endpoint.key == one.endpoint))
    }

    /// Whether an endpoint has the part.
    #[must_use]
    pub fn has(&self, endpoint: EndpointKey, part: u64, now_ms: u64) -> bool {
        let held = self.held.get(&part);
        held.is_some_and(|held| {
            held.iter().any(|one| one.endpoint == endpoint && now_ms < one.used_ms + STAYS_MS)
        })
    }

    /// An endpoint has lost its memory.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        for held in self.held.values_mut() {
            held.retain(|one| one.endpoint != endpoint);
        }
        self.held.retain(|_, held| !held.is_empty());
    }

    /// Takes out what was not used for long.
    pub fn sweep(&mut self, now_ms: u64) {
        for held in self.held.values_mut() {
            held.retain(|one| now_ms < one.used_ms + STAYS_MS);
        }
        self.held.retain(|_, held| !held.is_empty());
        if self.held.len() >= MAX_PARTS {
            // Forgetting costs only that parts are read again; growing would cost the process.
            self.held.clear();
        }
    }

    /// What the other entries have not been told yet, at most this many.
    pub fn take_untold(&mut self, most: usize) -> Vec<Placed> {
        let count = self.untold.len().min(most);
        self.untold.drain(..count).collect()
    }
}
