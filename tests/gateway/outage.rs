//! What vanishes from the store's list around an outage: kept while its endpoint may still live, for
//! no longer than a leaving endpoint serves.

use briarwinch::gateway::policy::outage::StoreOutage;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LEAVE_MS: u64 = 2_000;

fn back_at(back_ms: u64, away_ms: u64) -> StoreOutage {
    let mut outage = StoreOutage::new(LEAVE_MS);
    outage.record_failure(back_ms - away_ms, false, &mut StdRng::seed_from_u64(1));
    assert_eq!(outage.record_answer(back_ms), Some(away_ms));
    outage
}

/// The store turned one entry away and lets it in again; an endpoint leaves in the same moment
/// without having said so before. Kept for the whole grace time, it still got requests 2.1 s later,
/// when it may have ended: users lose the answers.
#[test]
fn an_endpoint_that_leaves_at_the_stores_return_gets_no_request_after_it_may_have_ended() {
    let outage = back_at(14_882, 10_680);
    let until_ms = outage.keep_missing_until_ms(14_882).expect("it may have lapsed");
    assert!(until_ms <= 14_882 + 1_800, "kept until {until_ms}");
    assert!(until_ms >= 14_882 + 1_500, "living endpoints need time to come back: {until_ms}");
}

/// While the store is silent a watch that waits for changes says nothing of its return, and the grace
/// time would begin with the first change instead of with the return.
#[test]
fn watches_are_short_while_the_store_is_away() {
    let mut outage = StoreOutage::new(LEAVE_MS);
    assert_eq!(outage.watch_wait_ms(0), 5_000);
    outage.record_failure(1_000, false, &mut StdRng::seed_from_u64(1));
    assert!(outage.watch_wait_ms(1_000) <= 200);
    outage.record_answer(5_000);
    assert!(outage.watch_wait_ms(5_000) <= 500);
    assert_eq!(outage.watch_wait_ms(5_000 + 2_200), 5_000);
}

/// Guards against hundreds of entries that all ask a store which is just coming back, several times a second.
#[test]
fn entries_that_are_not_the_first_to_read_look_rarely_for_the_store() {
    let calls = |is_behind: bool| {
        let (mut outage, mut random) = (StoreOutage::new(LEAVE_MS), StdRng::seed_from_u64(1));
        let (mut now_ms, mut calls) = (0, 0);
        while now_ms < 20_000 {
            now_ms += outage.record_failure(now_ms, is_behind, &mut random);
            calls += 1;
        }
        calls
    };
    let (first, behind) = (calls(false), calls(true));
    assert!((25..=60).contains(&first), "{first} calls in 20 s");
    assert!(behind * 2 <= first, "{behind} calls in 20 s");
}

/// An outage of a moment lets no entry lapse; what vanishes after it has left.
#[test]
fn what_vanishes_after_a_short_outage_is_gone() {
    assert_eq!(back_at(3_000, 900).keep_missing_until_ms(3_000), None);
}

proptest! {
    #![proptest_config(crate::cases(500))]

    /// Whenever an entry vanishes, it is kept neither beyond the time after which a living endpoint
    /// would be back, nor for as long as a leaving one serves.
    #[test]
    fn nothing_is_kept_for_longer_than_it_may_serve(
        away_ms in 0..20_000_u64, vanished_after_ms in 0..5_000_u64, leave_ms in 500..5_000_u64,
    ) {
        let mut outage = StoreOutage::new(leave_ms);
        outage.record_failure(100_000, false, &mut StdRng::seed_from_u64(1));
        let back_ms = 100_000 + away_ms;
        outage.record_answer(back_ms);
        let now_ms = back_ms + vanished_after_ms;
        if let Some(until_ms) = outage.keep_missing_until_ms(now_ms) {
            prop_assert!(away_ms >= 1_200);
            prop_assert!(until_ms <= back_ms + 2_200);
            prop_assert!(until_ms < now_ms + leave_ms);
        }
    }
}
