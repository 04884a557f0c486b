//! The lease of the duties passes on without a gap.

use briarwinch::lease::{Contender, MARGIN_MS, Record, Seen, Step, TERM_MS};

fn holding(name: &str, now_ms: u64) -> (Contender, Record) {
    let mut contender = Contender::new(name.into(), 1);
    contender.read(Seen { version: 0, record: None }, now_ms, now_ms);
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
    assert!(contender.is_engaged());
    let Step::Write(write) = contender.step(1_100) else {
        panic!("the lease is given back");
    };
    assert_eq!(write.record.term_ms, 0);
    contender.written(6, 1_101);
    assert!(!contender.is_engaged());
}

/// Who sees a record for the first time waits for its whole term. Entries next in line read it
/// beforehand, else a dead holder's windows are reported later than they are due.
#[test]
fn an_entry_that_stood_by_takes_over_as_soon_as_the_term_is_over() {
    let (_, record) = holding("one", 0);
    let mut next = Contender::new("two".into(), 2);
    assert_eq!(next.step_aside(100), Step::Read);
    next.read(Seen { version: 5, record: Some(record) }, 100, 101);
    assert!(!matches!(next.step_aside(200), Step::Read), "it reads from time to time");
    let free_ms = 101 + TERM_MS + MARGIN_MS;
    assert!(!matches!(next.step(free_ms - 1), Step::Write(_)));
    assert!(matches!(next.step(free_ms), Step::Write(_)));
}
