//! The other entries, as far as this one has heard or been told of them. Pure but for its lots.
//!
//! Whoever hears an entry itself tells others when it did, so that one view holds everywhere without
//! each entry telling each other. What is newer wins, by the time at which anybody heard the entry.

pub mod roster;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use compact_str::CompactString;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3;

use crate::gateway::policy::warmup;
use crate::gateway::settings;

/// Entries that one without an aggregator tells each time, at most; of a larger fleet a part by lot.
const FAN_OUT: usize = 64;
/// A peer that nobody heard of for this long counts as gone for duties and shares.
pub(in crate::gateway) const PEER_TIMEOUT_MS: u64 = 1_700;
/// A peer that nobody heard of for this long is not sent what an aggregator is sent.
const ABSENT_MS: u64 = 1_200;
/// A peer that is gone for this long is forgotten and no longer told anything.
const FORGET_MS: u64 = 30_000;
/// Peers heard of within the longest retry window share the budget.
const SHARES_MS: u64 = 10_000;
/// Time in which an entry that starts hears of all others.
const SETTLE_MS: u64 = 2_000;
/// Aggregators of an availability zone: the one that acts and the one that stands by.
pub(in crate::gateway) const AGGREGATORS_PER_ZONE: usize = 2;

/// What is known of another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub boot: u64,
    /// When somebody heard it last, on this entry's clock.
    pub last_heard_ms: u64,
    pub zone: CompactString,
    /// What its instance can carry, in thousandths of a core.
    pub millicores: u16,
    pub has_store: bool,
    pub holds_duties: bool,
    pub is_stopping: bool,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.last_heard_ms + PEER_TIMEOUT_MS
    }

    fn same_but_heard(&self, other: &Self) -> bool {
        Self { last_heard_ms: other.last_heard_ms, ..self.clone() } == *other
    }

    /// Names this state of the peer in messages.
    fn digest(&self, addr: SocketAddr) -> u32 {
        let flags = [self.has_store, self.holds_duties, self.is_stopping];
        let text = format!("{addr} {} {} {} {flags:?}", self.boot, self.zone, self.millicores);
        xxh3::xxh3_64(text.as_bytes()) as u32
    }
}

/// Which peers are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope<'a> {
    Zone(&'a str),
    All,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    digest: u32,
    changed_ms: u64,
}

impl Known {
    /// Somebody heard the peer then. One that had been gone has changed.
    fn heard(&mut self, last_heard_ms: u64, now_ms: u64) {
        if !self.peer.is_live(now_ms) {
            self.changed_ms = now_ms;
        }
        self.peer.last_heard_ms = self.peer.last_heard_ms.max(last_heard_ms);
    }
}

/// The other entries.
#[derive(Clone, Debug)]
pub struct Peers {
    own: SocketAddr,
    /// Names this entry's own state in messages.
    own_digest: u32,
    zone: CompactString,
    millicores: u16,
    started_ms: u64,
    seeds: Vec<SocketAddr>,
    heard: BTreeMap<SocketAddr, Known>,
    by_digest: HashMap<u32, SocketAddr>,
    /// Told of by others, not heard themselves.
    named: BTreeSet<SocketAddr>,
    is_pulling: bool,
    /// By how far older peers' time of day lies beyond this one's.
    pub(in crate::gateway) clock_offsets_ms: HashMap<SocketAddr, i64>,
    /// This entry is stopping.
    is_stopping: bool,
    /// Rosters told so far, for the turn in which each peer is told in full.
    round: usize,
    /// Lots drawn so far.
    lots: Cell<u64>,
}

impl Peers {
    #[must_use]
    pub fn new(settings: &settings::Gateway, now_ms: u64) -> Self {
        let port = settings.internal_ports[0];
        let own = settings.peer_addr();
        let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        Self {
            own,
            own_digest: 0,
            zone: settings.zone.clone(),
            millicores: settings.strength(),
            started_ms: now_ms,
            seeds: seeds.filter(|addr| *addr != own).collect(),
            heard: BTreeMap::new(),
            by_digest: HashMap::new(),
            named: BTreeSet::new(),
            is_pulling: false,
            clock_offsets_ms: HashMap::new(),
            is_stopping: false,
            round: 0,
            lots: Cell::new(0),
        }
    }

    /// Notes what the others are told of this entry itself.
    pub fn update_own(&mut self, own: &Peer) {
        self.own_digest = own.digest(self.own);
        self.is_stopping = own.is_stopping;
    }

    /// Begins the next turn of rosters.
    pub fn advance_round(&mut self) {
        self.round += 1;
    }

    /// Takes what is known of a peer, if it is newer. Gives whether this start of it is new.
    pub fn update(&mut self, addr: SocketAddr, peer: Peer, now_ms: u64) -> bool {
        if addr == self.own {
            return false;
        }
        self.named.remove(&addr);
        let before = self.heard.get_mut(&addr);
        if let Some(known) = &before
            && known.peer.last_heard_ms > peer.last_heard_ms
        {
            return false;
        }
        if let Some(known) = before
            && known.peer.same_but_heard(&peer)
        {
            known.heard(peer.last_heard_ms, now_ms);
            return false;
        }
        let digest = peer.digest(addr);
        let boot = peer.boot;
        let known = Known { peer, digest, changed_ms: now_ms };
        let before = self.heard.insert(addr, known);
        if let Some(before) = &before {
            self.by_digest.remove(&before.digest);
        }
        self.by_digest.insert(digest, addr);
        before.is_none_or(|before| before.peer.boot != boot)
    }

    /// Whether a peer has changed since this time.
    #[must_use]
    pub fn has_changed_since(&self, since_ms: u64) -> bool {
        self.heard.values().any(|known| known.changed_ms > since_ms)
    }

    fn live_of(
        &self,
        scope: Scope<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = (&SocketAddr, &Known)> {
        let live = self.heard.iter().filter(move |(_, known)| known.peer.is_live(now_ms));
        live.filter(move |(_, known)| match scope {
            Scope::Zone(zone) => known.peer.zone == zone,
            Scope::All => true,
        })
    }

    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.live_of(Scope::All, now_ms).map(|(addr, known)| (addr, &known.peer))
    }

    /// Peers heard of within this time.
    #[must_use]
    pub fn live_count(&self, now_ms: u64) -> usize {
        self.live_peers(now_ms).count()
    }

    /// Starts of peers that somebody has heard since.
    pub fn boots_since(&self, since_ms: u64) -> impl Iterator<Item = u64> {
        let heard = self.heard.values().filter(move |known| known.peer.last_heard_ms >= since_ms);
        heard.map(|known| known.peer.boot)
    }

    /// Live peers that are not stopping.
    #[must_use]
    pub fn serving_count(&self, now_ms: u64) -> usize {
        self.live_peers(now_ms).filter(|(_, peer)| !peer.is_stopping).count()
    }

    /// The live peer that says that it holds the duties.
    #[must_use]
    pub fn duty_holder(&self, now_ms: u64) -> Option<SocketAddr> {
        let mut holders =
            self.live_peers(now_ms).filter(|(_, peer)| peer.holds_duties && !peer.is_stopping);
        holders.next().map(|(addr, _)| *addr)
    }

    /// Live peers that contend for the duties before this entry does: the strongest first.
    #[must_use]
    pub fn duty_rank(&self, now_ms: u64) -> usize {
        let before = self.live_peers(now_ms).filter(|(addr, peer)| {
            !peer.is_stopping && self.ranks_before_own(peer.millicores, **addr)
        });
        before.count()
    }

    /// The peers that are next in line for the duties.
    #[must_use]
    pub fn duty_successors(&self, most: usize, now_ms: u64) -> Vec<SocketAddr> {
        first(self.live_peers(now_ms).filter(|(_, peer)| !peer.is_stopping), most)
    }

    /// The strongest live peers, also those that are stopping.
    #[must_use]
    pub fn strongest(&self, most: usize, now_ms: u64) -> Vec<SocketAddr> {
        first(self.live_peers(now_ms), most)
    }

    /// Live peers of this zone that would read the store before this entry.
    fn before(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let before = self.live_peers(now_ms).filter(|(addr, peer)| {
            **addr < self.own && peer.zone == self.zone && !peer.is_stopping
        });
        before.map(|(_, peer)| peer)
    }

    /// How many of these the store answers, so that they do read it.
    #[must_use]
    pub fn active_readers_before(&self, now_ms: u64) -> usize {
        self.before(now_ms).filter(|peer| peer.has_store).count()
    }

    /// How many these are, whether the store answers them or not.
    #[must_use]
    pub fn store_reader_rank(&self, now_ms: u64) -> usize {
        self.before(now_ms).count()
    }

    /// The entries that may be keepers of cold endpoints, this one among them.
    ///
    /// Those that half of the fleet goes on with take over from the dead. An entry that hears fewer of those it
    /// heard before may itself be cut off with them, so its part never grows: it goes by all that it knew.
    #[must_use]
    pub fn warmup_candidates(&self, has_quorum: bool, now_ms: u64) -> Vec<warmup::Candidate> {
        let heard = self.heard.iter().filter(|(_, known)| {
            !has_quorum || (known.peer.is_live(now_ms) && !known.peer.is_stopping)
        });
        let heard = heard.map(|(addr, known)| (*addr, &known.peer.zone));
        let own = (!self.is_stopping).then_some((self.own, &self.zone));
        let mut candidates: Vec<warmup::Candidate> = heard
            .chain(own)
            .map(|(addr, zone)| warmup::Candidate { addr, zone: zone.clone() })
            .collect();
        candidates.sort_unstable_by_key(|one| one.addr);
        candidates
    }

    /// Whether this entry hears at least half of the entries that it knew, itself among them.
    #[must_use]
    pub fn has_quorum(&self, now_ms: u64) -> bool {
        2 * (1 + self.live_count(now_ms)) > self.heard.len()
    }

    /// Whether there is no other entry: neither a seed nor any that was heard.
    #[must_use]
    pub fn is_only_entry(&self) -> bool {
        self.seeds.is_empty() && self.heard.is_empty()
    }

    fn ranks_before_own(&self, millicores: u16, addr: SocketAddr) -> bool {
        (Reverse(millicores), addr) < (Reverse(self.millicores), self.own)
    }

    /// Peers of this zone that aggregate before this entry does.
    #[must_use]
    pub fn aggregator_rank(&self, now_ms: u64) -> usize {
        let candidates = self.candidates(&self.zone, now_ms);
        candidates.filter(|(addr, peer)| self.ranks_before_own(peer.millicores, **addr)).count()
    }

    /// Whether that peer aggregates before this entry does.
    #[must_use]
    pub fn outranks_own(&self, addr: SocketAddr) -> bool {
        self.heard
            .get(&addr)
            .is_some_and(|known| self.ranks_before_own(known.peer.millicores, addr))
    }

    fn candidates<'a>(
        &'a self,
        zone: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = (&'a SocketAddr, &'a Peer)> {
        let present = self
            .live_peers(now_ms)
            .filter(move |(_, peer)| now_ms < peer.last_heard_ms + ABSENT_MS);
        present.filter(move |(_, peer)| peer.zone == zone && !peer.is_stopping)
    }

    /// The first peers of a zone to aggregate its work: the strongest.
    #[must_use]
    pub fn aggregators(&self, zone: &str, now_ms: u64) -> Vec<SocketAddr> {
        first(self.candidates(zone, now_ms), AGGREGATORS_PER_ZONE)
    }

    /// Live peers of this zone, with their starts.
    #[must_use]
    pub fn members(&self, now_ms: u64) -> Vec<(SocketAddr, u64)> {
        let live = self.live_of(Scope::Zone(&self.zone), now_ms);
        live.map(|(addr, known)| (*addr, known.peer.boot)).collect()
    }

    /// The other zones in which peers live.
    #[must_use]
    pub fn other_zones(&self, now_ms: u64) -> BTreeSet<CompactString> {
        let zones = self.live_peers(now_ms).map(|(_, peer)| &peer.zone);
        zones.filter(|zone| **zone != self.zone).cloned().collect()
    }

    /// A source of lots, other ones for each entry, start and draw. The same fleet on a virtual clock draws
    /// the same, so that what went wrong once can be played again.
    fn draw(&self) -> StdRng {
        let lots = self.lots.get();
        self.lots.set(lots + 1);
        let text = format!("{} {} {lots}", self.own, self.started_ms);
        StdRng::seed_from_u64(xxh3::xxh3_64(text.as_bytes()))
    }

    /// Entries by lot, for one that has no aggregator to pass on what it has to tell.
    #[must_use]
    pub fn random_peers(&self) -> Vec<SocketAddr> {
        self.heard.keys().copied().choose_multiple(&mut self.draw(), FAN_OUT)
    }

    /// Whom an entry tells of itself that has no aggregator: its seeds, and by lot those that it was told
    /// of, its own zone and all others.
    #[must_use]
    pub fn join_targets(&self) -> Vec<SocketAddr> {
        /// Of those told of and of the own zone.
        const SOME: usize = 16;
        /// Of all others.
        const FEW: usize = 4;
        let mut random = self.draw();
        let own_zone = self.heard.iter().filter(|(_, known)| known.peer.zone == self.zone);
        let own_zone = own_zone.map(|(addr, _)| addr).choose_multiple(&mut random, SOME);
        let named = self.named.iter().choose_multiple(&mut random, SOME);
        let others = self.heard.keys().choose_multiple(&mut random, FEW);
        let all = self.seeds.iter().chain(own_zone).chain(named).chain(others);
        let all: BTreeSet<SocketAddr> = all.copied().collect();
        all.into_iter().collect()
    }

    /// Seeds, and some former peers by lot, that are not heard of: behind a cut there may be another part of
    /// the fleet.
    #[must_use]
    pub fn probe_targets(&self, now_ms: u64) -> Vec<SocketAddr> {
        const FEW: usize = 4;
        let is_live = |addr: &SocketAddr| {
            self.heard.get(addr).is_some_and(|known| known.peer.is_live(now_ms))
        };
        let former = self.heard.keys().copied().filter(|addr| !is_live(addr));
        let mut silent = former.choose_multiple(&mut self.draw(), FEW);
        silent.extend(self.seeds.iter().copied().filter(|addr| !is_live(addr)));
        silent
    }

    /// Entries that share the retry budget, this one among them.
    #[must_use]
    pub fn budget_sharers(&self, now_ms: u64) -> usize {
        let recent = |known: &&Known| now_ms < known.peer.last_heard_ms + SHARES_MS;
        1 + self.heard.values().filter(recent).count().max(self.seeds.len())
    }

    /// Whether there was time to hear of all others.
    #[must_use]
    pub fn is_settled(&self, now_ms: u64) -> bool {
        self.seeds.is_empty() || now_ms >= self.started_ms + SETTLE_MS
    }

    /// Forgets peers that have been gone for long.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.heard.retain(|_, known| now_ms < known.peer.last_heard_ms + FORGET_MS);
        let heard = &self.heard;
        self.by_digest.retain(|_, addr| heard.contains_key(addr));
    }

    /// Notes that a pull is under way; false if one is already, from whomever.
    pub(in crate::gateway) fn begin_pull(&mut self) -> bool {
        !std::mem::replace(&mut self.is_pulling, true)
    }

    pub(in crate::gateway) fn end_pull(&mut self) {
        self.is_pulling = false;
    }

    /// Notes where an entry may be.
    pub fn add_discovered(&mut self, addr: SocketAddr) {
        /// More than the entries of the largest fleet.
        const MAX_NAMED: usize = 1_000;
        if addr != self.own && !self.heard.contains_key(&addr) && self.named.len() < MAX_NAMED {
            self.named.insert(addr);
        }
    }
}

/// The strongest peers, at most this many.
fn first<'a>(
    peers: impl Iterator<Item = (&'a SocketAddr, &'a Peer)>,
    most: usize,
) -> Vec<SocketAddr> {
    let mut first: Vec<(Reverse<u16>, SocketAddr)> = Vec::with_capacity(most + 1);
    for (addr, peer) in peers {
        let key = (Reverse(peer.millicores), *addr);
        let at = first.partition_point(|other| *other < key);
        if at < most {
            first.insert(at, key);
            first.truncate(most);
        }
    }
    first.into_iter().map(|(_, addr)| addr).collect()
}
