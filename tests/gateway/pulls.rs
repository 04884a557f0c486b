//! Pulls of a starting entry from its peers.

use briarwinch::gateway::fleet::pulls::SoftStatePull;

/// Guards against pulling the soft state of all peers together. A starting entry that discovers 27 peers
/// within milliseconds asked all of them. Over its link of 10 Mbit/s no answer arrived in time, retries
/// failed likewise, and a configuration accepted meanwhile took effect seven seconds late.
#[test]
fn a_starting_entry_pulls_from_one_peer_at_a_time() {
    let mut pull = SoftStatePull::default();
    let begun = (0..27).filter(|_| pull.try_begin()).count();
    assert_eq!(begun, 1);
    pull.finish(false);
    assert!(pull.try_begin(), "another peer is asked after the first did not answer");
    assert!(!pull.try_begin());
    pull.finish(true);
    assert!(!pull.try_begin(), "no peer is asked once the soft state was received");
}
