//! Leases: being in charge of a duty, for a term, with a fencing number.
//!
//! Pure: time comes in as readings of the daemon's own boot clock, what the store said comes in as
//! events, and what to do next comes out. Wall clocks are never compared. The holder counts its
//! term from before it sent the write; a rival counts the same version's standing from when it
//! first saw it, and waits a margin longer. So a rival's takeover can only succeed after the term
//! as the holder counts it has run out, whatever became of answers in between.

mod contender;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub use contender::Contender;

/// Fencing number of a term: grows with each change of holder.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct Epoch(pub u64);

/// How long terms are and how often they are looked after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Length of a term.
    pub term_ms: u64,
    /// What a rival waits beyond the term, and a holder stops before its end, for clocks that run at
    /// different rates.
    pub margin_ms: u64,
    /// How often a holder renews.
    pub renew_ms: u64,
    /// How often a rival reads the record.
    pub read_ms: u64,
    /// How often the outcome of an unanswered write is asked for.
    pub settle_ms: u64,
}

/// Timing of the duties of side processes and entries: orders to endpoints may take seconds. The
/// margin is a thousandth of the term many times over, ten times what a quartz clock drifts.
pub const TIMING: Timing =
    Timing { term_ms: 6_000, margin_ms: 500, renew_ms: 2_000, read_ms: 2_000, settle_ms: 500 };

/// What the store holds of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub holder: CompactString,
    /// Tells a restarted holder from its former self.
    pub boot: u64,
    pub epoch: Epoch,
    pub term_ms: u64,
    /// Tells one write from another, to settle a lost answer by reading.
    pub nonce: u64,
}

/// A record with the store's version of it; version zero: no such object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecord {
    pub version: u64,
    pub record: Option<Record>,
}

/// A write to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Zero: create.
    pub if_version: u64,
    pub record: Record,
}

/// What a holder tells its rivals of its term, beside the store.
///
/// A rival that knows when the term ends need not read the record to see how long it stands, and who
/// stops gives its term back also while the store is away. What is told never makes two holders: a
/// rival still replaces the very version that it was told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermNotice {
    /// The store's version of the record.
    pub version: u64,
    pub boot: u64,
    pub epoch: Epoch,
    /// How long the holder may still act.
    pub left_ms: u64,
    /// How long ago it acted last.
    pub idle_ms: u64,
    /// The holder will never act in this epoch again.
    pub is_over: bool,
}

impl TermNotice {
    /// The same, said this much later.
    #[must_use]
    pub fn after(self, passed_ms: u64) -> Self {
        let left_ms = self.left_ms.saturating_sub(passed_ms);
        Self { left_ms, idle_ms: self.idle_ms.saturating_add(passed_ms), ..self }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the record.
    Read,
    /// Write this; report the outcome.
    Write(Write),
    /// Nothing until this time.
    WaitUntil(u64),
}
