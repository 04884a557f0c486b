//! Prefix cache index: which endpoint has which prompt parts in its prefix cache, as far as the
//! entries know.
//!
//! An endpoint does not prefill a cached part again. Entries record which parts they sent where and
//! tell each other; an endpoint that restarts or leaves loses its parts.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::gateway::directory::{Endpoint, EndpointKey};
use crate::gateway::request::PromptPart;

/// How long a part is assumed to stay cached after its last use: about the time an engine takes to
/// prefill as many tokens as its cache holds.
const RETENTION_MS: u64 = 40_000;
/// Bound on the parts in the index; about 4 MB.
const MAX_PARTS: usize = 50_000;

/// While a part is in use, its placement is sent to the other entries again after this time, well
/// before they drop it.
const RESEND_MS: u64 = 12_000;

/// Bound on the placements that wait to be sent. The oldest are dropped: other entries then have
/// parts prefilled again, whereas a growing queue would exhaust memory.
const MAX_UNSENT: usize = 2_000;

/// Identifies a prompt part in messages between entries. Takes 8 bytes, where a varint may take 10.
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
pub struct Placement {
    pub endpoint: EndpointKey,
    pub part: PartName,
}

/// An endpoint that has a part.
#[derive(Clone, Copy, Debug)]
struct Location {
    endpoint: EndpointKey,
    used_ms: u64,
    /// When all entries last knew of it.
    sent_ms: u64,
}

/// Endpoints by prompt part.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    locations: HashMap<u64, Vec<Location>>,
    /// Recorded here and not yet sent to the other entries.
    unsent: VecDeque<Placement>,
}

impl PrefixIndex {
    /// Records that this entry sent these parts to an endpoint, and queues the placements to
    /// send to the other entries.
    pub fn record_sent(&mut self, endpoint: EndpointKey, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            let sent_ms = self.sent_ms(endpoint, part.id);
            if sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + RESEND_MS) {
                if self.unsent.len() >= MAX_UNSENT {
                    self.unsent.pop_front();
                }
                self.unsent.push_back(Placement { endpoint, part: PartName::of(part.id) });
                self.insert(part.id, Location { endpoint, used_ms: now_ms, sent_ms: now_ms });
            } else {
                let sent_ms = sent_ms.unwrap_or(now_ms);
                self.insert(part.id, Location { endpoint, used_ms: now_ms, sent_ms });
            }
        }
    }

    /// Records parts that an endpoint has cached, without sending them to the other entries.
    pub fn record_cached(&mut self, endpoint: EndpointKey, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            self.insert(part.id, Location { endpoint, used_ms: now_ms, sent_ms: now_ms });
        }
    }

    /// Records a placement sent by another entry.
    pub fn record_remote(&mut self, placement: Placement, now_ms: u64) {
        let location = Location { endpoint: placement.endpoint, used_ms: now_ms, sent_ms: now_ms };
        self.insert(placement.part.id(), location);
    }

    /// Returns the placements that were used last, at most `max_placements`, for an entry that has just
    /// started.
    #[must_use]
    pub fn most_recent(&self, max_placements: usize) -> Vec<Placement> {
        let mut all: Vec<(u64, Placement)> = Vec::new();
        for (part, locations) in &self.locations {
            let part = PartName::of(*part);
            all.extend(
                locations
                    .iter()
                    .map(|one| (one.used_ms, Placement { endpoint: one.endpoint, part })),
            );
        }
        all.sort_unstable_by_key(|(used_ms, _)| std::cmp::Reverse(*used_ms));
        all.truncate(max_placements);
        all.into_iter().map(|(_, placed)| placed).collect()
    }

    fn sent_ms(&self, endpoint: EndpointKey, part: u64) -> Option<u64> {
        self.locations
            .get(&part)?
            .iter()
            .find(|one| one.endpoint == endpoint)
            .map(|one| one.sent_ms)
    }

    fn insert(&mut self, part: u64, new: Location) {
        if self.locations.len() >= MAX_PARTS {
            self.sweep(new.used_ms);
        }
        let locations = self.locations.entry(part).or_default();
        locations.retain(|one| one.endpoint != new.endpoint);
        locations.push(new);
    }

    /// Returns the length in tokens of the prompt prefix that an endpoint has cached.
    #[must_use]
    pub fn cached_tokens(&self, endpoint: EndpointKey, parts: &[PromptPart], now_ms: u64) -> u32 {
        parts
            .iter()
            .take_while(|part| self.is_cached(endpoint, part.id, now_ms))
            .map(|part| part.tokens)
            .sum()
    }

    /// Returns whether any of these endpoints has the part cached.
    #[must_use]
    pub fn is_cached_at_any(&self, endpoints: &[&Endpoint], part: u64, now_ms: u64) -> bool {
        let fresh = |one: &&Location| now_ms < one.used_ms + RETENTION_MS;
        let mut locations = self.locations.get(&part).into_iter().flatten().filter(fresh);
        locations.any(|one| endpoints.iter().any(|endpoint| endpoint.key == one.endpoint))
    }

    /// Returns whether an endpoint has the part cached.
    #[must_use]
    pub fn is_cached(&self, endpoint: EndpointKey, part: u64, now_ms: u64) -> bool {
        let locations = self.locations.get(&part);
        locations.is_some_and(|locations| {
            locations
                .iter()
                .any(|one| one.endpoint == endpoint && now_ms < one.used_ms + RETENTION_MS)
        })
    }

    /// Removes an endpoint that has lost its cache.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        for locations in self.locations.values_mut() {
            locations.retain(|one| one.endpoint != endpoint);
        }
        self.locations.retain(|_, locations| !locations.is_empty());
    }

    /// Removes parts that were not used within the retention time.
    pub fn sweep(&mut self, now_ms: u64) {
        for locations in self.locations.values_mut() {
            locations.retain(|one| now_ms < one.used_ms + RETENTION_MS);
        }
        self.locations.retain(|_, locations| !locations.is_empty());
        if self.locations.len() >= MAX_PARTS {
            // Clearing only costs prefilling parts again; growing without bound would exhaust
            // memory.
            self.locations.clear();
        }
    }

    /// Takes placements that were not sent to the other entries yet, at most `max_placements`.
    pub fn take_unsent(&mut self, max_placements: usize) -> Vec<Placement> {
        let count = self.unsent.len().min(max_placements);
        self.unsent.drain(..count).collect()
    }
}
