//! Turning prompts away: the less urgent first, and never the other way round.

use briarwinch::gateway::gate::{self, TurnedAway};
use proptest::prelude::*;

proptest! {
    #![proptest_config(crate::cases(200))]
    #[test]
    fn whoever_is_admitted_so_is_the_more_urgent(
        free_share in 0.0..1.0_f64, priority in 1_u8..9,
    ) {
        if gate::admits(priority, free_share) {
            prop_assert!(gate::admits(priority - 1, free_share));
        }
    }
}

#[test]
fn most_urgent_requests_are_sent_also_when_no_engine_is_free() {
    assert!(gate::admits(0, 0.0));
    assert!(!gate::admits(1, 0.0));
    assert!(!gate::admits(2, 0.2));
    assert!(gate::admits(2, 0.5));
}

/// Two entries see the engines at different moments. One turns a drafting request away while the
/// other still sends long summaries. A user whose request is the more urgent gets nothing, while
/// less urgent and larger ones begin.
#[test]
fn less_urgent_requests_wait_after_a_more_urgent_one_was_turned_away_elsewhere() {
    let (here, there) = (TurnedAway::default(), TurnedAway::default());
    here.note(1, 50_000);
    there.take(here.ages_cs(50_100), 90_100);
    assert!(there.is_before(2, 90_200), "the other entry was told");
    assert!(!there.is_before(1, 90_200), "its own rank is not held off");
    assert!(!there.is_before(2, 93_000), "the hold-off ends");
}

#[test]
fn nothing_is_held_off_before_anything_was_turned_away() {
    let turned_away = TurnedAway::default();
    assert!(!turned_away.is_before(3, 100));
    turned_away.take(TurnedAway::default().ages_cs(1_000_000), 100);
    assert!(!turned_away.is_before(3, 100));
}
