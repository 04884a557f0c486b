//! Succession of the duties' lease: a new holder takes over without a gap, and never alongside the former
//! one.

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

/// A stopping entry must release the lease. If it stopped stepping as soon as it no longer acts under the
/// lease, it would never release it, and no entry would report usage for a whole term.
#[test]
fn a_stopping_holder_must_step_until_the_lease_is_released() {
    let (mut contender, _) = holding("one", 1_000);
    contender.release();
    assert!(contender.epoch(1_100).is_none(), "no act under a lease that is being released");
    assert!(contender.must_step());
    let Step::Write(write) = contender.step(1_100) else {
        panic!("the lease is released");
    };
    assert_eq!(write.record.term_ms, 0);
    contender.written(6, 1_101);
    assert!(!contender.must_step());
}

/// An entry that reads a lease record for the first time waits for a whole term. Standby entries must read
/// it beforehand, or a dead holder's windows are reported too late.
#[test]
fn a_standby_entry_takes_over_as_soon_as_the_term_is_over() {
    let (_, record) = holding("one", 0);
    let mut next = Contender::new("two".into(), 2, TIMING);
    assert_eq!(next.step_passive(100), Step::Read);
    next.read(VersionedRecord { version: 5, record: Some(record) }, 100, 101);
    assert!(!matches!(next.step_passive(200), Step::Read), "it reads only at intervals");
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

/// The store is unavailable and a takeover write gets no answer. If the entry waited a whole term to see
/// whether the write still takes effect, there would be no holder long after the store is back, and the
/// windows due in that time would be reported too late.
#[test]
fn an_unanswered_takeover_is_retried_as_soon_as_the_store_answers() {
    let (_, record) = holding("one", 0);
    let (mut next, first, now_ms) = taking_over(&record);
    next.no_answer(now_ms + 1_200);
    assert_eq!(next.step(now_ms + 1_200), Step::Read);
    next.read(VersionedRecord { version: 5, record: Some(record) }, now_ms + 1_200, now_ms + 1_201);
    let Step::Write(again) = next.step(now_ms + 1_201) else {
        panic!("it retries");
    };
    assert_eq!(again.if_version, 5, "the store accepts at most one of the two writes");
    assert_eq!(again.record.epoch, first.epoch);
    next.written(6, now_ms + 1_205);
    assert_eq!(next.epoch(now_ms + 1_206), Some(first.epoch));
}

/// The first write took effect late, so the second one conflicts with this entry's own record. If the entry
/// took it for another contender's, it would wait for the term needlessly.
#[test]
fn an_entry_recognizes_its_own_late_takeover() {
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

/// All entries are killed together and restart, and the lease names one of them. If that entry waited for the
/// term of its former process, no entry would report usage for a term, although no other can hold the lease.
#[test]
fn a_restarted_entry_takes_its_former_lease_at_once() {
    let (_, record) = holding("one@127.0.0.1:80", 0);
    let mut again = Contender::with_exclusive_name("one@127.0.0.1:80".into(), 9, TIMING);
    again.read(VersionedRecord { version: 5, record: Some(record.clone()) }, 700, 701);
    let Step::Write(write) = again.step(701) else {
        panic!("its former process has ended");
    };
    assert!(write.record.epoch > record.epoch, "calls of the former process have an older epoch");
    let mut other = Contender::with_exclusive_name("two@127.0.0.2:80".into(), 9, TIMING);
    other.read(VersionedRecord { version: 5, record: Some(record) }, 700, 701);
    assert!(!matches!(other.step(701), Step::Write(_)), "it waits for another entry's term");
}

/// A holder stops while the store is unavailable, so it cannot release its lease there. Contenders that are
/// not informed would wait for its term although there is no holder.
#[test]
fn a_stopping_holder_notifies_contenders_that_its_term_is_over() {
    let (mut holder, _) = holding("one", 1_000);
    let mut contender = Contender::new("two".into(), 2, TIMING);
    let notice = holder.notice(1_100).expect("it holds the lease");
    assert!(!notice.is_over && notice.left_ms > 0);
    contender.receive_notice(notice, 1_150);
    assert!(!matches!(contender.step(1_150), Step::Write(_)));
    holder.release();
    let notice = holder.notice(1_200).expect("it held the lease");
    assert!(notice.is_over);
    contender.receive_notice(notice, 1_250);
    let Step::Write(write) = contender.step(1_250) else {
        panic!("there is no holder");
    };
    assert_eq!(write.if_version, notice.version);
    assert!(write.record.epoch > notice.epoch);
}

/// The holder dies. A contender that was informed of the term's end takes over at that time without having
/// read the record. If it counted the term from its first read, it would take over a term later.
#[test]
fn an_informed_contender_takes_over_when_the_term_ends() {
    let (holder, _) = holding("one", 1_000);
    let mut contender = Contender::new("two".into(), 2, TIMING);
    contender.receive_notice(holder.notice(1_300).expect("it holds the lease"), 1_400);
    let end_ms = 1_000 + TIMING.term_ms - TIMING.margin_ms;
    let free_ms = end_ms + 100 + TIMING.margin_ms;
    assert!(!matches!(contender.step(free_ms - 1), Step::Write(_)));
    assert!(matches!(contender.step(free_ms), Step::Write(_)));
}

/// Messages arrive late and out of order. One about an older term must not end a newer one.
#[test]
fn notices_of_an_older_term_are_ignored() {
    let notice = TermNotice {
        version: 9,
        boot: 1,
        epoch: briarwinch::lease::Epoch(3),
        left_ms: 2_000,
        idle_ms: 0,
        is_over: false,
    };
    let mut contender = Contender::new("two".into(), 2, TIMING);
    contender.receive_notice(notice, 100);
    let older = TermNotice {
        version: 8,
        boot: 4,
        epoch: briarwinch::lease::Epoch(2),
        left_ms: 0,
        idle_ms: 0,
        is_over: true,
    };
    contender.receive_notice(older, 200);
    assert!(!matches!(contender.step(2_000), Step::Write(_)));
}
