//! What a starting entry asks the others for.

use briarwinch::gateway::fleet::pulls::SoftStatePull;

/// An entry starts and hears of twenty-seven others within milliseconds. It asked all of them for what
/// they remember; over its link of 10 Mbit/s none could answer in time, again and again, and a
/// configuration accepted meanwhile was in force seven seconds late.
#[test]
fn a_starting_entry_asks_one_other_at_a_time() {
    let mut remembered = SoftStatePull::default();
    let asked = (0..27).filter(|_| remembered.try_begin()).count();
    assert_eq!(asked, 1);
    remembered.finish(false);
    assert!(remembered.try_begin(), "another is asked when the first did not answer");
    assert!(!remembered.try_begin());
    remembered.finish(true);
    assert!(!remembered.try_begin(), "once told, it asks no more");
}
