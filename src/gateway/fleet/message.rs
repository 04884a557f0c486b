//! Messages that entries send each other over UDP.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::duties::{delivery, tally};
use crate::gateway::fleet::peers::{self, roster};
use crate::gateway::policy::{admission, limits, load, prefix_index, quarantine, work_duration};
use crate::gateway::{departures, evacuation, silences, stream_versions};
use crate::lease;

/// State of an entry, sent periodically as its heartbeat. Its load travels separately as [`Work`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub from: SocketAddr,
    pub boot: u64,
    pub age_ms: u64,
    pub unix_ms: u64,
    pub config_version: u64,
    pub directory_revision: u64,
    pub zone: CompactString,
    /// CPU capacity of its instance, in thousandths of a core.
    pub millicores: u16,
    /// Whether the store answered this entry's last calls; true for an entry that makes none.
    pub has_store: bool,
    pub holds_duties: bool,
    pub is_stopping: bool,
    /// Whether the entry has no aggregator. It asks each receiver for a roster of the other entries.
    pub is_joining: bool,
    /// Whether the entry aggregates the load of its zone. The others of the zone send their state and load
    /// to it.
    pub is_aggregating: bool,
    /// Number of live peers that the entry knows.
    pub live: u16,
    /// Newest notice about the term of the duties that was received from its holder.
    pub term_notice: Option<lease::TermNotice>,
    pub admission_ages: admission::Ages,
    pub evacuations: evacuation::Snapshot,
}

impl State {
    /// Converts the state to a peer record that was last heard now.
    #[must_use]
    pub fn peer(&self, now_ms: u64) -> peers::Peer {
        peers::Peer {
            boot: self.boot,
            last_heard_ms: now_ms,
            zone: self.zone.clone(),
            millicores: self.millicores,
            has_store: self.has_store,
            holds_duties: self.holds_duties,
            is_stopping: self.is_stopping,
        }
    }
}

/// Part of a load table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub from: SocketAddr,
    pub source: load::Source,
    pub origin: load::Origin,
    pub rows: load::Rows,
}

/// Details of part of a load table. Separate from [`Work`], whose rows are sent up to 20 times a second and which
/// earlier versions read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    pub source: load::Source,
    pub rows: Vec<load::DetailRow>,
}

/// Hop of prompt part placements on their way from the entry that placed them to all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// To an aggregator of the entry's zone, which forwards them to its zone and to the other zones.
    OwnAggregator,
    /// To an aggregator of another zone, which forwards them to its zone.
    RemoteAggregator,
    /// To a receiver that does not forward them.
    Final,
}

/// Prompt parts and the endpoints to which they were sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placements {
    pub hop: Hop,
    pub parts: Vec<prefix_index::Placement>,
}

/// A datagram between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    State(State),
    Work(Work),
    Roster(roster::Roster),
    Placements(Placements),
    /// Rate limits that endpoints have announced, sent with each state message.
    Limits(Vec<limits::LimitUpdate>),
    /// Endpoints that have announced that they leave, sent with each state message.
    Departures(Vec<departures::Departure>),
    /// Billing counts of one process start of an entry.
    Counts {
        from: SocketAddr,
        counts: delivery::CountBatch,
    },
    /// Acknowledges that an entry with this boot id has received counts.
    CountsAck {
        from: SocketAddr,
        receiver_boot: u64,
        ack: delivery::CountAck,
    },
    /// Software versions that began streams, for an entry that keeps them or has asked.
    StreamVersions(Vec<stream_versions::Record>),
    /// Asks which versions began these streams.
    StreamQuery {
        from: SocketAddr,
        streams: Vec<stream_versions::StreamKey>,
    },
    /// Streams that the sender was asked about and does not know.
    UnknownStreams(Vec<stream_versions::StreamKey>),
    /// Keeps the number of a message of earlier versions, whose content is ignored.
    PartSuspicions,
    /// Requests and prompt parts that are suspected of ending endpoints, sent with each state message.
    Suspicions(Vec<quarantine::Suspicion>),
    Details(Details),
    /// Durations of work that endpoints have reported, sent with each state message.
    Durations(Vec<work_duration::Report>),
    /// Endpoints that leave requests and health checks unanswered, sent with each state message.
    Silences(Vec<silences::Silence>),
}

impl Message {
    /// Returns the kind of the message as a metric label.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::Work(_) => "work",
            Self::Roster(_) => "roster",
            Self::Placements(_) => "placed",
            Self::Limits(_) => "limits",
            Self::Departures(_) => "departures",
            Self::StreamVersions(_) => "stream_versions",
            Self::StreamQuery { .. } => "stream_query",
            Self::UnknownStreams(_) => "unknown_streams",
            Self::PartSuspicions => "part_suspicions",
            Self::Suspicions(_) => "suspicions",
            Self::Details(_) => "details",
            Self::Durations(_) => "durations",
            Self::Silences(_) => "silences",
            Self::Counts { .. } => "counts",
            Self::CountsAck { .. } => "counts_taken",
        }
    }
}

// Counts in one message have to fit a datagram.
const _: () = assert!(delivery::MAX_COUNTED * tally::MAX_COUNT_BYTES < 1_200);
