//! The lease of the duties passes on without a gap.

use briarwinch::lease::{Contender, Record, Step, TIMING, TermNotice, VersionedRecord};

fn holding(name: &str, now_ms: u64) -> (Contender, Record) {
    let mut contender = Contender::new(name.into(), 1, TIMING);
    contender.read(VersionedRecord { version: 0, record: None }, now_ms, now_ms);
    let Step::Write(write) = contender.step(now_ms) else {
        panic!("a free lease is taken");
    };
    contender.written(5, now_ms);
    (contender, write.record)
}

/// An entry that stops has to give the lease back. One that no longer steps its contest because it
/// acts under the lease no more never does, and for a whole term nobody reports usage.
#[test]
fn a_stopping_holder_is_engaged_until_the_lease_is_given_back() {
    let (mut contender, _) = holding("one", 1_000);
    contender.release();
    assert!(contender.epoch(1_100).is_none(), "no act under a lease that is being given back");
    assert!(contender.must_step());
    let Step::Write(write) = contender.step(1_100) else {
        panic!("the lease is given back");
    };
    assert_eq!(write.record.term_ms, 0);
    contender.written(6, 1_101);
    assert!(!contender.must_step());
}

/// Who sees a record for the first time waits for its whole term. Entries next in line read it
/// beforehand, else a dead holder's windows are reported later than they are due.
#[test]
fn an_entry_that_stood_by_takes_over_as_soon_as_the_term_is_over() {
    let (_, record) = holding("one", 0);
    let mut next = Contender::new("two".into(), 2, TIMING);
    assert_eq!(next.step_passive(100), Step::Read);
    next.read(VersionedRecord { version: 5, record: Some(record) }, 100, 101);
    assert!(!matches!(next.step_passive(200), Step::Read), "it reads from time to time");
    let free_ms = 101 + TIMING.term_ms + TIMING.margin_ms;
    assert!(!matches!(next.step(free_ms - 1), Step::Write(_)));
    assert!(matches!(next.step(free_ms), Step::Write(_)));
}

fn taking_over(from: &Record) -> (Contender, Record, u64) {
    let mut next = Contender::new("two".into(), 2, TIMING);
    next.read(VersionedRecord { version: 5, record: Some(from.clone()) }, 100, 101);
    let now_ms = 101 + TIMING.term_ms + TIMING.margin_ms;
    let Step::Write(write) = next.step(now_ms) else {
        panic!("the term is over");
    };
    (next, write.record, now_ms)
}

/// The store is away and a takeover gets no answer. An entry that waited for a whole term to see
/// whether the write still takes effect would leave nobody in charge long after the store is back,
/// and the windows due meanwhile are reported late.
#[test]
fn a_takeover_without_an_answer_is_tried_again_as_soon_as_the_store_answers() {
    let (_, record) = holding("one", 0);
    let (mut next, first, now_ms) = taking_over(&record);
    next.no_answer(now_ms + 1_200);
    assert_eq!(next.step(now_ms + 1_200), Step::Read);
    next.read(VersionedRecord { version: 5, record: Some(record) }, now_ms + 1_200, now_ms + 1_201);
    let Step::Write(again) = next.step(now_ms + 1_201) else {
        panic!("it tries again");
    };
    assert_eq!(again.if_version, 5, "the store takes one of both at most");
    assert_eq!(again.record.epoch, first.epoch);
    next.written(6, now_ms + 1_205);
    assert_eq!(next.epoch(now_ms + 1_206), Some(first.epoch));
}

/// The first write was done late, so the second is refused: by this entry's own record. Taken for a
/// rival's, its term would be waited for in vain.
#[test]
fn a_late_takeover_of_ones_own_is_known_again() {
    let (_, record) = holding("one", 0);
    let (mut next, first, now_ms) = taking_over(&record);
    next.no_answer(now_ms + 1_200);
    next.read(VersionedRecord { version: 5, record: Some(record) }, now_ms + 1_200, now_ms + 1_201);
    assert!(matches!(next.step(now_ms + 1_201), Step::Write(_)));
    next.refused(now_ms + 1_210);
    assert_eq!(next.step(now_ms + 1_210), Step::Read);
    let epoch = first.epoch;
    next.read(VersionedRecord { version: 6, record: Some(first) }, now_ms + 1_210, now_ms + 1_211);
    assert_eq!(next.epoch(now_ms + 1_212), Some(epoch));
    let end_ms = now_ms + TIMING.term_ms - TIMING.margin_ms;
    assert_eq!(next.epoch(end_ms), None, "its term counts from the write that took effect");
}

/// All entries are killed at once and start again. The lease names one of them; waiting for the term
/// of its former self, nobody reports usage for a term although nobody else can hold it.
#[test]
fn an_entry_that_starts_again_takes_its_former_lease_at_once() {
    let (_, record) = holding("one@127.0.0.1:80", 0);
    let mut again = Contender::with_exclusive_name("one@127.0.0.1:80".into(), 9, TIMING);
    again.read(VersionedRecord { version: 5, record: Some(record.clone()) }, 700, 701);
    let Step::Write(write) = again.step(701) else {
        panic!("its former self has ended");
    };
    assert!(write.record.epoch > record.epoch, "what the former self sent is older");
    let mut other = Contender::with_exclusive_name("two@127.0.0.2:80".into(), 9, TIMING);
    other.read(VersionedRecord { version: 5, record: Some(record) }, 700, 701);
    assert!(!matches!(other.step(701), Step::Write(_)), "another's term is waited for");
}

/// A holder stops while the store is away, so its lease cannot be given back there. Rivals that do
/// not hear of it wait for its term although nobody is in charge.
#[test]
fn a_stopping_holder_tells_its_rivals_that_its_term_is_over() {
    let (mut holder, _) = holding("one", 1_000);
    let mut rival = Contender::new("two".into(), 2, TIMING);
    let told = holder.notice(1_100).expect("it holds the lease");
    assert!(!told.is_over && told.left_ms > 0);
    rival.receive_notice(told, 1_150);
    assert!(!matches!(rival.step(1_150), Step::Write(_)));
    holder.release();
    let told = holder.notice(1_200).expect("it has held the lease");
    assert!(told.is_over);
    rival.receive_notice(told, 1_250);
    let Step::Write(write) = rival.step(1_250) else {
        panic!("nobody is in charge");
    };
    assert_eq!(write.if_version, told.version);
    assert!(write.record.epoch > told.epoch);
}

/// The holder dies. A rival that was told when its term ends takes over then, without having read the
/// record before; one that begins to count when it first reads it comes a term later.
#[test]
fn a_rival_that_was_told_takes_over_when_the_term_ends() {
    let (holder, _) = holding("one", 1_000);
    let mut rival = Contender::new("two".into(), 2, TIMING);
    rival.receive_notice(holder.notice(1_300).expect("it holds the lease"), 1_400);
    let end_ms = 1_000 + TIMING.term_ms - TIMING.margin_ms;
    let free_ms = end_ms + 100 + TIMING.margin_ms;
    assert!(!matches!(rival.step(free_ms - 1), Step::Write(_)));
    assert!(matches!(rival.step(free_ms), Step::Write(_)));
}

/// Messages come late and out of order. One about an older term must not make a newer one look over.
#[test]
fn what_is_told_of_an_older_term_changes_nothing() {
    let told = TermNotice {
        version: 9,
        boot: 1,
        epoch: briarwinch::lease::Epoch(3),
        left_ms: 2_000,
        idle_ms: 0,
        is_over: false,
    };
    let mut rival = Contender::new("two".into(), 2, TIMING);
    rival.receive_notice(told, 100);
    let older = TermNotice {
        version: 8,
        boot: 4,
        epoch: briarwinch::lease::Epoch(2),
        left_ms: 0,
        idle_ms: 0,
        is_over: true,
    };
    rival.receive_notice(older, 200);
    assert!(!matches!(rival.step(2_000), Step::Write(_)));
}
