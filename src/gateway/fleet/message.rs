//! What entries send each other by UDP.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::duties::{delivery, tally};
use crate::gateway::fleet::peers::{self, roster};
use crate::gateway::policy::{gate, homes, limits, load};
use crate::gateway::{departures, evacuation};
use crate::lease;

/// What an entry tells of itself, beside its work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub from: SocketAddr,
    pub boot: u64,
    pub age_ms: u64,
    pub unix_ms: u64,
    pub config_version: u64,
    pub directory_revision: u64,
    pub zone: CompactString,
    /// What its instance can carry, in thousandths of a core.
    pub strength: u16,
    /// The store answered this entry's last calls, as far as it makes any.
    pub has_store: bool,
    pub holds_duties: bool,
    pub is_stopping: bool,
    /// It has heard of no aggregator, and asks whoever hears this who else there is.
    pub is_joining: bool,
    /// It sums the work of its zone, and wants to hear of all there.
    pub is_acting: bool,
    /// Live entries that it knows.
    pub live: u16,
    /// The newest that is known of the lease of the duties, where its holder tells of it.
    pub lease: Option<lease::Told>,
    pub gate: gate::Ages,
    pub evacuations: evacuation::Snapshot,
}

impl State {
    /// The same as a peer that was heard now.
    #[must_use]
    pub fn peer(&self, now_ms: u64) -> peers::Peer {
        peers::Peer {
            boot: self.boot,
            heard_ms: now_ms,
            zone: self.zone.clone(),
            strength: self.strength,
            has_store: self.has_store,
            holds_duties: self.holds_duties,
            is_stopping: self.is_stopping,
        }
    }
}

/// Part of a table of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub from: SocketAddr,
    pub source: load::Source,
    pub origin: load::Origin,
    pub rows: load::Rows,
}

/// How far prompt parts have come on their way from the entry that placed them to all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Leg {
    /// To an aggregator of the entry's zone, which passes them on to its zone and the other zones.
    FromEntry,
    /// To an aggregator of another zone, which passes them on to its zone.
    FromZone,
    /// To their last receiver.
    Last,
}

/// Prompt parts that were sent to endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    pub leg: Leg,
    pub parts: Vec<homes::Placed>,
}

/// A datagram between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    State(State),
    Work(Work),
    Roster(roster::Roster),
    Placed(Placed),
    /// Limits that endpoints have named, told with an entry's state.
    Limits(Vec<limits::Told>),
    /// Endpoints that have said that they leave, likewise.
    Departures(Vec<departures::Departure>),
    /// What one start of an entry has counted.
    Counts {
        from: SocketAddr,
        counts: delivery::Parcel,
    },
    /// Counts have come to this start of an entry.
    CountsTaken {
        from: SocketAddr,
        keeper: u64,
        receipt: delivery::Receipt,
    },
}

impl Message {
    /// Its kind, as a metric's label.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::Work(_) => "work",
            Self::Roster(_) => "roster",
            Self::Placed(_) => "placed",
            Self::Limits(_) => "limits",
            Self::Departures(_) => "departures",
            Self::Counts { .. } => "counts",
            Self::CountsTaken { .. } => "counts_taken",
        }
    }
}

/// Counts in a message stay below a datagram.
const _: () = assert!(delivery::MAX_COUNTED * tally::MAX_COUNT_BYTES < 1_200);
