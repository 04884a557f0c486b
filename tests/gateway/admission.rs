//! Admission control: less urgent prompts are rejected first, never more urgent ones instead of
//! them.

use briarwinch::gateway::policy::admission::{self, AdmissionControl};
use proptest::prelude::*;

proptest! {
    #![proptest_config(crate::cases(200))]
    #[test]
    fn capacity_for_a_priority_is_capacity_for_all_more_urgent_ones(
        free_share in 0.0..1.0_f64, priority in 1_u8..9,
    ) {
        if admission::has_capacity(priority, free_share) {
            prop_assert!(admission::has_capacity(priority - 1, free_share));
        }
    }
}

#[test]
fn most_urgent_requests_are_sent_when_no_engine_is_free() {
    assert!(admission::has_capacity(0, 0.0));
    assert!(!admission::has_capacity(1, 0.0));
    assert!(!admission::has_capacity(2, 0.2));
    assert!(admission::has_capacity(2, 0.5));
}

/// Two entries observe the engines at different moments. Guards against one entry that rejects a
/// drafting request while the other still sends long summaries, which are less urgent.
#[test]
fn less_urgent_requests_are_held_off_after_another_entry_rejected_a_more_urgent_one() {
    let (here, there) = (AdmissionControl::default(), AdmissionControl::default());
    assert!(!here.admit(1, 1, 0.0, 50_000));
    there.merge_ages(here.ages(50_100), 90_100);
    assert!(!there.admit(2, 2, 1.0, 90_200), "the other entry got the ages");
    assert!(there.admit(1, 1, 1.0, 90_200), "the rank itself is not held off");
    assert!(there.admit(2, 2, 1.0, 93_000), "the hold-off ends");
}

/// Summaries were sent until a moment ago, and now hardly any engine is free. Guards against the
/// rejection of all drafting requests within seconds in which less urgent and larger requests
/// begin.
#[test]
fn few_requests_are_rejected_while_less_urgent_ones_were_sent_recently() {
    let control = AdmissionControl::default();
    assert!(control.admit(2, 2, 1.0, 10_000));
    let rejected = (0..64).filter(|step| !control.admit(1, 1, 0.0, 10_100 + step * 50)).count();
    assert!(rejected <= 4, "{rejected} of 64");
    assert!(!control.admit(2, 2, 1.0, 13_400), "no less urgent request is sent meanwhile");
    let later = (0..64).filter(|step| !control.admit(1, 1, 0.0, 16_000 + step * 10)).count();
    assert_eq!(later, 64, "no less urgent request was sent recently");
}

/// A client account has a low priority of its own. Its drafting requests are rejected first, but
/// they still count as drafting requests, of which only a bounded share may be rejected.
#[test]
fn fairness_goes_by_the_route_priority_not_the_account_priority() {
    let control = AdmissionControl::default();
    assert!(control.admit(0, 2, 1.0, 10_000), "a summary of an urgent account");
    let rejected = (0..32).filter(|step| !control.admit(3, 1, 0.1, 10_100 + step * 50)).count();
    assert!(rejected <= 2, "{rejected} of 32");
}

#[test]
fn nothing_is_held_off_before_the_first_rejection() {
    let control = AdmissionControl::default();
    assert!(control.admit(3, 3, 1.0, 100));
    control.merge_ages(AdmissionControl::default().ages(1_000_000), 100);
    assert!(control.admit(3, 3, 1.0, 100));
}
