//! The fleet as a daemon knows it: who there is, where, in what state.
//!
//! Each daemon writes its own record and raises its version with every change; the greatest version
//! stands. Records change only when something happens (a start, a drain, a stop), never to say
//! "still alive": that an endpoint answers is learnt by asking it. So the state spreads by digests
//! alone and costs nothing while nothing changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::wire;

/// What a daemon is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[display("entry")]
    Entry,
    #[display("side")]
    Side,
}

/// What state a daemon says it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum State {
    #[display("ready")]
    Ready,
    /// Finishes what it has and takes nothing new.
    #[display("draining")]
    Draining,
    /// Stopped, or gone from the platform's list.
    #[display("gone")]
    Gone,
}

/// An endpoint in front of which a side stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    pub id: CompactString,
    pub service: CompactString,
}

/// One daemon's record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    pub id: CompactString,
    /// Start time in ms since 1970 times 1000, plus the number of changes since. A restarted
    /// daemon so begins above its former records, unless its clock went back; then it learns of
    /// the greater version from its peers and goes above it.
    pub version: u64,
    /// Tells one start of the daemon from another.
    pub boot: u64,
    pub role: Role,
    pub region: CompactString,
    pub zone: CompactString,
    pub state: State,
    pub peer_addr: SocketAddr,
    pub admin_addr: SocketAddr,
    /// Sides only.
    pub work_addr: Option<SocketAddr>,
    pub endpoints: Vec<Endpoint>,
}

impl Member {
    /// The endpoints this daemon stands in front of.
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

/// Names a record and its version in few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    pub id_hash: u64,
    pub version: u64,
}

/// What two peers compare each second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub sender: SocketAddr,
    /// The sender's fleet, once it knows.
    pub fleet_id: Option<u64>,
    pub config_version: u64,
    pub keys_revision: u64,
    pub roster_revision: u64,
    /// Grows with each read of the store by any daemon, as long as somebody reads it.
    pub reads: u64,
    /// Equal if both know the same records.
    pub fleet: u64,
    /// An answer to a digest is not answered again.
    pub is_answer: bool,
}

/// All records known.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<CompactString, Member>,
    digest: u64,
}

impl Fleet {
    /// Equal for equal sets of records.
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

    /// Members that have not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state != State::Gone)
    }

    /// Takes in a record unless it is old; says whether it was taken.
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

    /// Records that are newer than, or missing from, the summaries.
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

/// An endpoint and where its side is.
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

/// How many daemons of its zone go before a daemon in reading the store for the rest, by rendezvous
/// hash.
///
/// Nothing is held exclusively. Two daemons that disagree on who there is cost a watch too many or
/// too few for a while; a daemon that hears nothing new still compares digests with the others.
#[must_use]
pub fn reader_rank(fleet: &Fleet, me: &Member) -> usize {
    let mine = reader_weight(&me.id);
    fleet
        .present()
        .filter(|member| member.zone == me.zone && member.region == me.region)
        .filter(|member| member.id != me.id && reader_weight(&member.id) > mine)
        .count()
}

/// A daemon's weight in that choice; greater goes before.
#[must_use]
pub fn reader_weight(id: &str) -> u64 {
    xxh3::xxh3_64_with_seed(id.as_bytes(), 0x5eed)
}
