//! The state machine of one daemon that competes for a lease.
//!
//! A contender holds the lease, watches the term of another holder, or waits for the outcome of a write.
//! In each state it returns the next step and takes its result.

use compact_str::CompactString;

use super::{Epoch, Record, Step, TermNotice, Timing, VersionedRecord, Write};
use crate::store::Era;

/// The term held by this daemon.
#[derive(Clone, Debug)]
struct Holding {
    version: u64,
    epoch: Epoch,
    /// Time at which the write that began or renewed the term was sent.
    start_ms: u64,
}

/// The newest known record.
#[derive(Clone, Debug)]
struct KnownRecord {
    seen: VersionedRecord,
    /// Time from which the record may be replaced.
    free_at_ms: u64,
}

/// A write whose outcome is not known yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    write: Write,
    sent_ms: u64,
}

/// One daemon that competes for one lease.
#[derive(Clone, Debug)]
pub struct Contender {
    name: CompactString,
    boot: u64,
    timing: Timing,
    /// Set if no other running process can have this name.
    has_exclusive_name: bool,
    nonce: u64,
    holding: Option<Holding>,
    known_record: Option<KnownRecord>,
    /// Unresolved writes that replace the same version; the store accepts at most one of them.
    pending: Vec<PendingWrite>,
    /// Set if no pending write had taken effect when the record was last read.
    may_write_again: bool,
    next_read_ms: u64,
    releasing: bool,
    /// Record version and epoch of the last term held by this daemon.
    last_held: Option<(u64, Epoch)>,
    /// Time at which this daemon last acted under the lease.
    acted_ms: Option<u64>,
    /// Boot number and epoch of a holder that will not act again in that epoch or an older one.
    ended_by_notice: Option<(u64, Epoch)>,
    /// The newest known era of the store.
    era: Era,
    /// Whether an older era was known before.
    has_changed_era: bool,
    /// End of the term that this daemon held when it learned of the present era. Until then no other daemon acts.
    carried_term_end_ms: Option<u64>,
    /// Token of a term that this daemon began while its carried term would still have run.
    continued_epoch: Option<Epoch>,
}

impl Contender {
    /// Creates a contender for a daemon that has just started; `boot` identifies this start.
    #[must_use]
    pub fn new(name: CompactString, boot: u64, timing: Timing) -> Self {
        Self {
            name,
            boot,
            timing,
            has_exclusive_name: false,
            nonce: 0,
            holding: None,
            known_record: None,
            pending: Vec::new(),
            may_write_again: false,
            next_read_ms: 0,
            releasing: false,
            last_held: None,
            acted_ms: None,
            ended_by_notice: None,
            era: Era::default(),
            has_changed_era: false,
            carried_term_end_ms: None,
            continued_epoch: None,
        }
    }

    /// Creates a contender whose name contains an address that this process has bound. A record of an
    /// earlier start under this name then belongs to a process that has ended, so it is replaced without
    /// waiting. After all entries are killed at the same time, the duties resume one term earlier.
    #[must_use]
    pub fn with_exclusive_name(name: CompactString, boot: u64, timing: Timing) -> Self {
        Self { has_exclusive_name: true, ..Self::new(name, boot, timing) }
    }

    /// Returns the fencing token while the term is guaranteed to be valid.
    ///
    /// Must be called right before each action under the lease: a process that was frozen until after the
    /// end of its term gets `None`, by its own clock, before it can act.
    #[must_use]
    pub fn epoch(&self, now_ms: u64) -> Option<Epoch> {
        let holding = self.holding.as_ref().filter(|_| !self.releasing)?;
        (now_ms < self.end_ms(holding)).then_some(holding.epoch)
    }

    /// Returns the fencing token if at least `left_ms` of the term remain.
    #[must_use]
    pub fn epoch_with_remaining(&self, now_ms: u64, left_ms: u64) -> Option<Epoch> {
        self.epoch(now_ms + left_ms)
    }

    /// Returns whether the present term follows a term of this daemon in an older era of the store, without one of
    /// another daemon in between.
    #[must_use]
    pub fn is_continued(&self) -> bool {
        self.holding.as_ref().is_some_and(|holding| self.continued_epoch == Some(holding.epoch))
    }

    /// Learns the store's era. In a newer one than the known one, nothing that was read or written before is valid,
    /// and the present term ends.
    pub fn enter_era(&mut self, era: Era, now_ms: u64) {
        if era <= self.era {
            return;
        }
        let held = self.holding.take().map(|holding| self.end_ms(&holding));
        let carried = held.max(self.carried_term_end_ms).filter(|end_ms| now_ms < *end_ms);
        self.carried_term_end_ms = carried;
        self.has_changed_era = self.era > Era::default();
        self.era = era;
        self.known_record = None;
        self.pending.clear();
        self.may_write_again = false;
        self.next_read_ms = now_ms;
    }

    /// Returns whether [`Self::step`] has to be called: a write is unresolved, or a term has to be renewed or
    /// released.
    #[must_use]
    pub fn must_step(&self) -> bool {
        !self.pending.is_empty() || self.holding.is_some()
    }

    /// Returns the next step of a standby, which reads the record periodically but does not write.
    ///
    /// A contender that sees a record for the first time has to wait for its whole term. A standby that has
    /// watched the record takes over as soon as the term ends.
    pub fn step_passive(&mut self, now_ms: u64) -> Step {
        self.read_when_due(now_ms)
    }

    /// Returns the newest known record, which names the holder.
    #[must_use]
    pub fn holder(&self) -> Option<&Record> {
        self.known_record.as_ref()?.seen.record.as_ref()
    }

    /// Returns the next step.
    pub fn step(&mut self, now_ms: u64) -> Step {
        if let Some(last) = self.pending.last().map(|pending| pending.write.clone()) {
            return self.resolve_pending(&last, now_ms);
        }
        if let Some(holding) = self.holding.clone() {
            return self.hold(&holding, now_ms);
        }
        let Some(known) = self.known_record.clone() else {
            return self.read_when_due(now_ms);
        };
        if self.releasing || now_ms < known.free_at_ms {
            return self.read_when_due(now_ms);
        }
        let is_continued = self.predates_era(&known.seen) && self.has_carried_term(now_ms);
        let epoch = next_epoch(&known.seen);
        self.continued_epoch = is_continued.then_some(epoch);
        self.write(known.seen.version, epoch, self.timing.term_ms, now_ms)
    }

    /// Returns whether the record was written in an older era, so that a later one may have been lost.
    fn predates_era(&self, seen: &VersionedRecord) -> bool {
        match &seen.record {
            Some(record) => record.epoch.era() < Era::of(seen.version),
            None => self.has_changed_era,
        }
    }

    /// Returns whether the term that this daemon held when it learned of the present era would still run.
    fn has_carried_term(&self, now_ms: u64) -> bool {
        self.carried_term_end_ms.is_some_and(|end_ms| now_ms < end_ms)
    }

    /// Returns the time from which a record first seen now may be replaced.
    fn free_at_ms(&self, seen: &VersionedRecord, now_ms: u64) -> u64 {
        if self.predates_era(seen) {
            let is_last_holder = self.has_carried_term(now_ms);
            let term_ms = seen.record.as_ref().map_or(0, |record| record.term_ms);
            let wait_ms = term_ms.max(self.timing.term_ms) + self.timing.margin_ms;
            return if is_last_holder { now_ms } else { now_ms + wait_ms };
        }
        let Some(record) = &seen.record else {
            return now_ms;
        };
        let is_released = record.term_ms == 0;
        let is_own_earlier_start =
            self.has_exclusive_name && record.holder == self.name && record.boot != self.boot;
        if is_released || is_own_earlier_start || self.has_ended(record) {
            return now_ms;
        }
        now_ms + record.term_ms + self.timing.margin_ms
    }

    /// Returns whether a notice has ended the term of this record.
    fn has_ended(&self, record: &Record) -> bool {
        self.ended_by_notice
            .is_some_and(|(boot, epoch)| record.boot == boot && record.epoch <= epoch)
    }

    /// Records an action under the lease.
    pub fn record_action(&mut self, now_ms: u64) {
        self.acted_ms = Some(now_ms);
    }

    /// Returns the notice to send to other contenders about a term held by this daemon.
    #[must_use]
    pub fn notice(&self, now_ms: u64) -> Option<TermNotice> {
        let (version, epoch) = self.last_held?;
        let left_ms =
            self.holding.as_ref().map_or(0, |holding| self.end_ms(holding).saturating_sub(now_ms));
        let is_over = self.releasing;
        let has_notice = is_over || self.holding.is_some();
        let idle_ms = self.acted_ms.map_or(u64::MAX, |acted_ms| now_ms.saturating_sub(acted_ms));
        has_notice.then_some(TermNotice {
            version,
            boot: self.boot,
            epoch,
            left_ms,
            idle_ms,
            is_over,
        })
    }

    /// Processes a holder's notice about its term.
    pub fn receive_notice(&mut self, notice: TermNotice, now_ms: u64) {
        if notice.boot == self.boot {
            return;
        }
        if notice.is_over {
            self.ended_by_notice = Some((notice.boot, notice.epoch));
        }
        if self.must_step() || Era::of(notice.version) < self.era {
            return;
        }
        self.enter_era(Era::of(notice.version), now_ms);
        let record = Record {
            holder: CompactString::default(),
            boot: notice.boot,
            epoch: notice.epoch,
            term_ms: if notice.is_over { 0 } else { notice.left_ms },
            nonce: 0,
        };
        let mut free_at_ms = now_ms + notice.left_ms + self.timing.margin_ms;
        if notice.is_over {
            free_at_ms = now_ms;
        }
        if let Some(known) = &self.known_record {
            if notice.version < known.seen.version {
                return;
            }
            if notice.version == known.seen.version {
                free_at_ms = free_at_ms.min(known.free_at_ms);
            }
        }
        let seen = VersionedRecord { version: notice.version, record: Some(record) };
        self.known_record = Some(KnownRecord { seen, free_at_ms });
        self.next_read_ms = now_ms + self.timing.read_ms;
    }

    /// Resolves the last write by reading the record or by writing again to the same version. If the
    /// contender only waited, a write lost in an outage of the store would leave the lease without a holder
    /// for one term after the outage.
    fn resolve_pending(&mut self, last: &Write, now_ms: u64) -> Step {
        let is_wanted = !self.releasing || last.record.term_ms == 0;
        if self.may_write_again && is_wanted {
            return self.write(last.if_version, last.record.epoch, last.record.term_ms, now_ms);
        }
        self.read_when_due(now_ms)
    }

    /// Records that the store accepted the last write.
    pub fn written(&mut self, version: u64, now_ms: u64) {
        // In another era the token of the write may have been given out before.
        if Era::of(version) != self.era {
            self.enter_era(Era::of(version), now_ms);
            return;
        }
        if let Some(pending) = self.pending.pop() {
            self.apply_accepted(pending, version, now_ms);
        }
    }

    /// Records that the store refused the last write because another write came first, possibly an earlier
    /// pending one.
    pub fn refused(&mut self, now_ms: u64) {
        self.holding = None;
        // The known record is outdated. If it were kept, it would look free forever, and every step would
        // write to the old version and be refused without ever reading the record.
        self.known_record = None;
        self.next_read_ms = now_ms;
    }

    /// Records that the last write was not answered.
    pub fn no_answer(&mut self, now_ms: u64) {
        self.next_read_ms = now_ms;
    }

    /// Processes the result of a read that was sent at `sent_ms`.
    pub fn read(&mut self, seen: VersionedRecord, sent_ms: u64, now_ms: u64) {
        self.enter_era(Era::of(seen.version), now_ms);
        self.next_read_ms = now_ms + self.timing.read_ms;
        if self.is_stale(&seen) {
            return;
        }
        let own_write = self
            .pending
            .iter()
            .position(|pending| seen.record.as_ref() == Some(&pending.write.record));
        if let Some(own_write) = own_write {
            let pending = self.pending.swap_remove(own_write);
            self.apply_accepted(pending, seen.version, now_ms);
            return;
        }
        if let Some(last) = self.pending.last() {
            if sent_ms < last.sent_ms || seen.version == last.write.if_version {
                // A write may still be in flight and take effect after this read.
                self.may_write_again = sent_ms >= last.sent_ms;
                return;
            }
            // The version has changed, so no pending write can take effect any more.
            self.pending.clear();
        }
        let held_version = self.holding.as_ref().map(|holding| holding.version);
        if held_version.is_some_and(|version| version != seen.version) {
            self.holding = None;
        }
        let unchanged =
            self.known_record.as_ref().is_some_and(|known| known.seen.version == seen.version);
        if !unchanged {
            // The term of a version counts from when it was first seen: the holder may have written it
            // just before.
            let free_at_ms = self.free_at_ms(&seen, now_ms);
            self.known_record = Some(KnownRecord { seen, free_at_ms });
        }
    }

    /// Releases the lease on a planned stop by writing a term of zero length.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    fn is_stale(&self, seen: &VersionedRecord) -> bool {
        // A stale read shows a version that has been replaced. Accepting it would restart the wait for
        // a record that is no longer current.
        let known_version = self.known_record.as_ref().map(|known| known.seen.version);
        let replaced_version = self.pending.last().map(|pending| pending.write.if_version);
        Some(seen.version) < known_version.max(replaced_version)
    }

    /// Returns the time from which the holder no longer acts in its term.
    fn end_ms(&self, holding: &Holding) -> u64 {
        holding.start_ms + self.timing.term_ms - self.timing.margin_ms
    }

    fn hold(&mut self, holding: &Holding, now_ms: u64) -> Step {
        if now_ms >= self.end_ms(holding) {
            self.holding = None;
            return self.read_when_due(now_ms);
        }
        if self.releasing {
            return self.write(holding.version, holding.epoch, 0, now_ms);
        }
        let renew_at_ms = holding.start_ms + self.timing.renew_ms;
        if now_ms >= renew_at_ms {
            return self.write(holding.version, holding.epoch, self.timing.term_ms, now_ms);
        }
        Step::WaitUntil(renew_at_ms)
    }

    fn write(&mut self, if_version: u64, epoch: Epoch, term_ms: u64, now_ms: u64) -> Step {
        self.nonce += 1;
        self.may_write_again = false;
        let record = Record {
            holder: self.name.clone(),
            boot: self.boot,
            epoch,
            term_ms,
            nonce: self.nonce,
        };
        let write = Write { if_version, record };
        self.pending.push(PendingWrite { write: write.clone(), sent_ms: now_ms });
        Step::Write(write)
    }

    fn apply_accepted(&mut self, pending: PendingWrite, version: u64, now_ms: u64) {
        // All pending writes replace the same version, so no other can take effect any more.
        self.pending.clear();
        let record = pending.write.record;
        let is_term = record.term_ms > 0;
        self.holding =
            is_term.then_some(Holding { version, epoch: record.epoch, start_ms: pending.sent_ms });
        self.last_held = Some((version, record.epoch));
        let seen = VersionedRecord { version, record: Some(record) };
        let free_at_ms = self.free_at_ms(&seen, now_ms);
        self.known_record = Some(KnownRecord { seen, free_at_ms });
    }

    fn read_when_due(&mut self, now_ms: u64) -> Step {
        if now_ms >= self.next_read_ms {
            let is_resolving = !self.pending.is_empty();
            let pause_ms = if is_resolving { self.timing.settle_ms } else { self.timing.read_ms };
            self.next_read_ms = now_ms + pause_ms;
            return Step::Read;
        }
        Step::WaitUntil(self.next_read_ms)
    }
}

/// Returns the fencing token of a term that replaces this record.
fn next_epoch(replaced: &VersionedRecord) -> Epoch {
    let after_record = replaced.record.as_ref().map_or(1, |record| record.epoch.0 + 1);
    if Era::of(replaced.version) == Era::default() {
        return Epoch(after_record);
    }
    // The record may be an older copy, or overwritten by a late write of an older era. The replaced version is
    // above the tokens of all earlier terms all the same.
    Epoch(after_record.max(replaced.version + 1))
}
