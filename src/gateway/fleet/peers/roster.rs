//! Rosters that entries send each other of the live peers: full rows of peers that are new or have changed,
//! digests of others, and one combined digest for a zone whose peers were all heard lately.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{Peer, Peers, Scope};

/// A zone whose peers were all heard within this time is sent as one [`ZoneDigest`].
const FRESH_MS: u64 = 500;
/// The same for another zone, whose peers are heard with a longer delay.
const REMOTE_FRESH_MS: u64 = 900;
/// How long a changed peer is sent as a full row, in addition to the rounds in which every peer is.
const CHANGED_MS: u64 = 1_500;
/// Unit of the ages in rosters.
const AGE_STEP_MS: u64 = 20;

/// Full record of a peer in a roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    addr: SocketAddr,
    boot: u64,
    zone: CompactString,
    millicores: u16,
    has_store: bool,
    holds_duties: bool,
    is_stopping: bool,
    age: u8,
}

/// Digest of a zone whose live peers were all heard lately. A receiver that knows the same peers needs no
/// record of each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    zone: CompactString,
    /// XOR of the digests of all live peers.
    digest: u32,
    /// Age of the peer that was heard longest ago.
    age: u8,
}

/// Live peers: some as full rows, others, whose row was sent before, as digest and age. A zone whose peers
/// were all heard lately is sent as one digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    pub rows: Vec<Row>,
    pub digests: Vec<(u32, u8)>,
    pub zone_digests: Vec<ZoneDigest>,
}

impl Roster {
    /// Splits the roster into pieces that fit a datagram.
    #[must_use]
    pub fn split(self) -> Vec<Self> {
        /// Maximum number of rows in a piece; about 30 bytes each.
        const MAX_ROWS: usize = 36;
        /// Maximum number of digests in a piece; 6 bytes each.
        const MAX_DIGESTS: usize = 200;
        let rows = self.rows.chunks(MAX_ROWS);
        let rows = rows.map(|rows| Self { rows: rows.to_vec(), ..Self::default() });
        let digests = self.digests.chunks(MAX_DIGESTS);
        let digests = digests.map(|digests| Self { digests: digests.to_vec(), ..Self::default() });
        let mut pieces: Vec<Self> = rows.chain(digests).collect();
        if !self.zone_digests.is_empty() {
            // Last, so that the receiver has the rows of new peers by then.
            pieces.push(Self { zone_digests: self.zone_digests, ..Self::default() });
        }
        pieces
    }
}

impl Peers {
    /// Merges a roster from another entry. Returns the peers whose boot id is new.
    pub fn merge_roster(&mut self, roster: &Roster, now_ms: u64) -> Vec<SocketAddr> {
        // One step is added for the transfer. Without it, a record forwarded in a circle would never age.
        let last_heard_ms = |age: u8| now_ms.saturating_sub((u64::from(age) + 1) * AGE_STEP_MS);
        for (digest, age) in &roster.digests {
            let addr = self.by_digest.get(digest);
            if let Some(known) = addr.and_then(|addr| self.known.get_mut(addr)) {
                known.mark_heard(last_heard_ms(*age), now_ms);
            }
        }
        let mut new = Vec::new();
        for row in &roster.rows {
            let peer = Peer {
                boot: row.boot,
                last_heard_ms: last_heard_ms(row.age),
                zone: row.zone.clone(),
                millicores: row.millicores,
                has_store: row.has_store,
                holds_duties: row.holds_duties,
                is_stopping: row.is_stopping,
            };
            if self.update(row.addr, peer, now_ms) {
                new.push(row.addr);
            }
        }
        for zone_digest in &roster.zone_digests {
            self.merge_zone_digest(zone_digest, last_heard_ms(zone_digest.age), now_ms);
        }
        new
    }

    fn merge_zone_digest(&mut self, zone_digest: &ZoneDigest, last_heard_ms: u64, now_ms: u64) {
        let own_digest = if zone_digest.zone == self.zone { self.own_digest } else { 0 };
        let live = self.live_of(Scope::Zone(&zone_digest.zone), now_ms);
        if live.fold(own_digest, |digests, (_, known)| digests ^ known.digest) != zone_digest.digest
        {
            return;
        }
        let peers = self.known.values_mut().map(|known| &mut known.peer);
        for peer in peers.filter(|peer| peer.zone == zone_digest.zone && peer.is_live(now_ms)) {
            peer.last_heard_ms = peer.last_heard_ms.max(last_heard_ms);
        }
    }

    /// Returns the roster for the current round: rows of the peers that have changed and of a share of the
    /// others, and digests of the rest.
    pub fn roster(&self, scope: Scope<'_>, now_ms: u64) -> Roster {
        /// Number of rounds in which each peer is sent as a row once.
        const FULL_ROUNDS: usize = 24;
        /// Number of rounds in which the digest of each peer of a fresh zone is sent once.
        const DIGEST_ROUNDS: usize = 4;
        let round = self.round;
        let mut zones: BTreeMap<&CompactString, ZoneDigest> = BTreeMap::new();
        let own = ZoneDigest { zone: self.zone.clone(), digest: self.own_digest, age: 0 };
        zones.insert(&self.zone, own);
        for (_, known) in self.live_of(scope, now_ms) {
            let zone = &known.peer.zone;
            let empty = || ZoneDigest { zone: zone.clone(), digest: 0, age: 0 };
            let zone_digest = zones.entry(zone).or_insert_with(empty);
            zone_digest.digest ^= known.digest;
            zone_digest.age = zone_digest.age.max(age(&known.peer, now_ms));
        }
        zones.retain(|zone, zone_digest| {
            let fresh_ms = if **zone == self.zone { FRESH_MS } else { REMOTE_FRESH_MS };
            u64::from(zone_digest.age) * AGE_STEP_MS < fresh_ms
        });
        let mut roster = Roster::default();
        for (addr, known) in self.live_of(scope, now_ms) {
            let is_full_round = known.digest as usize % FULL_ROUNDS == round % FULL_ROUNDS;
            if is_full_round || now_ms < known.changed_ms + CHANGED_MS {
                roster.rows.push(row(*addr, &known.peer, now_ms));
            } else if round.is_multiple_of(DIGEST_ROUNDS) || !zones.contains_key(&known.peer.zone) {
                roster.digests.push((known.digest, age(&known.peer, now_ms)));
            }
        }
        roster.zone_digests = zones.into_values().collect();
        roster
    }

    /// Returns all live peers as rows, for an entry of this zone that joins or knows too few peers.
    #[must_use]
    pub fn full_roster(&self, now_ms: u64) -> Roster {
        let rows = self.live_of(Scope::All, now_ms);
        let rows = rows.map(|(addr, known)| row(*addr, &known.peer, now_ms)).collect();
        Roster { rows, ..Roster::default() }
    }

    /// Returns the aggregators of all zones as rows, for an entry to which this one sends no full roster.
    #[must_use]
    pub fn aggregator_roster(&self, now_ms: u64) -> Roster {
        let mut zones = self.other_zones(now_ms);
        zones.insert(self.zone.clone());
        let addrs = zones.iter().flat_map(|zone| self.aggregators(zone, now_ms));
        let rows = addrs
            .filter_map(|addr| self.known.get(&addr).map(|known| row(addr, &known.peer, now_ms)));
        Roster { rows: rows.collect(), ..Roster::default() }
    }
}

fn row(addr: SocketAddr, peer: &Peer, now_ms: u64) -> Row {
    Row {
        addr,
        boot: peer.boot,
        zone: peer.zone.clone(),
        millicores: peer.millicores,
        has_store: peer.has_store,
        holds_duties: peer.holds_duties,
        is_stopping: peer.is_stopping,
        age: age(peer, now_ms),
    }
}

fn age(peer: &Peer, now_ms: u64) -> u8 {
    // Rounded up: a record sent back and forth between entries would otherwise never age.
    let steps = now_ms.saturating_sub(peer.last_heard_ms).div_ceil(AGE_STEP_MS);
    u8::try_from(steps).unwrap_or(u8::MAX)
}
