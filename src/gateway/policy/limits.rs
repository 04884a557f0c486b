//! Endpoints that name how many requests a second they take from all entries together. Pure.
//!
//! The load pattern: an engine recovers, or is throttled, and asks for a few requests a second while the
//! fleet goes on sending it its part of a burst.

use std::collections::HashMap;

use crate::gateway::directory::EndpointKey;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(u32);

impl Rate {
    /// `None` where it is no rate.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0).round() as u32))
    }

    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// What is known of one endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    rate: Rate,
    /// When the endpoint last named it.
    named_ms: u64,
}

/// An endpoint's limit has changed; `None`: it has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub before: Option<Rate>,
    pub now: Option<Rate>,
}

/// The limits that endpoints have named.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: HashMap<EndpointKey, Known>,
}

impl Limits {
    /// Takes what the answer to a request that was sent at `sent_ms` says.
    ///
    /// An answer without a limit ends one only if its request left after the limit was named: answers
    /// overtake each other.
    pub fn answered(
        &mut self,
        endpoint: EndpointKey,
        named: Option<Rate>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<Change> {
        let before = self.known.get(&endpoint).copied();
        match (named, before) {
            (Some(rate), _) => {
                self.known.insert(endpoint, Known { rate, named_ms: now_ms });
            }
            (None, Some(known)) if sent_ms >= known.named_ms => {
                self.known.remove(&endpoint);
            }
            (None, _) => return None,
        }
        let before = before.map(|known| known.rate);
        (before != named).then_some(Change { before, now: named })
    }

    /// What an endpoint takes from all entries together, if it is limited.
    #[must_use]
    pub fn of(&self, endpoint: EndpointKey) -> Option<Rate> {
        self.known.get(&endpoint).map(|known| known.rate)
    }

    /// Endpoints that are limited.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.known.retain(|endpoint, _| is_known(*endpoint));
    }
}
