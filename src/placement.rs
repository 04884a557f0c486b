//! Endpoint selection: which endpoints are asked for an offer, and how offers are compared.
//!
//! From the endpoints that accept work, a few are picked: the one chosen by rendezvous hashing of the
//! prompt prefix, and others at random, preferring the own availability zone. The offer with the
//! lowest cost wins. (The power of two choices, Mitzenmacher 2001; probing as in Prequal, Wydrowski
//! et al., NSDI 2024.)

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3;

use crate::{membership, wire};

/// First backoff of an endpoint that did not answer; doubled with each further timeout.
const MIN_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 8_000;
/// Cost of an endpoint that does not have the prompt prefix cached.
const PREFIX_MISS_COST_MS: u32 = 30;
/// Cost of an endpoint in another availability zone.
const OTHER_ZONE_COST_MS: u32 = 3;

/// Address of one endpoint: its side and its index there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    pub work_addr: SocketAddr,
    pub endpoint: wire::EndpointIndex,
}

impl Target {
    #[must_use]
    pub fn of(location: &membership::EndpointLocation) -> Self {
        Self { work_addr: location.work_addr, endpoint: location.endpoint }
    }
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until_ms: u64,
    length_ms: u64,
}

/// Backoffs of the endpoints that did not answer recently.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    targets: HashMap<Target, Backoff>,
}

impl Backoffs {
    /// Records that the endpoint did not answer an ask or that its link broke; starts a backoff unless one
    /// is running.
    pub fn record_timeout(&mut self, target: Target, now_ms: u64) {
        let backoff = self.targets.entry(target).or_insert(Backoff { until_ms: 0, length_ms: 0 });
        if backoff.until_ms > now_ms {
            return;
        }
        backoff.length_ms = (backoff.length_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        backoff.until_ms = now_ms + backoff.length_ms;
    }

    /// Records an answer of the endpoint, which ends its backoff.
    pub fn record_answer(&mut self, target: Target) {
        self.targets.remove(&target);
    }

    #[must_use]
    pub fn is_backed_off(&self, target: Target, now_ms: u64) -> bool {
        self.targets.get(&target).is_some_and(|backoff| backoff.until_ms > now_ms)
    }
}

/// Picks at most `width` endpoints to ask, leaving out those that `avoid` matches.
pub fn pick<'a>(
    locations: &'a [membership::EndpointLocation],
    own_zone: &str,
    prefix: u64,
    width: usize,
    avoid: impl Fn(Target) -> bool,
    random: &mut impl Rng,
) -> Vec<&'a membership::EndpointLocation> {
    let open: Vec<&membership::EndpointLocation> =
        locations.iter().filter(|location| !avoid(Target::of(location))).collect();
    let near: Vec<&membership::EndpointLocation> =
        open.iter().copied().filter(|location| location.zone == own_zone).collect();
    let mut picked: Vec<&membership::EndpointLocation> = Vec::with_capacity(width);
    picked.extend(rendezvous(&open, prefix));
    // At least one endpoint of another zone is asked if there is one. Otherwise a zone whose endpoints
    // are all slow would keep its requests while another zone is idle.
    let near_wanted = if near.len() < open.len() { width.saturating_sub(1) } else { width };
    for (group, wanted) in [(&near, near_wanted), (&open, width)] {
        let left: Vec<&membership::EndpointLocation> =
            group.iter().copied().filter(|location| !picked.contains(location)).collect();
        let missing = wanted.saturating_sub(picked.len());
        picked.extend(left.choose_multiple(random, missing).copied());
    }
    picked
}

fn rendezvous<'a>(
    locations: &[&'a membership::EndpointLocation],
    prefix: u64,
) -> Option<&'a membership::EndpointLocation> {
    locations
        .iter()
        .copied()
        .max_by_key(|location| xxh3::xxh3_64_with_seed(location.id.as_bytes(), prefix))
}

/// Returns the cost of an offer, by which offers are compared; lower is better.
#[must_use]
pub fn cost_ms(offer: &wire::Offer, same_zone: bool) -> u32 {
    let zone_ms = if same_zone { 0 } else { OTHER_ZONE_COST_MS };
    let prefix_ms = if offer.knows_prefix { 0 } else { PREFIX_MISS_COST_MS };
    offer.first_token_ms.saturating_add(zone_ms).saturating_add(prefix_ms)
}
