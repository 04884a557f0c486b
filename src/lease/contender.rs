//! One daemon's part in the contest for a lease.
//!
//! A contender holds, watches another's term, or has a write whose outcome is open; in each of these
//! it says what to do next and takes what came of it.

use compact_str::CompactString;

use super::{Epoch, Record, Step, TermNotice, Timing, VersionedRecord, Write};

#[derive(Clone, Debug)]
struct Holding {
    version: u64,
    epoch: Epoch,
    /// When the write that began or renewed the term was sent.
    from_ms: u64,
}

#[derive(Clone, Debug)]
struct Standing {
    seen: VersionedRecord,
    /// When it may be replaced.
    free_at_ms: u64,
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
    terms: Timing,
    /// No other live process can have this name.
    is_sole: bool,
    nonce: u64,
    holding: Option<Holding>,
    standing: Option<Standing>,
    /// Writes on the same version whose outcome is open. The store takes one of them at most.
    pending: Vec<Pending>,
    /// None of the pending writes had taken effect when the record was last read.
    may_write_again: bool,
    next_read_ms: u64,
    releasing: bool,
    /// The last term held here, by version.
    last_held: Option<(u64, Epoch)>,
    /// When this daemon last acted under the lease.
    acted_ms: Option<u64>,
    /// A start that has said that it never acts in this epoch or an older one again.
    over: Option<(u64, Epoch)>,
}

impl Contender {
    /// A daemon that has just started, with a number of this start of its own.
    #[must_use]
    pub fn new(name: CompactString, boot: u64, terms: Timing) -> Self {
        Self {
            name,
            boot,
            terms,
            is_sole: false,
            nonce: 0,
            holding: None,
            standing: None,
            pending: Vec::new(),
            may_write_again: false,
            next_read_ms: 0,
            releasing: false,
            last_held: None,
            acted_ms: None,
            over: None,
        }
    }

    /// The same, under a name that holds an address which this process has bound. A record of an
    /// earlier start under this name is of a process that has ended, and need not be waited for: when
    /// all entries are killed at once, the duties are done again a term earlier.
    #[must_use]
    pub fn with_exclusive_name(name: CompactString, boot: u64, terms: Timing) -> Self {
        Self { is_sole: true, ..Self::new(name, boot, terms) }
    }

    /// The fencing number, while the term surely runs.
    ///
    /// To be asked right before each act under the lease: a process that was frozen past its term
    /// and woken gets `None` here, on its own clock, before it can act.
    #[must_use]
    pub fn epoch(&self, now_ms: u64) -> Option<Epoch> {
        let holding = self.holding.as_ref().filter(|_| !self.releasing)?;
        (now_ms < self.end_ms(holding)).then_some(holding.epoch)
    }

    /// The fencing number if at least `left_ms` of the term are left.
    #[must_use]
    pub fn epoch_with_remaining(&self, now_ms: u64, left_ms: u64) -> Option<Epoch> {
        self.epoch(now_ms + left_ms)
    }

    /// Whether only stepping on settles something: a write's outcome is open, or a term runs that
    /// has to be renewed or given back.
    #[must_use]
    pub fn must_step(&self) -> bool {
        !self.pending.is_empty() || self.holding.is_some()
    }

    /// What to do now for one who does not contend but may have to soon: read from time to time.
    ///
    /// Who sees a record for the first time has to wait for its whole term. Who has watched it
    /// stand takes over as soon as the term is over.
    pub fn step_passive(&mut self, now_ms: u64) -> Step {
        self.read_when_due(now_ms)
    }

    /// Who holds the lease, as last seen.
    #[must_use]
    pub fn holder(&self) -> Option<&Record> {
        self.standing.as_ref()?.seen.record.as_ref()
    }

    /// What to do now.
    pub fn step(&mut self, now_ms: u64) -> Step {
        if let Some(last) = self.pending.last().map(|pending| pending.write.clone()) {
            return self.settle(&last, now_ms);
        }
        if let Some(holding) = self.holding.clone() {
            return self.hold(&holding, now_ms);
        }
        let Some(standing) = self.standing.clone() else {
            return self.read_when_due(now_ms);
        };
        if self.releasing || now_ms < standing.free_at_ms {
            return self.read_when_due(now_ms);
        }
        let epoch = standing.seen.record.map_or(Epoch(1), |record| Epoch(record.epoch.0 + 1));
        self.write(standing.seen.version, epoch, self.terms.term_ms, now_ms)
    }

    /// When a record that was seen for the first time now may be replaced.
    fn free_at_ms(&self, record: Option<&Record>, now_ms: u64) -> u64 {
        let Some(record) = record else {
            return now_ms;
        };
        let is_given_back = record.term_ms == 0;
        let is_former_self = self.is_sole && record.holder == self.name && record.boot != self.boot;
        if is_given_back || is_former_self || self.is_over(record) {
            return now_ms;
        }
        now_ms + record.term_ms + self.terms.margin_ms
    }

    fn is_over(&self, record: &Record) -> bool {
        self.over.is_some_and(|(boot, epoch)| record.boot == boot && record.epoch <= epoch)
    }

    /// Notes an act under the lease.
    pub fn record_action(&mut self, now_ms: u64) {
        self.acted_ms = Some(now_ms);
    }

    /// What to tell rivals of a term held here.
    #[must_use]
    pub fn notice(&self, now_ms: u64) -> Option<TermNotice> {
        let (version, epoch) = self.last_held?;
        let left_ms =
            self.holding.as_ref().map_or(0, |one| self.end_ms(one).saturating_sub(now_ms));
        let is_over = self.releasing;
        let is_telling = is_over || self.holding.is_some();
        let idle_ms = self.acted_ms.map_or(u64::MAX, |acted_ms| now_ms.saturating_sub(acted_ms));
        is_telling.then_some(TermNotice {
            version,
            boot: self.boot,
            epoch,
            left_ms,
            idle_ms,
            is_over,
        })
    }

    /// Takes what a holder has told of its term.
    pub fn receive_notice(&mut self, told: TermNotice, now_ms: u64) {
        if told.boot == self.boot {
            return;
        }
        if told.is_over {
            self.over = Some((told.boot, told.epoch));
        }
        if self.must_step() {
            return;
        }
        let record = Record {
            holder: CompactString::default(),
            boot: told.boot,
            epoch: told.epoch,
            term_ms: if told.is_over { 0 } else { told.left_ms },
            nonce: 0,
        };
        let mut free_at_ms = now_ms + told.left_ms + self.terms.margin_ms;
        if told.is_over {
            free_at_ms = now_ms;
        }
        if let Some(standing) = &self.standing {
            if told.version < standing.seen.version {
                return;
            }
            if told.version == standing.seen.version {
                free_at_ms = free_at_ms.min(standing.free_at_ms);
            }
        }
        let seen = VersionedRecord { version: told.version, record: Some(record) };
        self.standing = Some(Standing { seen, free_at_ms });
        self.next_read_ms = now_ms + self.terms.read_ms;
    }

    /// The outcome of the last write is open: reading settles it, or another write on the same
    /// version. Waited for instead, a write that was lost with the store's outage would leave nobody
    /// in charge for a term after the store's return.
    fn settle(&mut self, last: &Write, now_ms: u64) -> Step {
        let is_wanted = !self.releasing || last.record.term_ms == 0;
        if self.may_write_again && is_wanted {
            return self.write(last.if_version, last.record.epoch, last.record.term_ms, now_ms);
        }
        self.read_when_due(now_ms)
    }

    /// The store answered the last write.
    pub fn written(&mut self, version: u64, now_ms: u64) {
        if let Some(pending) = self.pending.pop() {
            self.won(pending, version, now_ms);
        }
    }

    /// The store refused the last write: another came first, maybe an earlier one of these.
    pub fn refused(&mut self, now_ms: u64) {
        self.holding = None;
        // What was known of the record is old. Kept, it would look free for ever, and every step
        // would write on the old version again and be refused again, without ever reading.
        self.standing = None;
        self.next_read_ms = now_ms;
    }

    /// The last write got no answer.
    pub fn no_answer(&mut self, now_ms: u64) {
        self.next_read_ms = now_ms;
    }

    /// The record was read; the read was sent at `sent_ms`.
    pub fn read(&mut self, seen: VersionedRecord, sent_ms: u64, now_ms: u64) {
        self.next_read_ms = now_ms + self.terms.read_ms;
        if self.older_than_known(&seen) {
            return;
        }
        let mine =
            self.pending.iter().position(|one| seen.record.as_ref() == Some(&one.write.record));
        if let Some(mine) = mine {
            let pending = self.pending.swap_remove(mine);
            self.won(pending, seen.version, now_ms);
            return;
        }
        if let Some(last) = self.pending.last() {
            if sent_ms < last.sent_ms || seen.version == last.write.if_version {
                // A write may still be under way and take effect after this read.
                self.may_write_again = sent_ms >= last.sent_ms;
                return;
            }
            // Another version stands, so none of them can take effect any more.
            self.pending.clear();
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
            let free_at_ms = self.free_at_ms(seen.record.as_ref(), now_ms);
            self.standing = Some(Standing { seen, free_at_ms });
        }
    }

    /// Gives the lease back on a planned stop: a term of no length follows.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    fn older_than_known(&self, seen: &VersionedRecord) -> bool {
        // A lagging read shows a version that has been replaced. Taking it would restart the
        // count on a record that no longer stands.
        let standing = self.standing.as_ref().map(|standing| standing.seen.version);
        let written_on = self.pending.last().map(|pending| pending.write.if_version);
        Some(seen.version) < standing.max(written_on)
    }

    fn end_ms(&self, holding: &Holding) -> u64 {
        holding.from_ms + self.terms.term_ms - self.terms.margin_ms
    }

    fn hold(&mut self, holding: &Holding, now_ms: u64) -> Step {
        if now_ms >= self.end_ms(holding) {
            self.holding = None;
            return self.read_when_due(now_ms);
        }
        if self.releasing {
            return self.write(holding.version, holding.epoch, 0, now_ms);
        }
        let renew_at_ms = holding.from_ms + self.terms.renew_ms;
        if now_ms >= renew_at_ms {
            return self.write(holding.version, holding.epoch, self.terms.term_ms, now_ms);
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
        self.pending.push(Pending { write: write.clone(), sent_ms: now_ms });
        Step::Write(write)
    }

    fn won(&mut self, pending: Pending, version: u64, now_ms: u64) {
        // All were on the same version, so no other can take effect any more.
        self.pending.clear();
        let record = pending.write.record;
        let is_term = record.term_ms > 0;
        self.holding =
            is_term.then_some(Holding { version, epoch: record.epoch, from_ms: pending.sent_ms });
        self.last_held = Some((version, record.epoch));
        let free_at_ms = self.free_at_ms(Some(&record), now_ms);
        self.standing =
            Some(Standing { seen: VersionedRecord { version, record: Some(record) }, free_at_ms });
    }

    fn read_when_due(&mut self, now_ms: u64) -> Step {
        if now_ms >= self.next_read_ms {
            let is_settling = !self.pending.is_empty();
            let pause_ms = if is_settling { self.terms.settle_ms } else { self.terms.read_ms };
            self.next_read_ms = now_ms + pause_ms;
            return Step::Read;
        }
        Step::WaitUntil(self.next_read_ms)
    }
}
