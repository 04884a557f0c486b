//! The fleet as a daemon knows it: the records of all daemons, with their addresses and states.
//!
//! Each daemon writes its own record and raises its version with every change; the highest version
//! wins. Records change only on events (a start, a drain, a stop). They are no heartbeats: a load
//! query shows whether an endpoint answers. Replication therefore costs only the digests while nothing
//! changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::wire;

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[display("entry")]
    Entry,
    #[display("side")]
    Side,
}

/// State that a daemon reports in its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum State {
    #[display("ready")]
    Ready,
    /// Finishes its current work and accepts no new work.
    #[display("draining")]
    Draining,
    /// Stopped, or no longer in the platform's list.
    #[display("gone")]
    Gone,
}

/// An endpoint that a side serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    pub id: CompactString,
    pub service: CompactString,
}

/// One daemon's record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    pub id: CompactString,
    /// Start time in ms since 1970, times 1000, plus the number of changes since. A restarted daemon
    /// thus starts above its earlier records unless its clock went back. In that case it learns the
    /// higher version from its peers and continues above it.
    pub version: u64,
    /// Distinguishes starts of the same daemon.
    pub boot: u64,
    pub role: Role,
    pub region: CompactString,
    pub zone: CompactString,
    pub state: State,
    pub peer_addr: SocketAddr,
    pub admin_addr: SocketAddr,
    /// Present for sides only.
    pub work_addr: Option<SocketAddr>,
    pub endpoints: Vec<Endpoint>,
}

impl Member {
    /// Locations of the endpoints that this daemon serves.
    pub fn endpoint_locations(&self) -> impl Iterator<Item = EndpointLocation> {
        self.work_addr.into_iter().flat_map(move |work_addr| {
            self.endpoints.iter().enumerate().map(move |(index, endpoint)| EndpointLocation {
                work_addr,
                endpoint: wire::EndpointIndex(index as u16),
                id: endpoint.id.clone(),
                service: endpoint.service.clone(),
                zone: self.zone.clone(),
            })
        })
    }

    fn hash(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.version)
    }
}

/// Compact identification of a record and its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    pub id_hash: u64,
    pub version: u64,
}

/// Summary of a daemon's shared state, which peers compare each second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub sender: SocketAddr,
    /// The sender's fleet id, once known.
    pub fleet_id: Option<u64>,
    pub config_version: u64,
    pub keys_revision: u64,
    pub roster_revision: u64,
    /// Count of store reads by all daemons; grows as long as any daemon reads the store.
    pub reads: u64,
    /// Digest of the membership records; equal if both peers have the same ones.
    pub fleet: u64,
    /// Marks an answer to a digest; it is not answered again.
    pub is_answer: bool,
}

/// All known membership records.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<CompactString, Member>,
    digest: u64,
}

impl Fleet {
    /// Digest of the records: equal for equal sets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    #[must_use]
    pub fn find(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members whose state is not `Gone`.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state != State::Gone)
    }

    /// Merges a record unless the known version is at least as high; returns whether it was merged.
    pub fn merge(&mut self, new: Member) -> bool {
        match self.members.get(&new.id) {
            Some(known) if known.version >= new.version => return false,
            Some(known) => self.digest ^= known.hash(),
            None => {}
        }
        self.digest ^= new.hash();
        self.members.insert(new.id.clone(), new);
        true
    }

    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        self.iter()
            .map(|member| Summary { id_hash: id_hash(&member.id), version: member.version })
            .collect()
    }

    /// Records that are newer than in the summaries or missing from them.
    #[must_use]
    pub fn newer_than(&self, known: &[Summary]) -> Vec<Member> {
        let known: std::collections::HashMap<u64, u64> =
            known.iter().map(|summary| (summary.id_hash, summary.version)).collect();
        self.iter()
            .filter(|member| known.get(&id_hash(&member.id)).is_none_or(|at| *at < member.version))
            .cloned()
            .collect()
    }
}

/// An endpoint with the address and zone of its side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointLocation {
    pub work_addr: SocketAddr,
    pub endpoint: wire::EndpointIndex,
    pub id: CompactString,
    pub service: CompactString,
    pub zone: CompactString,
}

fn id_hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

/// Rank of a daemon among the daemons of its zone as a reader of the store, by rendezvous hashing;
/// zero is first.
///
/// No lock is involved. While daemons disagree on the membership, there may be one reader too many or
/// too few; a daemon without a reader still gets the state by comparing digests with its peers.
#[must_use]
pub fn reader_rank(fleet: &Fleet, me: &Member) -> usize {
    let mine = reader_weight(&me.id);
    fleet
        .present()
        .filter(|member| member.zone == me.zone && member.region == me.region)
        .filter(|member| member.id != me.id && reader_weight(&member.id) > mine)
        .count()
}

/// Rendezvous weight of a daemon in that ranking; the highest weight is first.
#[must_use]
pub fn reader_weight(id: &str) -> u64 {
    xxh3::xxh3_64_with_seed(id.as_bytes(), 0x5eed)
}
