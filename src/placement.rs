//! Which endpoints are asked, and which offer is taken.
//!
//! In come the endpoints that take work; out come the few to ask: the prefix's rendezvous choice,
//! and others at random, those of the own availability zone first. The earliest offer is taken.
//! (The power of two choices, Mitzenmacher 2001; probing as in Prequal, Wydrowski et al., NSDI 2024.)

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3;

use crate::{membership, wire};

/// First time an endpoint that did not answer is left out; doubled with each further silence.
const FIRST_SILENCE_MS: u64 = 500;
const LONGEST_SILENCE_MS: u64 = 8_000;
/// What a known prefix is worth against a later first token.
const PREFIX_BONUS_MS: u32 = 30;
/// What crossing to another availability zone costs.
const OTHER_ZONE_MS: u32 = 3;

/// Names one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    pub work_addr: SocketAddr,
    pub endpoint: wire::EndpointIndex,
}

impl Target {
    #[must_use]
    pub fn of(place: &membership::Place) -> Self {
        Self { work_addr: place.work_addr, endpoint: place.endpoint }
    }
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until_ms: u64,
    length_ms: u64,
}

/// Endpoints that did not answer lately.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    targets: HashMap<Target, Backoff>,
}

impl Backoffs {
    /// The endpoint did not answer an ask, or its link broke.
    pub fn record_timeout(&mut self, target: Target, now_ms: u64) {
        let silence = self.targets.entry(target).or_insert(Backoff { until_ms: 0, length_ms: 0 });
        if silence.until_ms > now_ms {
            return;
        }
        silence.length_ms = (silence.length_ms * 2).clamp(FIRST_SILENCE_MS, LONGEST_SILENCE_MS);
        silence.until_ms = now_ms + silence.length_ms;
    }

    /// The endpoint answered.
    pub fn record_answer(&mut self, target: Target) {
        self.targets.remove(&target);
    }

    #[must_use]
    pub fn is_backed_off(&self, target: Target, now_ms: u64) -> bool {
        self.targets.get(&target).is_some_and(|silence| silence.until_ms > now_ms)
    }
}

/// Picks the endpoints to ask, at most `width`, without those in `tried`.
pub fn pick<'a>(
    places: &'a [membership::Place],
    own_zone: &str,
    prefix: u64,
    width: usize,
    avoid: impl Fn(Target) -> bool,
    random: &mut impl Rng,
) -> Vec<&'a membership::Place> {
    let open: Vec<&membership::Place> =
        places.iter().filter(|place| !avoid(Target::of(place))).collect();
    let near: Vec<&membership::Place> =
        open.iter().copied().filter(|place| place.zone == own_zone).collect();
    let mut picked: Vec<&membership::Place> = Vec::with_capacity(width);
    picked.extend(rendezvous(&open, prefix));
    // One endpoint of another zone is always among those asked where there is one, else a zone
    // whose endpoints are all slow would keep its callers while the next zone idles.
    let near_wanted = if near.len() < open.len() { width.saturating_sub(1) } else { width };
    for (group, wanted) in [(&near, near_wanted), (&open, width)] {
        let left: Vec<&membership::Place> =
            group.iter().copied().filter(|place| !picked.contains(place)).collect();
        let missing = wanted.saturating_sub(picked.len());
        picked.extend(left.choose_multiple(random, missing).copied());
    }
    picked
}

fn rendezvous<'a>(places: &[&'a membership::Place], prefix: u64) -> Option<&'a membership::Place> {
    places.iter().copied().max_by_key(|place| xxh3::xxh3_64_with_seed(place.id.as_bytes(), prefix))
}

/// The offer to take, out of those that came; lower is better.
#[must_use]
pub fn cost_ms(offer: &wire::Offer, same_zone: bool) -> u32 {
    let zone_ms = if same_zone { 0 } else { OTHER_ZONE_MS };
    let prefix_ms = if offer.knows_prefix { 0 } else { PREFIX_BONUS_MS };
    offer.first_token_ms.saturating_add(zone_ms).saturating_add(prefix_ms)
}
