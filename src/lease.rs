//! Leases: being in charge of a duty, for a term, with a fencing number.
//!
//! Pure: time comes in as readings of the daemon's own boot clock, what the store said comes in as
//! events, and what to do next comes out. Wall clocks are never compared. The holder counts its
//! term from before it sent the write; a rival counts the same version's standing from when it
//! first saw it, and waits a margin longer. So a rival's takeover can only succeed after the term
//! as the holder counts it has run out, whatever became of answers in between.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

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

/// Length of a term.
pub const TERM_MS: u64 = 6_000;
/// What a rival waits beyond the term, and a holder stops before its end, for clocks that run at
/// different rates (a thousandth of the term is ten times what a quartz clock drifts).
pub const MARGIN_MS: u64 = 500;
/// How often a holder renews.
pub const RENEW_MS: u64 = 2_000;

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
pub struct Seen {
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

#[derive(Clone, Debug)]
struct Holding {
    version: u64,
    epoch: Epoch,
    /// When the write that began or renewed the term was sent.
    from_ms: u64,
}

#[derive(Clone, Debug)]
struct Standing {
    seen: Seen,
    since_ms: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    write: Write,
    sent_ms: u64,
}

/// One daemon's part in the contest for one lease.
#[derive(Clone, Debug)]
pub struct Contender {
    name: CompactString,
    boot: u64,
    nonce: u64,
    holding: Option<Holding>,
    standing: Option<Standing>,
    pending: Option<Pending>,
    next_read_ms: u64,
    releasing: bool,
}

/// How often a rival reads the record.
const READ_MS: u64 = 2_000;

impl Contender {
    /// A daemon that has just started, with a number of this start of its own.
    #[must_use]
    pub fn new(name: CompactString, boot: u64) -> Self {
        Self {
            name,
            boot,
            nonce: 0,
            holding: None,
            standing: None,
            pending: None,
            next_read_ms: 0,
            releasing: false,
        }
    }

    /// The fencing number, while the term surely runs.
    ///
    /// To be asked right before each act under the lease: a process that was frozen past its term
    /// and woken gets `None` here, on its own clock, before it can act.
    #[must_use]
    pub fn epoch(&self, now_ms: u64) -> Option<Epoch> {
        let holding = self.holding.as_ref().filter(|_| !self.releasing)?;
        (now_ms < holding.from_ms + TERM_MS - MARGIN_MS).then_some(holding.epoch)
    }

    /// The fencing number if at least `left_ms` of the term are left.
    #[must_use]
    pub fn epoch_for(&self, now_ms: u64, left_ms: u64) -> Option<Epoch> {
        self.epoch(now_ms + left_ms)
    }

    /// Whether only stepping on settles something: a write's outcome is open, or a term runs that
    /// has to be renewed or given back.
    #[must_use]
    pub fn is_engaged(&self) -> bool {
        self.pending.is_some() || self.holding.is_some()
    }

    /// What to do now for one who does not contend but may have to soon: read from time to time.
    ///
    /// Who sees a record for the first time has to wait for its whole term. Who has watched it
    /// stand takes over as soon as the term is over.
    pub fn step_aside(&mut self, now_ms: u64) -> Step {
        self.read_when_due(now_ms)
    }

    /// Who holds the lease, as last seen.
    #[must_use]
    pub fn holder(&self) -> Option<&Record> {
        self.standing.as_ref()?.seen.record.as_ref()
    }

    /// What to do now.
    pub fn step(&mut self, now_ms: u64) -> Step {
        if self.pending.is_some() {
            // The outcome of a write is open: only reading settles it.
            return self.read_when_due(now_ms);
        }
        if let Some(holding) = self.holding.clone() {
            return self.hold(&holding, now_ms);
        }
        let Some(standing) = self.standing.clone() else {
            return self.read_when_due(now_ms);
        };
        let free_at_ms = standing.since_ms
            + standing.seen.record.as_ref().map_or(0, |record| {
                // A term of zero length was given back by its holder.
                if record.term_ms == 0 { 0 } else { record.term_ms + MARGIN_MS }
            });
        if self.releasing || now_ms < free_at_ms {
            return self.read_when_due(now_ms);
        }
        let epoch =
            standing.seen.record.as_ref().map_or(Epoch(1), |record| Epoch(record.epoch.0 + 1));
        self.write(standing.seen.version, epoch, TERM_MS, now_ms)
    }

    /// The store answered a write.
    pub fn written(&mut self, version: u64, now_ms: u64) {
        if let Some(pending) = self.pending.take() {
            self.won(pending, version, now_ms);
        }
    }

    /// The store refused a write: another came first.
    pub fn refused(&mut self, now_ms: u64) {
        self.pending = None;
        self.holding = None;
        // What was known of the record is old. Kept, it would look free for ever, and every step
        // would write on the old version again and be refused again, without ever reading.
        self.standing = None;
        self.next_read_ms = now_ms;
    }

    /// A write got no answer.
    pub fn no_answer(&mut self, now_ms: u64) {
        self.next_read_ms = now_ms;
    }

    /// The record was read; the read was sent at `sent_ms`.
    pub fn read(&mut self, seen: Seen, sent_ms: u64, now_ms: u64) {
        self.next_read_ms = now_ms + READ_MS;
        if self.older_than_known(&seen) {
            return;
        }
        if let Some(pending) = self.pending.take() {
            let mine = seen.record.as_ref() == Some(&pending.write.record);
            if mine {
                self.won(pending, seen.version, now_ms);
                return;
            }
            if sent_ms < pending.sent_ms || seen.version == pending.write.if_version {
                // The write may still be under way and take effect after this read. It is kept as
                // pending until another version shows that it cannot any more, or until the term
                // it asked for is over; then a new write on the same version settles it.
                if now_ms < pending.sent_ms + TERM_MS {
                    self.pending = Some(pending);
                    return;
                }
            }
        }
        let known = self.holding.as_ref().map(|holding| holding.version);
        if known.is_some_and(|version| version != seen.version) {
            self.holding = None;
        }
        let unchanged =
            self.standing.as_ref().is_some_and(|standing| standing.seen.version == seen.version);
        if !unchanged {
            // The standing of a version is counted from after it was seen: the holder may have
            // written it just before.
            self.standing = Some(Standing { seen, since_ms: now_ms });
        }
    }

    /// Gives the lease back on a planned stop: a term of no length follows.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    fn older_than_known(&self, seen: &Seen) -> bool {
        // A lagging read shows a version that has been replaced. Taking it would restart the
        // count on a record that no longer stands.
        let known = self.standing.as_ref().map_or(0, |standing| standing.seen.version);
        seen.version < known
    }

    fn hold(&mut self, holding: &Holding, now_ms: u64) -> Step {
        if now_ms >= holding.from_ms + TERM_MS - MARGIN_MS {
            self.holding = None;
            return self.read_when_due(now_ms);
        }
        if self.releasing {
            return self.write(holding.version, holding.epoch, 0, now_ms);
        }
        if now_ms >= holding.from_ms + RENEW_MS {
            return self.write(holding.version, holding.epoch, TERM_MS, now_ms);
        }
        Step::WaitUntil(holding.from_ms + RENEW_MS)
    }

    fn write(&mut self, if_version: u64, epoch: Epoch, term_ms: u64, now_ms: u64) -> Step {
        self.nonce += 1;
        let record = Record {
            holder: self.name.clone(),
            boot: self.boot,
            epoch,
            term_ms,
            nonce: self.nonce,
        };
        let write = Write { if_version, record };
        self.pending = Some(Pending { write: write.clone(), sent_ms: now_ms });
        Step::Write(write)
    }

    fn won(&mut self, pending: Pending, version: u64, now_ms: u64) {
        let record = pending.write.record;
        let is_term = record.term_ms > 0;
        self.holding =
            is_term.then_some(Holding { version, epoch: record.epoch, from_ms: pending.sent_ms });
        let seen = Seen { version, record: Some(record) };
        self.standing = Some(Standing { seen, since_ms: now_ms });
    }

    fn read_when_due(&mut self, now_ms: u64) -> Step {
        if now_ms >= self.next_read_ms {
            self.next_read_ms = now_ms + READ_MS;
            return Step::Read;
        }
        Step::WaitUntil(self.next_read_ms)
    }
}
