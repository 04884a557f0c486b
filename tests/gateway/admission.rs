//! Turning prompts away: the less urgent first, and never the other way round.

use briarwinch::gateway::policy::admission::{self, AdmissionControl};
use proptest::prelude::*;

proptest! {
    #![proptest_config(crate::cases(200))]
    #[test]
    fn whoever_is_admitted_so_is_the_more_urgent(
        free_share in 0.0..1.0_f64, priority in 1_u8..9,
    ) {
        if admission::has_capacity(priority, free_share) {
            prop_assert!(admission::has_capacity(priority - 1, free_share));
        }
    }
}

#[test]
fn most_urgent_requests_are_sent_also_when_no_engine_is_free() {
    assert!(admission::has_capacity(0, 0.0));
    assert!(!admission::has_capacity(1, 0.0));
    assert!(!admission::has_capacity(2, 0.2));
    assert!(admission::has_capacity(2, 0.5));
}

/// Two entries see the engines at different moments. One turns a drafting request away while the
/// other still sends long summaries. A user whose request is the more urgent gets nothing, while
/// less urgent and larger ones begin.
#[test]
fn less_urgent_requests_wait_after_a_more_urgent_one_was_turned_away_elsewhere() {
    let (here, there) = (AdmissionControl::default(), AdmissionControl::default());
    assert!(!here.admit(1, 1, 0.0, 50_000));
    there.merge_ages(here.ages(50_100), 90_100);
    assert!(!there.admit(2, 2, 1.0, 90_200), "the other entry was told");
    assert!(there.admit(1, 1, 1.0, 90_200), "its own rank is not held off");
    assert!(there.admit(2, 2, 1.0, 93_000), "the hold-off ends");
}

/// Summaries were sent until a moment ago, and now hardly any engine is free. Were all drafting
/// requests turned away at once, their users would get nothing in the same seconds in which less
/// urgent and larger requests begin.
#[test]
fn few_requests_are_turned_away_while_less_urgent_ones_were_sent_lately() {
    let gate = AdmissionControl::default();
    assert!(gate.admit(2, 2, 1.0, 10_000));
    let turned_away = (0..64).filter(|step| !gate.admit(1, 1, 0.0, 10_100 + step * 50)).count();
    assert!(turned_away <= 4, "{turned_away} of 64");
    assert!(!gate.admit(2, 2, 1.0, 13_400), "nothing less urgent is sent meanwhile");
    let later = (0..64).filter(|step| !gate.admit(1, 1, 0.0, 16_000 + step * 10)).count();
    assert_eq!(later, 64, "nothing less urgent was sent for long");
}

/// A client account has a low priority of its own. Its drafting requests are turned away first, but
/// they are drafting requests still, and of these too few must not get nothing.
#[test]
fn what_a_kind_of_request_is_owed_does_not_hang_on_the_accounts_priority() {
    let gate = AdmissionControl::default();
    assert!(gate.admit(0, 2, 1.0, 10_000), "a summary of an urgent account");
    let turned_away = (0..32).filter(|step| !gate.admit(3, 1, 0.1, 10_100 + step * 50)).count();
    assert!(turned_away <= 2, "{turned_away} of 32");
}

#[test]
fn nothing_is_held_off_before_anything_was_turned_away() {
    let gate = AdmissionControl::default();
    assert!(gate.admit(3, 3, 1.0, 100));
    gate.merge_ages(AdmissionControl::default().ages(1_000_000), 100);
    assert!(gate.admit(3, 3, 1.0, 100));
}
