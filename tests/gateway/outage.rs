//! Store outages: endpoint records that vanish are kept while the endpoint may still live, but no
//! longer than a leaving endpoint serves.

use briarwinch::gateway::policy::outage::StoreOutage;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LEAVE_MS: u64 = 2_000;

fn recovered_at(recovered_ms: u64, down_ms: u64) -> StoreOutage {
    let mut outage = StoreOutage::new(LEAVE_MS);
    outage.record_failure(recovered_ms - down_ms, false, &mut StdRng::seed_from_u64(1));
    assert_eq!(outage.record_answer(recovered_ms), Some(down_ms));
    outage
}

/// An endpoint leaves, without notice, at the moment at which the store recovers for one entry.
/// Kept for the whole grace period, it got requests until 2.1 s later, when it may have ended, and
/// their answers were lost.
#[test]
fn an_endpoint_that_leaves_as_the_store_recovers_gets_no_request_after_it_may_have_ended() {
    let outage = recovered_at(14_882, 10_680);
    let until_ms = outage.keep_missing_until_ms(14_882).expect("the record may have expired");
    assert!(until_ms <= 14_882 + 1_800, "kept until {until_ms}");
    assert!(until_ms >= 14_882 + 1_500, "living endpoints need time to come back: {until_ms}");
}

/// Guards against a long watch while the store is down: the watch would not return at the recovery,
/// and the grace period would begin only with the first change after it.
#[test]
fn watches_are_short_while_the_store_is_down() {
    let mut outage = StoreOutage::new(LEAVE_MS);
    assert_eq!(outage.watch_wait_ms(0), 5_000);
    outage.record_failure(1_000, false, &mut StdRng::seed_from_u64(1));
    assert!(outage.watch_wait_ms(1_000) <= 200);
    outage.record_answer(5_000);
    assert!(outage.watch_wait_ms(5_000) <= 500);
    assert_eq!(outage.watch_wait_ms(5_000 + 2_200), 5_000);
}

/// Guards against hundreds of entries that all poll a recovering store several times per second.
#[test]
fn entries_behind_the_first_readers_poll_a_failed_store_rarely() {
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

/// A short outage lets no record expire, so an endpoint whose record vanishes after it has left.
#[test]
fn records_that_vanish_after_a_short_outage_are_dropped() {
    assert_eq!(recovered_at(3_000, 900).keep_missing_until_ms(3_000), None);
}

proptest! {
    #![proptest_config(crate::cases(500))]

    /// A vanished record is kept neither beyond the time after which a live endpoint would have
    /// reappeared, nor for as long as a leaving endpoint serves.
    #[test]
    fn no_record_is_kept_for_longer_than_its_endpoint_may_serve(
        down_ms in 0..20_000_u64, vanished_after_ms in 0..5_000_u64, leave_ms in 500..5_000_u64,
    ) {
        let mut outage = StoreOutage::new(leave_ms);
        outage.record_failure(100_000, false, &mut StdRng::seed_from_u64(1));
        let recovered_ms = 100_000 + down_ms;
        outage.record_answer(recovered_ms);
        let now_ms = recovered_ms + vanished_after_ms;
        if let Some(until_ms) = outage.keep_missing_until_ms(now_ms) {
            prop_assert!(down_ms >= 1_200);
            prop_assert!(until_ms <= recovered_ms + 2_200);
            prop_assert!(until_ms < now_ms + leave_ms);
        }
    }
}
