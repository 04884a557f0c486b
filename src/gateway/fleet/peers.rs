//! Records of the other entries, from their own messages and from rosters. Pure but for its random draws.
//!
//! An entry that receives a message from a peer passes the time of it on in rosters, so that all entries
//! reach the same view without each sending to each other. The record with the newest such time wins.

pub mod roster;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3;

use crate::gateway::policy::warmup;
use crate::gateway::settings;

/// Maximum number of entries that an entry without an aggregator sends to at a time. In a larger fleet it
/// sends to a random sample.
const FAN_OUT: usize = 64;
/// Silence towards all entries after which a peer counts as dead for duties and shares.
pub(in crate::gateway) const PEER_TIMEOUT_MS: u64 = 1_700;
/// Silence after which a peer is no longer considered as an aggregator.
const AGGREGATOR_ABSENT_MS: u64 = 1_200;
/// Silence after which the record of a peer is removed and nothing more is sent to it.
const EXPIRE_MS: u64 = 30_000;
/// The retry budget is shared with peers that were heard within this time, the longest retry window.
const BUDGET_SHARE_MS: u64 = 10_000;
/// Time after its start within which an entry learns of all others.
const SETTLE_MS: u64 = 2_000;
/// Aggregators of an availability zone: the active one and its standby.
pub(in crate::gateway) const AGGREGATORS_PER_ZONE: usize = 2;

/// Record of another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub boot: u64,
    /// When any entry last received a message from the peer, on this entry's clock.
    pub last_heard_ms: u64,
    pub zone: CompactString,
    /// CPU capacity of its instance, in thousandths of a core.
    pub millicores: u16,
    pub has_store: bool,
    pub holds_duties: bool,
    pub is_stopping: bool,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.last_heard_ms + PEER_TIMEOUT_MS
    }

    fn differs_only_in_time(&self, other: &Self) -> bool {
        Self { last_heard_ms: other.last_heard_ms, ..self.clone() } == *other
    }

    /// Returns a hash of the record without its time, which stands for it in rosters.
    fn digest(&self, addr: SocketAddr) -> u32 {
        let flags = [self.has_store, self.holds_duties, self.is_stopping];
        let text = format!("{addr} {} {} {} {flags:?}", self.boot, self.zone, self.millicores);
        xxh3::xxh3_64(text.as_bytes()) as u32
    }
}

/// Selection of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope<'a> {
    Zone(&'a str),
    All,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    /// See [`Peer::digest`].
    digest: u32,
    changed_ms: u64,
}

impl Known {
    /// Records when the peer was last heard. A peer that had timed out counts as changed.
    fn mark_heard(&mut self, last_heard_ms: u64, now_ms: u64) {
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
    /// Digest of this entry's own record, see [`Peer::digest`].
    own_digest: u32,
    zone: CompactString,
    millicores: u16,
    started_ms: u64,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<SocketAddr, Known>,
    by_digest: HashMap<u32, SocketAddr>,
    /// Addresses from the list in the store of which no record exists yet.
    discovered: BTreeSet<SocketAddr>,
    is_pulling: bool,
    /// Differences between the time of day of older peers and that of this entry.
    pub(in crate::gateway) clock_offsets_ms: HashMap<SocketAddr, i64>,
    /// Whether this entry is stopping.
    is_stopping: bool,
    /// Number of rosters sent so far; it determines which peers the next one contains in full.
    round: usize,
    /// Number of random draws so far.
    draws: Cell<u64>,
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
            millicores: settings.millicores(),
            started_ms: now_ms,
            seeds: seeds.filter(|addr| *addr != own).collect(),
            known: BTreeMap::new(),
            by_digest: HashMap::new(),
            discovered: BTreeSet::new(),
            is_pulling: false,
            clock_offsets_ms: HashMap::new(),
            is_stopping: false,
            round: 0,
            draws: Cell::new(0),
        }
    }

    /// Updates the record of this entry itself, as the others receive it.
    pub fn update_own(&mut self, own: &Peer) {
        self.own_digest = own.digest(self.own);
        self.is_stopping = own.is_stopping;
    }

    /// Begins the next round of rosters.
    pub fn advance_round(&mut self) {
        self.round += 1;
    }

    /// Updates the record of a peer if the given one is newer. Returns whether its boot id is new.
    pub fn update(&mut self, addr: SocketAddr, peer: Peer, now_ms: u64) -> bool {
        if addr == self.own {
            return false;
        }
        self.discovered.remove(&addr);
        let before = self.known.get_mut(&addr);
        if let Some(known) = &before
            && known.peer.last_heard_ms > peer.last_heard_ms
        {
            return false;
        }
        if let Some(known) = before
            && known.peer.differs_only_in_time(&peer)
        {
            known.mark_heard(peer.last_heard_ms, now_ms);
            return false;
        }
        let digest = peer.digest(addr);
        let boot = peer.boot;
        let known = Known { peer, digest, changed_ms: now_ms };
        let before = self.known.insert(addr, known);
        if let Some(before) = &before {
            self.by_digest.remove(&before.digest);
        }
        self.by_digest.insert(digest, addr);
        before.is_none_or(|before| before.peer.boot != boot)
    }

    /// Returns whether a peer has changed since this time.
    #[must_use]
    pub fn has_changed_since(&self, since_ms: u64) -> bool {
        self.known.values().any(|known| known.changed_ms > since_ms)
    }

    fn live_of(
        &self,
        scope: Scope<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = (&SocketAddr, &Known)> {
        let live = self.known.iter().filter(move |(_, known)| known.peer.is_live(now_ms));
        live.filter(move |(_, known)| match scope {
            Scope::Zone(zone) => known.peer.zone == zone,
            Scope::All => true,
        })
    }

    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.live_of(Scope::All, now_ms).map(|(addr, known)| (addr, &known.peer))
    }

    /// Returns the number of live peers.
    #[must_use]
    pub fn live_count(&self, now_ms: u64) -> usize {
        self.live_peers(now_ms).count()
    }

    /// Returns the boot ids of the peers that any entry has heard since this time.
    pub fn boots_since(&self, since_ms: u64) -> impl Iterator<Item = u64> {
        let recent = self.known.values().filter(move |known| known.peer.last_heard_ms >= since_ms);
        recent.map(|known| known.peer.boot)
    }

    /// Returns the number of live peers that are not stopping.
    #[must_use]
    pub fn serving_count(&self, now_ms: u64) -> usize {
        self.live_peers(now_ms).filter(|(_, peer)| !peer.is_stopping).count()
    }

    /// Returns the live peer that declares that it holds the duties.
    #[must_use]
    pub fn duty_holder(&self, now_ms: u64) -> Option<SocketAddr> {
        let mut holders =
            self.live_peers(now_ms).filter(|(_, peer)| peer.holds_duties && !peer.is_stopping);
        holders.next().map(|(addr, _)| *addr)
    }

    /// Returns the number of live peers that contend for the duties before this entry. More CPU ranks first.
    #[must_use]
    pub fn duty_rank(&self, now_ms: u64) -> usize {
        let before = self.live_peers(now_ms).filter(|(addr, peer)| {
            !peer.is_stopping && self.ranks_before_own(peer.millicores, **addr)
        });
        before.count()
    }

    /// Returns the live peers that rank first for the duties.
    #[must_use]
    pub fn duty_successors(&self, max_count: usize, now_ms: u64) -> Vec<SocketAddr> {
        most_capable(self.live_peers(now_ms).filter(|(_, peer)| !peer.is_stopping), max_count)
    }

    /// Returns the live peers with the most CPU, including those that are stopping.
    #[must_use]
    pub fn strongest(&self, max_count: usize, now_ms: u64) -> Vec<SocketAddr> {
        most_capable(self.live_peers(now_ms), max_count)
    }

    /// Returns the live peers of this zone that rank before this entry as readers of the store.
    fn store_readers_before(&self, now_ms: u64) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.live_peers(now_ms)
            .filter(|(addr, peer)| **addr < self.own && peer.zone == self.zone && !peer.is_stopping)
    }

    /// Returns how many peers rank before this entry as readers of the store and receive its answers.
    #[must_use]
    pub fn active_readers_before(&self, now_ms: u64) -> usize {
        self.store_readers_before(now_ms).filter(|(_, peer)| peer.has_store).count()
    }

    /// Returns the peer that ranks first in this zone as a reader of the store and receives its answers, if it
    /// ranks before this entry.
    #[must_use]
    pub fn first_store_reader(&self, now_ms: u64) -> Option<SocketAddr> {
        let mut readers = self.store_readers_before(now_ms).filter(|(_, peer)| peer.has_store);
        readers.next().map(|(addr, _)| *addr)
    }

    /// Returns when the peer that ranks first as a reader of the store was last heard.
    #[must_use]
    pub fn store_reader_heard_ms(&self, now_ms: u64) -> Option<u64> {
        let mut readers = self.store_readers_before(now_ms).filter(|(_, peer)| peer.has_store);
        readers.next().map(|(_, peer)| peer.last_heard_ms)
    }

    /// Returns how many peers rank before this entry as readers of the store, reachable or not.
    #[must_use]
    pub fn store_reader_rank(&self, now_ms: u64) -> usize {
        self.store_readers_before(now_ms).count()
    }

    /// Returns the entries that may send to cold endpoints, including this one.
    ///
    /// With a quorum these are the live entries, which take over from the dead ones. An entry without a
    /// quorum may itself be cut off, so its share must not grow: it uses all entries that it knows.
    #[must_use]
    pub fn warmup_candidates(&self, has_quorum: bool, now_ms: u64) -> Vec<warmup::Candidate> {
        let peers = self.known.iter().filter(|(_, known)| {
            !has_quorum || (known.peer.is_live(now_ms) && !known.peer.is_stopping)
        });
        let peers = peers.map(|(addr, known)| (*addr, &known.peer.zone));
        let own = (!self.is_stopping).then_some((self.own, &self.zone));
        let mut candidates: Vec<warmup::Candidate> = peers
            .chain(own)
            .map(|(addr, zone)| warmup::Candidate { addr, zone: zone.clone() })
            .collect();
        candidates.sort_unstable_by_key(|one| one.addr);
        candidates
    }

    /// Returns whether at least half of the known entries are live, counting this one.
    #[must_use]
    pub fn has_quorum(&self, now_ms: u64) -> bool {
        2 * (1 + self.live_count(now_ms)) > self.known.len()
    }

    /// Returns the number of entries that may be there, including this one: the seeds and the known peers, live or not.
    #[must_use]
    pub fn possible_count(&self) -> usize {
        1 + self.known.keys().chain(&self.seeds).collect::<BTreeSet<_>>().len()
    }

    /// Returns whether there is no other entry: neither a seed nor a known peer.
    #[must_use]
    pub fn is_only_entry(&self) -> bool {
        self.seeds.is_empty() && self.known.is_empty()
    }

    fn ranks_before_own(&self, millicores: u16, addr: SocketAddr) -> bool {
        (Reverse(millicores), addr) < (Reverse(self.millicores), self.own)
    }

    /// Returns the number of peers of this zone that rank before this entry as aggregators.
    #[must_use]
    pub fn aggregator_rank(&self, now_ms: u64) -> usize {
        let candidates = self.aggregator_candidates(&self.zone, now_ms);
        candidates.filter(|(addr, peer)| self.ranks_before_own(peer.millicores, **addr)).count()
    }

    /// Returns whether that peer ranks before this entry as an aggregator.
    #[must_use]
    pub fn outranks_own(&self, addr: SocketAddr) -> bool {
        self.known
            .get(&addr)
            .is_some_and(|known| self.ranks_before_own(known.peer.millicores, addr))
    }

    fn aggregator_candidates<'a>(
        &'a self,
        zone: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = (&'a SocketAddr, &'a Peer)> {
        let present = self
            .live_peers(now_ms)
            .filter(move |(_, peer)| now_ms < peer.last_heard_ms + AGGREGATOR_ABSENT_MS);
        present.filter(move |(_, peer)| peer.zone == zone && !peer.is_stopping)
    }

    /// Returns the first-ranked aggregators of a zone: the peers with the most CPU.
    #[must_use]
    pub fn aggregators(&self, zone: &str, now_ms: u64) -> Vec<SocketAddr> {
        most_capable(self.aggregator_candidates(zone, now_ms), AGGREGATORS_PER_ZONE)
    }

    /// Returns the live peers of this zone with their boot ids.
    #[must_use]
    pub fn members(&self, now_ms: u64) -> Vec<(SocketAddr, u64)> {
        let live = self.live_of(Scope::Zone(&self.zone), now_ms);
        live.map(|(addr, known)| (*addr, known.peer.boot)).collect()
    }

    /// Returns the other zones that have live peers.
    #[must_use]
    pub fn other_zones(&self, now_ms: u64) -> BTreeSet<CompactString> {
        let zones = self.live_peers(now_ms).map(|(_, peer)| &peer.zone);
        zones.filter(|zone| **zone != self.zone).cloned().collect()
    }

    /// Returns a random generator that differs for each entry, start and draw. It is deterministic on a
    /// virtual clock, so that a failed test can be reproduced.
    fn next_rng(&self) -> StdRng {
        let draws = self.draws.get();
        self.draws.set(draws + 1);
        let text = format!("{} {} {draws}", self.own, self.started_ms);
        StdRng::seed_from_u64(xxh3::xxh3_64(text.as_bytes()))
    }

    /// Returns random peers, for an entry that has no aggregator to forward its messages.
    #[must_use]
    pub fn random_peers(&self) -> Vec<SocketAddr> {
        self.known.keys().copied().choose_multiple(&mut self.next_rng(), FAN_OUT)
    }

    /// Returns the receivers of the state of an entry without an aggregator: its seeds, and random samples of
    /// the discovered addresses, of the peers of its zone and of all peers.
    #[must_use]
    pub fn join_targets(&self) -> Vec<SocketAddr> {
        /// Sample size of the discovered addresses and of the peers of this zone.
        const NEAR_SAMPLE: usize = 16;
        /// Sample size of all peers.
        const FAR_SAMPLE: usize = 4;
        let mut random = self.next_rng();
        let own_zone = self.known.iter().filter(|(_, known)| known.peer.zone == self.zone);
        let own_zone = own_zone.map(|(addr, _)| addr).choose_multiple(&mut random, NEAR_SAMPLE);
        let discovered = self.discovered.iter().choose_multiple(&mut random, NEAR_SAMPLE);
        let others = self.known.keys().choose_multiple(&mut random, FAR_SAMPLE);
        let all = self.seeds.iter().chain(own_zone).chain(discovered).chain(others);
        let all: BTreeSet<SocketAddr> = all.copied().collect();
        all.into_iter().collect()
    }

    /// Returns the silent seeds and a random sample of the silent peers. Probing them reunites the parts of
    /// the fleet after a network partition.
    #[must_use]
    pub fn probe_targets(&self, now_ms: u64) -> Vec<SocketAddr> {
        /// Sample size of the silent peers.
        const SAMPLE: usize = 4;
        let is_live = |addr: &SocketAddr| {
            self.known.get(addr).is_some_and(|known| known.peer.is_live(now_ms))
        };
        let former = self.known.keys().copied().filter(|addr| !is_live(addr));
        let mut silent = former.choose_multiple(&mut self.next_rng(), SAMPLE);
        silent.extend(self.seeds.iter().copied().filter(|addr| !is_live(addr)));
        silent
    }

    /// Returns the live peers that keep the version of a stream: by rendezvous hashing, one of each
    /// availability zone before a second of any, so that most are left when a zone is lost.
    #[must_use]
    pub fn stream_keepers(&self, seed: u64, max_count: usize, now_ms: u64) -> Vec<SocketAddr> {
        let weight = |addr: &SocketAddr| rendezvous_weight(*addr, seed);
        let mut peers: Vec<(u64, &SocketAddr, &Peer)> =
            self.live_peers(now_ms).map(|(addr, peer)| (weight(addr), addr, peer)).collect();
        peers.sort_unstable_by_key(|(weight, ..)| Reverse(*weight));
        let mut zones = BTreeSet::new();
        let (first, further): (Vec<_>, Vec<_>) =
            peers.into_iter().partition(|(_, _, peer)| zones.insert(&peer.zone));
        let keepers = first.into_iter().chain(further).take(max_count);
        keepers.map(|(_, addr, _)| *addr).collect()
    }

    /// Returns whether this entry comes first of all live ones by rendezvous hashing.
    #[must_use]
    pub fn is_first_for(&self, seed: u64, now_ms: u64) -> bool {
        let own = rendezvous_weight(self.own, seed);
        self.live_peers(now_ms).all(|(addr, _)| rendezvous_weight(*addr, seed) < own)
    }

    /// Returns the number of entries that share the retry budget, including this one.
    #[must_use]
    pub fn retry_budget_entries(&self, now_ms: u64) -> usize {
        let recent = |known: &&Known| now_ms < known.peer.last_heard_ms + BUDGET_SHARE_MS;
        1 + self.known.values().filter(recent).count().max(self.seeds.len())
    }

    /// Returns whether this entry has had time to learn of all others.
    #[must_use]
    pub fn is_settled(&self, now_ms: u64) -> bool {
        self.seeds.is_empty() || now_ms >= self.started_ms + SETTLE_MS
    }

    /// Removes the records of peers that have been silent for [`EXPIRE_MS`].
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.known.retain(|_, known| now_ms < known.peer.last_heard_ms + EXPIRE_MS);
        let known = &self.known;
        self.by_digest.retain(|_, addr| known.contains_key(addr));
    }

    /// Marks a pull as in flight. Returns false if one from any peer already is.
    pub(in crate::gateway) fn begin_pull(&mut self) -> bool {
        !std::mem::replace(&mut self.is_pulling, true)
    }

    pub(in crate::gateway) fn end_pull(&mut self) {
        self.is_pulling = false;
    }

    /// Adds an address at which an entry may listen.
    pub fn add_discovered(&mut self, addr: SocketAddr) {
        /// Above the number of entries in the largest fleet.
        const MAX_DISCOVERED: usize = 1_000;
        if addr != self.own
            && !self.known.contains_key(&addr)
            && self.discovered.len() < MAX_DISCOVERED
        {
            self.discovered.insert(addr);
        }
    }
}

/// Returns the weight of an entry in rendezvous hashing: a hash of its address and port.
fn rendezvous_weight(addr: SocketAddr, seed: u64) -> u64 {
    let octets = match addr.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    };
    let mut bytes = [0; 18];
    bytes[..16].copy_from_slice(&octets);
    bytes[16..].copy_from_slice(&addr.port().to_be_bytes());
    xxh3::xxh3_64_with_seed(&bytes, seed)
}

/// Returns the peers with the most CPU, at most this many.
fn most_capable<'a>(
    peers: impl Iterator<Item = (&'a SocketAddr, &'a Peer)>,
    max_count: usize,
) -> Vec<SocketAddr> {
    let mut first: Vec<(Reverse<u16>, SocketAddr)> = Vec::with_capacity(max_count + 1);
    for (addr, peer) in peers {
        let key = (Reverse(peer.millicores), *addr);
        let at = first.partition_point(|other| *other < key);
        if at < max_count {
            first.insert(at, key);
            first.truncate(max_count);
        }
    }
    first.into_iter().map(|(_, addr)| addr).collect()
}
