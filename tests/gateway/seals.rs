//! The list of sealed windows after the store has come back from an older copy.

use std::collections::BTreeMap;

use briarwinch::gateway::duties::seals::{KEPT_SEALS, SealedWindow, Seals};
use briarwinch::store::Era;

const BEFORE: Era = Era(3);
const AFTER: Era = Era(4);

fn sealed(window: u64, count: u32) -> SealedWindow {
    SealedWindow { window, counts: BTreeMap::from([("court".into(), count)]) }
}

fn list(windows: &[(u64, u32)]) -> Seals {
    let mut seals = Seals::default();
    windows.iter().for_each(|(window, count)| seals.push(sealed(*window, *count), BEFORE));
    seals
}

fn reportable(seals: &Seals) -> Vec<SealedWindow> {
    seals.reportable().cloned().collect()
}

/// Guards against a second report of a window with other counts: the copy lacks its seal, and nobody knows it.
#[test]
fn windows_that_ended_before_the_new_era_are_withheld() {
    let mut copy = list(&[(10, 1), (11, 2)]);
    assert!(copy.is_confirmed_in(BEFORE) && !copy.is_confirmed_in(AFTER));
    assert_eq!(copy.confirm(&Seals::default(), AFTER, Some(13)), Some(12..=13));
    assert_eq!(copy.first_unsealed(), 14);
    assert_eq!(reportable(&copy), [sealed(10, 1), sealed(11, 2)]);
    assert!(copy.is_confirmed_in(AFTER));
}

/// Guards against windows that are lost although the entry that sealed them still knows their counts, and against
/// other counts for them.
#[test]
fn remembered_seals_are_restored() {
    let mut copy = list(&[(10, 1)]);
    let remembered = list(&[(10, 1), (11, 2), (12, 3)]);
    assert_eq!(copy.confirm(&remembered, AFTER, None), None);
    assert_eq!(reportable(&copy), [sealed(10, 1), sealed(11, 2), sealed(12, 3)]);
    assert_eq!(copy.first_unsealed(), 13);
}

/// Guards against a window that is sealed anew after a second fall, because only the first one's holder withheld it.
#[test]
fn withheld_windows_stay_withheld_for_later_holders() {
    let mut copy = list(&[(10, 1)]);
    copy.confirm(&Seals::default(), AFTER, Some(12));
    let stored = serde_json::to_string(&copy).expect("the list is encoded");
    let mut read: Seals = serde_json::from_str(&stored).expect("the list is decoded");
    assert_eq!(read, copy);
    assert_eq!(read.confirm(&Seals::default(), Era(AFTER.0 + 1), Some(12)), None);
    assert_eq!(read.first_unsealed(), 13);
    assert_eq!(reportable(&read), [sealed(10, 1)]);
}

/// Guards against a list that an earlier version stored and that cannot be decoded, so that its windows would be
/// sealed again.
#[test]
fn a_list_without_eras_is_decoded() {
    let stored = r#"[{"window":10,"counts":{"court":1}}]"#;
    let read: Seals = serde_json::from_str(stored).expect("the list is decoded");
    assert_eq!(reportable(&read), [sealed(10, 1)]);
    assert!(read.is_confirmed_in(Era::default()) && !read.is_confirmed_in(AFTER));
}

/// Guards against a list that grows without bound in the store.
#[test]
fn the_oldest_seals_are_dropped() {
    let mut seals = list(&[]);
    (0..20).for_each(|window| seals.push(sealed(window, 1), BEFORE));
    assert_eq!(seals.reportable().count(), KEPT_SEALS);
    assert_eq!(seals.first_unsealed(), 20);
}
