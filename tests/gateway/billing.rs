//! Counts of requests by billing window: what an entry told is not lost with it, and nothing is
//! counted twice.

use briarwinch::clock;
use briarwinch::gateway::duties::delivery::{Outbox, Watermarks};
use briarwinch::gateway::duties::tally::Tally;

fn count(tally: &Tally, window: u64, account: &str) -> u32 {
    tally.sum(window).get(account).copied().unwrap_or(0)
}

/// An entry dies in the middle of a window. Its requests ran and are owed, and the client account
/// would be billed for less.
#[test]
fn counts_of_an_entry_that_died_are_kept_by_those_it_told() {
    let (mut dying, mut living) = (Tally::default(), Tally::default());
    for _ in 0..5 {
        dying.add(1, 100, "court");
    }
    living.add(2, 100, "court");
    living.merge(1, &dying.newest_of(1, 2));
    living.merge(1, &dying.newest_of(1, 2));
    assert_eq!(count(&living, 100, "court"), 6, "told twice, counted once");
}

/// All entries are killed at once. What the holder of the duties had saved is taken up by the next
/// one; entries that live on and tell their counts again must not be counted twice.
#[test]
fn saved_counts_are_taken_up_once() {
    let mut before = Tally::default();
    before.add(1, 100, "court");
    before.add(2, 100, "court");
    before.add(2, 99, "press");
    let saved = before.newest(2);
    let mut after = Tally::default();
    after.add(3, 100, "court");
    after.merge_all(saved.clone());
    after.merge_all(saved);
    after.merge(2, &before.newest_of(2, 2));
    assert_eq!(count(&after, 100, "court"), 3);
    assert_eq!(count(&after, 99, "press"), 1);
}

/// The same in the compact form that is kept in the store.
#[test]
fn counts_in_the_store_are_taken_up_once() {
    let mut before = Tally::default();
    before.add(1, 100, "court");
    before.add(2, 100, "court");
    before.add(2, 101, "press");
    before.add(2, 90, "press");
    let saved = serde_json::to_string(&before.save(100)).expect("text");
    let saved = serde_json::from_str(&saved).expect("counts");
    let mut after = Tally::default();
    after.merge(2, &before.newest_of(2, 2));
    after.load(&saved);
    after.load(&saved);
    assert_eq!((count(&after, 100, "court"), count(&after, 101, "press")), (2, 1));
    assert_eq!(count(&after, 90, "press"), 0, "what is sealed is not kept");
}

/// Who keeps the counts starts again and has none of what it had taken. It must not take an entry for
/// settled that sends it only what is new, and seal the window without the rest.
#[test]
fn a_keeper_that_starts_again_gets_everything_before_an_entry_counts_as_settled() {
    const KEEPER: ([u8; 4], u16) = ([127, 0, 0, 1], 7_340);
    const WINDOW_MS: u64 = 5_000;
    let keeper = KEEPER.into();
    let end_ms = 101 * WINDOW_MS;
    let mut own = Tally::default();
    let mut outbox = Outbox::new(1, WINDOW_MS);
    let mut deliver = |own: &Tally, kept: &mut Tally, settled: &mut Watermarks, start: u64| {
        for (_, parcel) in outbox.batches(&[keeper], &own.newest_of(1, 6), end_ms + 1) {
            kept.merge(parcel.boot, &parcel.counts);
            let receipt = settled.receive(&parcel, start);
            outbox.acknowledge(keeper, start, receipt);
        }
    };
    let may_seal =
        |settled: &Watermarks| settled.may_seal(end_ms, end_ms + 200, 5_000, true, [1].into_iter());
    own.add(1, 100, "court");
    let (mut kept, mut settled) = (Tally::default(), Watermarks::default());
    (0..3).for_each(|_| deliver(&own, &mut kept, &mut settled, 7));
    assert!(may_seal(&settled));
    own.add(1, 100, "press");
    let (mut kept, mut settled) = (Tally::default(), Watermarks::default());
    deliver(&own, &mut kept, &mut settled, 8);
    assert!(!may_seal(&settled), "only what is new has come");
    (0..3).for_each(|_| deliver(&own, &mut kept, &mut settled, 8));
    assert!(may_seal(&settled));
    assert_eq!((count(&kept, 100, "court"), count(&kept, 100, "press")), (1, 1));
}

#[test]
fn counts_travel_in_pieces_without_loss() {
    let mut here = Tally::default();
    for account in 0..200 {
        here.add(1, 100, &format!("account-{account}"));
    }
    let mut there = Tally::default();
    let pieces = here.newest_of(1, 2).split(60);
    assert_eq!(pieces.len(), 4);
    pieces.iter().for_each(|piece| there.merge(1, piece));
    assert_eq!(there.sum(100), here.sum(100));
}

#[test]
fn old_windows_are_forgotten() {
    let mut tally = Tally::default();
    tally.add(1, 100, "court");
    tally.add(1, 200, "court");
    assert_eq!(count(&tally, 100, "court"), 0);
}

/// An instance's time of day jumps while a process starts there. Its requests would be counted into
/// windows that are long over or yet to come.
#[test]
fn time_of_day_is_corrected_by_the_median_of_older_peers() {
    assert_eq!(clock::correction_ms(&mut [2_400, 2_399, 2_401]), Some(2_400));
    assert_eq!(clock::correction_ms(&mut [3, -2_400, 1]), None, "one peer's own jump counts not");
    assert_eq!(clock::correction_ms(&mut []), None);
}
