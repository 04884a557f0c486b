//! Leases with terms and fencing tokens, which elect the holder of a duty.
//!
//! The module does no I/O: it takes readings of the daemon's own boot clock and the answers of the store,
//! and returns the next step. Wall clocks are never compared. A holder counts its term from before it
//! sent the write. Another contender counts the term of the same record version from when it first saw it,
//! and waits for an additional margin. A takeover can therefore only succeed after the term has ended for
//! the holder, even if answers of the store are lost or late.
//!
//! The store may come back from an older copy in a new [`store::Era`]. The record then says nothing about later
//! terms, so a contender trusts only records whose token is of the store's present era. Tokens contain the era
//! and the revision of the record that the term replaces, so they rise over any number of eras.

mod contender;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::store;

pub use contender::Contender;

/// Fencing token of a term; increases with each change of holder.
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

impl Epoch {
    /// Returns the store's era in which the term began.
    #[must_use]
    pub fn era(self) -> store::Era {
        store::Era::of(self.0)
    }
}

/// Durations and intervals of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Length of a term.
    pub term_ms: u64,
    /// How long another contender waits after the end of a term, and how long before the end a holder stops,
    /// to allow for clocks that run at different rates.
    pub margin_ms: u64,
    /// How often a holder renews its term.
    pub renew_ms: u64,
    /// How often another contender reads the record.
    pub read_ms: u64,
    /// How often the record is read to learn the outcome of an unanswered write.
    pub settle_ms: u64,
}

/// Timing of the duties of sides and entries, where orders to endpoints may take seconds. The margin is
/// many thousandths of the term, ten times the drift of a quartz clock.
pub const TIMING: Timing =
    Timing { term_ms: 6_000, margin_ms: 500, renew_ms: 2_000, read_ms: 2_000, settle_ms: 500 };

/// The stored record of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub holder: CompactString,
    /// Start of the holder; distinguishes a restarted daemon from its earlier process.
    pub boot: u64,
    pub epoch: Epoch,
    pub term_ms: u64,
    /// Identifies the write, so that a read shows whether an unanswered write took effect.
    pub nonce: u64,
}

/// A lease record with its version in the store; revision zero means that there is no record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecord {
    pub version: u64,
    pub record: Option<Record>,
}

/// A conditional write of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Version that the write replaces; revision zero creates the record.
    pub if_version: u64,
    pub record: Record,
}

/// Notice about a term that its holder sends directly to the other contenders.
///
/// A contender that knows when the term ends does not have to watch the record for a whole term, and a holder
/// that stops can release the lease while the store is unavailable. A notice cannot lead to two holders,
/// because a contender still has to replace exactly the record version that the notice names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermNotice {
    /// The store's version of the record.
    pub version: u64,
    pub boot: u64,
    pub epoch: Epoch,
    /// Remaining time in which the holder may act.
    pub left_ms: u64,
    /// Time since the holder last acted.
    pub idle_ms: u64,
    /// Set when the holder will never act in this epoch again.
    pub is_over: bool,
}

impl TermNotice {
    /// Returns the notice as it holds `elapsed_ms` later.
    #[must_use]
    pub fn after(self, elapsed_ms: u64) -> Self {
        let left_ms = self.left_ms.saturating_sub(elapsed_ms);
        Self { left_ms, idle_ms: self.idle_ms.saturating_add(elapsed_ms), ..self }
    }
}

/// Next step of a contender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the record.
    Read,
    /// Write the record and report the outcome.
    Write(Write),
    /// Do nothing until this time.
    WaitUntil(u64),
}
