//! Which endpoint gets a request. Pure: all that is known comes in.
//!
//! The load pattern for engines: prompts of ten thousand tokens and more, most of it shared with
//! other requests, between short urgent ones. A part that has to be read again costs every request
//! at that endpoint the reading time, so requests go where their parts are, until the wait there is
//! far longer than the reading would be elsewhere (bounded load). A part that nobody has goes to the
//! endpoint that rendezvous hashing names, or to the second one while the first is busy, so that
//! entries that see it at the same time agree.
//!
//! What other entries have sent is known a moment late. If all of them weighed all endpoints, all
//! would send to the one that was free a moment ago; so each weighs the endpoints that have the
//! parts and a few others by lot (the power of d choices, Mitzenmacher 2001).
//!
//! The load pattern for plain services: few slots, answers of some ten milliseconds, endpoints of
//! unequal speed, some of which fail or hang. Requests go where the fewest are under way, by time.

use compact_str::CompactString;
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3;

use crate::gateway::directory::{Endpoint, EndpointKey};
use crate::gateway::policy::{gate, health, homes, load, pauses, reading};
use crate::gateway::request::{Prompt, PromptPart};
use crate::gateway::route;

/// What each running request adds to the time to a first event, by its part of each step.
const CROWD_MS: f64 = 3.0;
/// What the time to read a document again costs, beside that the request waits for it: the same time is taken
/// from all that come later, and the document displaces others.
const DOCUMENT_WEIGHT: f64 = 16.0;
/// The same for a beginning that many documents share: it is read once at each engine and used for ever
/// after. With more, all new documents would go to the few engines that have read it.
const BEGINNING_WEIGHT: f64 = 1.0;
/// Part of the latency target from which on a first event may be late: the expectation is off by about so
/// much.
const LATE_PART: f64 = 0.6;
/// What a ms beyond that costs.
const LATE_WEIGHT: f64 = 4.0;
/// Part of the caller's patience from which on it may be gone before the first event.
const PATIENCE_PART: f64 = 0.6;
/// What a ms beyond that costs: more than any reading again, since the request is lost and what was
/// read of it is read in vain.
const LOST_WEIGHT: f64 = 20.0;
/// By how many times the reading time the first and second choice by rendezvous go before others, for
/// parts that nobody has. With one choice, what it could not take at once would be scattered and read
/// in many places.
const RENDEZVOUS_PARTS: [f64; 2] = [3.0, 2.1];
/// Endpoints that are weighed beside those that have the parts: this part of them, and at least so
/// many. Entries that weigh all of them choose the same one.
const BY_LOT_PART: f64 = 0.1;
const BY_LOT_LEAST: usize = 6;
/// So many endpoints of an availability zone that refuse one request a connection mean that the zone is lost.
const LOST_ZONE_REFUSALS: usize = 2;
/// What an answer with a late event costs, beside one that is in time throughout.
const UNEVEN_MS: f64 = 600.0;
/// The way to another availability zone and back, and its price in bytes.
const OTHER_ZONE_MS: f64 = 4.0;
/// What a failed answer costs a caller: it comes back after about this time.
const FAILURE_MS: f64 = 400.0;
/// Time an answer of a plain service takes, until one was seen.
const PLAIN_MS: f64 = 20.0;

/// What is known when a request is placed.
#[derive(Debug)]
pub struct Known<'a> {
    pub book: &'a load::Book,
    pub homes: &'a homes::Homes,
    pub health: &'a health::Health,
    pub reading: &'a reading::Reading,
    pub pauses: &'a pauses::Pauses,
    /// Longest pause between events that is in time for the caller; zero where it does not matter.
    pub pause_ms: u32,
    pub zone: &'a str,
    pub now_ms: u64,
    /// The first event is in time for the caller within this.
    pub target_ms: f64,
    /// How long the caller waits for a first event.
    pub patience_ms: f64,
    /// Availability zones of the endpoints to which this request found no connection, one for each.
    pub refused_zones: &'a [CompactString],
}

/// An endpoint with what choosing it would mean.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    pub endpoint: &'a Endpoint,
    pub cost_ms: f64,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u32,
    /// What is known to be under way there.
    pub work: load::Work,
    /// Time until its first event, as expected.
    pub first_ms: f64,
    /// Share of the engines at which nearly nothing waits.
    pub free_share: f64,
}

/// The endpoint for a request, out of those given. Endpoints that could not be reached just now are
/// taken only when there is no other.
pub fn choose<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
    engine: Option<&route::Engine>,
    prompt: Option<&Prompt>,
    known: &Known<'_>,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let all: Vec<&Endpoint> = endpoints.collect();
    let is_open = |one: &&Endpoint| !known.health.is_avoided(one.key, known.now_ms);
    let open: Vec<&Endpoint> = all.iter().copied().filter(is_open).collect();
    let mut candidates = if open.is_empty() { all } else { open };
    leave_lost_zones(&mut candidates, known.refused_zones);
    // Equal costs are decided by the order, which is drawn by lot: else all entries would take the
    // same endpoint.
    candidates.shuffle(random);
    match (engine, prompt) {
        (Some(engine), Some(prompt)) => choose_engine(&candidates, engine, prompt, known),
        _ => cheapest(candidates.into_iter().map(|endpoint| plain_choice(endpoint, known))),
    }
}

/// Leaves out the endpoints of zones that seem lost, unless there are no others. Where a zone is lost its
/// idle endpoints look best, and a request would try one after the other.
fn leave_lost_zones(candidates: &mut Vec<&Endpoint>, refused_zones: &[CompactString]) {
    let is_lost = |one: &&Endpoint| {
        refused_zones.iter().filter(|zone| **zone == one.zone).count() >= LOST_ZONE_REFUSALS
    };
    if !candidates.iter().all(is_lost) {
        candidates.retain(|one| !is_lost(one));
    }
}

fn cheapest<'a>(choices: impl Iterator<Item = Choice<'a>>) -> Option<Choice<'a>> {
    choices.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

fn choose_engine<'a>(
    candidates: &[&'a Endpoint],
    engine: &route::Engine,
    prompt: &Prompt,
    known: &Known<'_>,
) -> Option<Choice<'a>> {
    let favourites = rendezvous(candidates, prompt, known);
    let free_share = free_share(candidates, engine, known);
    let by_lot = (candidates.len() as f64 * BY_LOT_PART).ceil() as usize;
    let mut others = by_lot.max(BY_LOT_LEAST);
    let weighed = candidates.iter().copied().filter(|one| {
        if favourites.contains(&Some(one.key)) || has_document(one, prompt, known) {
            return true;
        }
        let is_drawn = others > 0;
        others = others.saturating_sub(1);
        is_drawn
    });
    let choices =
        weighed.map(|endpoint| engine_choice(endpoint, engine, prompt, favourites, known));
    cheapest(choices).map(|choice| Choice { free_share, ..choice })
}

fn has_document(endpoint: &Endpoint, prompt: &Prompt, known: &Known<'_>) -> bool {
    let document = prompt.shared_parts().last();
    document.is_some_and(|part| known.homes.has(endpoint.key, part.id, known.now_ms))
}

/// Places that are taken at an engine, those included that others are expected to have taken unseen.
fn filled(endpoint: &Endpoint, work: load::Work, known: &Known<'_>) -> u32 {
    work.requests + known.book.unseen(endpoint.key, known.now_ms)
}

/// Share of the engines at which a prompt gets a slot and begins to be read within a moment.
fn free_share(candidates: &[&Endpoint], engine: &route::Engine, known: &Known<'_>) -> f64 {
    let is_free = |one: &&&Endpoint| {
        let work = known.book.at(one.key, known.now_ms);
        let place_ms = known.reading.place_ms(filled(one, work, known), engine.slots);
        place_ms + known.reading.ms(work.unread_tokens) <= gate::FREE_WAIT_MS
    };
    let free = candidates.iter().filter(is_free).count();
    free as f64 / candidates.len().max(1) as f64
}

/// First and second choice by rendezvous.
type Favourites = [Option<EndpointKey>; RENDEZVOUS_PARTS.len()];

/// Where the last shared part belongs, if nobody has it who takes requests. The first would not do: a few first parts
/// are common to hundreds of documents, which would all go to the same few endpoints.
fn rendezvous(candidates: &[&Endpoint], prompt: &Prompt, known: &Known<'_>) -> Favourites {
    let is_new = |part: &&PromptPart| !known.homes.is_at_any(candidates, part.id, known.now_ms);
    let Some(part) = prompt.shared_parts().last().filter(is_new) else {
        return [None; RENDEZVOUS_PARTS.len()];
    };
    let weight = |one: &Endpoint| xxh3::xxh3_64_with_seed(one.id.as_bytes(), part.id);
    let mut best: [Option<(u64, EndpointKey)>; RENDEZVOUS_PARTS.len()] = Default::default();
    for one in candidates {
        let mut next = Some((weight(one), one.key));
        for place in &mut best {
            if next > *place {
                std::mem::swap(place, &mut next);
            }
        }
    }
    best.map(|one| one.map(|(_, key)| key))
}

fn engine_choice<'a>(
    endpoint: &'a Endpoint,
    engine: &route::Engine,
    prompt: &Prompt,
    favourites: Favourites,
    known: &Known<'_>,
) -> Choice<'a> {
    let work = known.book.at(endpoint.key, known.now_ms);
    let has_tokens = known.homes.known_tokens(endpoint.key, &prompt.parts, known.now_ms);
    let unread_tokens = prompt.tokens.saturating_sub(has_tokens);
    let shared_tokens: u32 = prompt.shared_parts().iter().map(|part| part.tokens).sum();
    let missing_tokens = shared_tokens.saturating_sub(has_tokens);
    let document_tokens =
        prompt.shared_parts().last().map_or(0, |part| part.tokens).min(missing_tokens);
    let document_ms = known.reading.ms(u64::from(document_tokens));
    let beginning_ms = known.reading.ms(u64::from(missing_tokens - document_tokens));
    let crowd_ms = f64::from(work.requests) * CROWD_MS
        + known.reading.place_ms(filled(endpoint, work, known), engine.slots);
    let first_ms = known.reading.first_ms(work.unread_tokens + u64::from(unread_tokens)) + crowd_ms;
    let lost_ms = (first_ms - known.patience_ms * PATIENCE_PART).max(0.0);
    let late_ms = (first_ms - known.target_ms * LATE_PART).max(0.0);
    let mut cost_ms = first_ms
        + late_ms * LATE_WEIGHT
        + lost_ms * LOST_WEIGHT
        + document_ms * DOCUMENT_WEIGHT
        + beginning_ms * BEGINNING_WEIGHT
        + outside_ms(endpoint, known);
    if known.pause_ms > 0 {
        let late_share = known.pauses.late_share(endpoint.key, known.pause_ms, known.now_ms);
        cost_ms += late_share * UNEVEN_MS;
    }
    if let Some(place) = favourites.iter().position(|one| *one == Some(endpoint.key)) {
        cost_ms -= document_ms * RENDEZVOUS_PARTS[place];
    }
    Choice { endpoint, cost_ms, unread_tokens, work, first_ms, free_share: 1.0 }
}

fn plain_choice<'a>(endpoint: &'a Endpoint, known: &Known<'_>) -> Choice<'a> {
    let work = known.book.at(endpoint.key, known.now_ms);
    let answer_ms = known.health.answer_ms(endpoint.key).unwrap_or(PLAIN_MS);
    let rounds = f64::from(work.requests) / f64::from(endpoint.slots.max(1));
    let first_ms = answer_ms * (1.0 + rounds);
    let cost_ms = first_ms + outside_ms(endpoint, known);
    Choice { endpoint, cost_ms, unread_tokens: 0, work, first_ms, free_share: 1.0 }
}

/// What does not depend on the load.
fn outside_ms(endpoint: &Endpoint, known: &Known<'_>) -> f64 {
    let zone_ms = if endpoint.zone == known.zone { 0.0 } else { OTHER_ZONE_MS };
    zone_ms + known.health.failed_share(endpoint.key, known.now_ms) * FAILURE_MS
}
