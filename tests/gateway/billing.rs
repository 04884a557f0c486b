//! Counts of requests by billing window: counts that an entry has sent survive it, and no request is counted
//! twice.

use briarwinch::clock;
use briarwinch::gateway::duties::delivery::{Outbox, Watermarks};
use briarwinch::gateway::duties::tally::Tally;

fn count(tally: &Tally, window: u64, account: &str) -> u32 {
    tally.sum(window).get(account).copied().unwrap_or(0)
}

/// Guards against lost revenue: an entry dies in the middle of a window, and its requests, which ran, would
/// be missing from the client account's bill.
#[test]
fn counts_of_a_dead_entry_survive_in_the_entries_that_received_them() {
    let (mut dying, mut living) = (Tally::default(), Tally::default());
    for _ in 0..5 {
        dying.add(1, 100, "court");
    }
    living.add(2, 100, "court");
    living.merge(1, &dying.newest_of(1, 2));
    living.merge(1, &dying.newest_of(1, 2));
    assert_eq!(count(&living, 100, "court"), 6, "received twice, counted once");
}

/// All entries are killed together, and the next duty holder loads what the former one had saved. Counts that
/// surviving entries send again must not be counted twice.
#[test]
fn saved_counts_are_merged_only_once() {
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

/// The same with the compact form that is collected in the store.
#[test]
fn stored_counts_are_merged_only_once() {
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
    assert_eq!(count(&after, 90, "press"), 0, "counts of sealed windows are not saved");
}

/// A collector restarts and loses the counts that it had received. If it then considered an entry complete
/// that sends it only new counts, it would seal the window without the earlier ones.
#[test]
fn a_restarted_collector_receives_all_counts_before_it_may_seal() {
    const COLLECTOR: ([u8; 4], u16) = ([127, 0, 0, 1], 7_340);
    const WINDOW_MS: u64 = 5_000;
    let collector = COLLECTOR.into();
    let end_ms = 101 * WINDOW_MS;
    let mut own = Tally::default();
    let mut outbox = Outbox::new(1, WINDOW_MS);
    let mut deliver =
        |own: &Tally, collected: &mut Tally, watermarks: &mut Watermarks, collector_boot: u64| {
            for (_, batch) in outbox.batches(&[collector], &own.newest_of(1, 6), end_ms + 1) {
                collected.merge(batch.boot, &batch.counts);
                let ack = watermarks.receive(&batch, collector_boot);
                outbox.acknowledge(collector, collector_boot, ack);
            }
        };
    let may_seal = |watermarks: &Watermarks| {
        watermarks.may_seal(end_ms, end_ms + 200, 5_000, true, [1].into_iter())
    };
    own.add(1, 100, "court");
    let (mut collected, mut watermarks) = (Tally::default(), Watermarks::default());
    (0..3).for_each(|_| deliver(&own, &mut collected, &mut watermarks, 7));
    assert!(may_seal(&watermarks));
    own.add(1, 100, "press");
    let (mut collected, mut watermarks) = (Tally::default(), Watermarks::default());
    deliver(&own, &mut collected, &mut watermarks, 8);
    assert!(!may_seal(&watermarks), "only new counts were received");
    (0..3).for_each(|_| deliver(&own, &mut collected, &mut watermarks, 8));
    assert!(may_seal(&watermarks));
    assert_eq!((count(&collected, 100, "court"), count(&collected, 100, "press")), (1, 1));
}

#[test]
fn counts_split_into_pieces_are_merged_without_loss() {
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
fn old_windows_are_evicted() {
    let mut tally = Tally::default();
    tally.add(1, 100, "court");
    tally.add(1, 200, "court");
    assert_eq!(count(&tally, 100, "court"), 0);
}

/// An instance's time of day jumps while a process starts there. Its requests would be counted in windows
/// that are long over or in the future.
#[test]
fn time_of_day_is_corrected_by_the_median_of_older_peers() {
    assert_eq!(clock::correction_ms(&mut [2_400, 2_399, 2_401]), Some(2_400));
    assert_eq!(
        clock::correction_ms(&mut [3, -2_400, 1]),
        None,
        "the jump of a single peer is ignored"
    );
    assert_eq!(clock::correction_ms(&mut []), None);
}
