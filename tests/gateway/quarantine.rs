//! Prompt parts on which engines end: which parts are taken for the cause, what clears them, and how fast all
//! entries learn of them.

use briarwinch::gateway::fingerprint::Fingerprint;
use briarwinch::gateway::policy::quarantine::{
    Key, Loss, MANY_CRASHES, MIN_LATE_MOMENTS, MIN_MOMENTS, Quarantine, RETENTION_MS, TRIAL_MS,
};
use briarwinch::gateway::request;

use crate::virtual_fleet::{Fleet, SIZES, key};

const NOW_MS: u64 = 1_000_000;
/// Time between two crashes.
const GAP_MS: u64 = 400;
/// The part on which engines end, and parts that sound prompts have as well.
const CAUSE: Key = Key::Part(1);
const SYSTEM: Key = Key::Part(2);
const DOCUMENT: Key = Key::Part(3);
/// Time after the last needed crash within which all entries know of the part.
const SPREAD_MS: u64 = 1_000;

fn is_quarantined(quarantine: &Quarantine, key: Key, now_ms: u64) -> bool {
    quarantine.clone().admit([key], now_ms).is_err()
}

/// Returns keys as lost before their endpoint answered.
fn lost(keys: &[Key]) -> impl Iterator<Item = Loss> {
    keys.iter().map(|key| Loss { key: *key, answered_ms: 0 })
}

/// Records crashes of different engines, each with these keys, and returns the time after them.
fn crash(quarantine: &mut Quarantine, count: usize, keys: &[Key], from_ms: u64) -> u64 {
    for index in 0..count {
        let at_ms = from_ms + index as u64 * GAP_MS;
        quarantine.record_crash(key(index), lost(keys), at_ms);
    }
    from_ms + count as u64 * GAP_MS
}

/// Guards against engines that end one after the other on a part that only the lost prompts have.
#[test]
fn a_part_without_a_success_is_quarantined_after_its_crashes() {
    let mut quarantine = Quarantine::default();
    let now_ms = crash(&mut quarantine, MIN_MOMENTS - 1, &[CAUSE], NOW_MS);
    assert!(!is_quarantined(&quarantine, CAUSE, now_ms));
    let now_ms = crash(&mut quarantine, MIN_MOMENTS, &[CAUSE], NOW_MS);
    assert!(is_quarantined(&quarantine, CAUSE, now_ms));
    let end_ms = now_ms - GAP_MS + RETENTION_MS;
    assert!(is_quarantined(&quarantine, CAUSE, end_ms - 1));
    assert!(!is_quarantined(&quarantine, CAUSE, end_ms));
    quarantine.sweep(end_ms);
    assert_eq!(quarantine.counts(), (0, 0));
}

/// Guards against one crash that counts several times, since several entries or requests were hit by it.
#[test]
fn reports_of_one_crash_count_once() {
    let mut quarantine = Quarantine::default();
    for at_ms in NOW_MS..NOW_MS + 10 {
        quarantine.record_crash(key(0), lost(&[CAUSE]), at_ms);
    }
    let mut other = Quarantine::default();
    other.record_crash(key(0), lost(&[CAUSE]), NOW_MS + 50);
    quarantine.merge(&other.recent(NOW_MS + 100), NOW_MS + 100);
    quarantine.record_crash(key(1), lost(&[CAUSE]), NOW_MS + GAP_MS);
    assert!(!is_quarantined(&quarantine, CAUSE, NOW_MS + GAP_MS));
}

/// Guards against sound prompts that are refused because they share parts with those that end engines.
#[test]
fn parts_of_sound_prompts_are_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for index in 0..8 {
        let at_ms = NOW_MS + index as u64 * GAP_MS;
        quarantine.record_success([SYSTEM, DOCUMENT], at_ms - 100);
        quarantine.record_crash(key(index), lost(&[SYSTEM, CAUSE, DOCUMENT]), at_ms);
    }
    let now_ms = NOW_MS + 8 * GAP_MS;
    let found = [SYSTEM, CAUSE, DOCUMENT].map(|part| is_quarantined(&quarantine, part, now_ms));
    assert_eq!(found, [false, true, false]);
}

/// Guards against all prompts of a route that are refused where it has few: its common part has not succeeded
/// since shortly before the crashes.
#[test]
fn of_parts_lost_together_the_one_that_never_succeeded_is_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success([SYSTEM], NOW_MS - 20_000);
    let now_ms = crash(&mut quarantine, 5, &[SYSTEM, CAUSE], NOW_MS);
    assert!(is_quarantined(&quarantine, CAUSE, now_ms));
    assert!(!is_quarantined(&quarantine, SYSTEM, now_ms));
}

/// Guards against a document that is refused for good because a prompt with it happened to wait at several of
/// the engines that ended on another one.
#[test]
fn a_part_that_was_lost_in_some_of_the_crashes_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 3, &[CAUSE, DOCUMENT], NOW_MS);
    let now_ms = crash(&mut quarantine, 4, &[CAUSE], NOW_MS);
    assert!(is_quarantined(&quarantine, CAUSE, now_ms));
    assert!(!is_quarantined(&quarantine, DOCUMENT, now_ms));
}

/// Guards against a popular part that is refused when several engines end at once for reasons of their own.
#[test]
fn engines_that_end_at_once_do_not_condemn_a_part_in_use() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success([SYSTEM], NOW_MS - 1_500);
    for index in 0..5 {
        quarantine.record_crash(key(index), lost(&[SYSTEM]), NOW_MS + index as u64);
    }
    assert!(!is_quarantined(&quarantine, SYSTEM, NOW_MS + 10));
}

/// Guards against a document that is refused when a rack of engines is lost: prompts with it were waiting at
/// several of them, and none was answered lately.
#[test]
fn engines_that_end_at_one_moment_do_not_condemn_a_document() {
    let mut quarantine = Quarantine::default();
    for index in 0..8 {
        quarantine.record_crash(key(index), lost(&[DOCUMENT]), NOW_MS + index as u64 * 15);
    }
    assert!(!is_quarantined(&quarantine, DOCUMENT, NOW_MS + 200));
}

/// Guards against bursts of prompts that end many engines at one moment, before three moments have passed.
#[test]
fn many_engines_that_end_at_two_moments_condemn_a_part() {
    let mut quarantine = Quarantine::default();
    for index in 0..MANY_CRASHES - 1 {
        quarantine.record_crash(key(index), lost(&[CAUSE]), NOW_MS);
    }
    assert!(!is_quarantined(&quarantine, CAUSE, NOW_MS));
    quarantine.record_crash(key(0), lost(&[CAUSE]), NOW_MS + 2_000);
    assert!(is_quarantined(&quarantine, CAUSE, NOW_MS + 2_000));
}

/// Guards against a part that stays refused although it was condemned in error: an answer that was under way
/// shows that engines can write on it.
#[test]
fn a_success_releases_a_part_everywhere() {
    let mut quarantine = Quarantine::default();
    let now_ms = crash(&mut quarantine, MIN_MOMENTS, &[CAUSE], NOW_MS);
    let mut other = Quarantine::default();
    other.merge(&quarantine.recent(now_ms), now_ms);
    assert!(is_quarantined(&other, CAUSE, now_ms));
    let changes = other.record_success([CAUSE], now_ms + 100);
    assert_eq!(changes.len(), 1);
    assert!(!changes[0].is_quarantined);
    quarantine.merge(&other.recent(now_ms + 200), now_ms + 200);
    assert!(!is_quarantined(&quarantine, CAUSE, now_ms + 200));
}

/// Guards against memory that grows with the number of documents that were lost with engines.
#[test]
fn suspected_parts_are_bounded_and_the_cause_is_kept() {
    let mut quarantine = Quarantine::default();
    let now_ms = crash(&mut quarantine, MIN_MOMENTS, &[CAUSE], NOW_MS);
    let parts: Vec<Key> = (10..5_000).map(Key::Part).collect();
    quarantine.record_crash(key(9), lost(&parts), now_ms);
    assert_eq!(quarantine.all(now_ms).len(), 256);
    assert!(is_quarantined(&quarantine, CAUSE, now_ms));
}

/// Guards against entries that each see too few of the crashes to know the cause.
#[test]
fn crashes_seen_by_different_entries_add_up_in_all() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.02);
        fleet.run_ms(2_500);
        for index in 0..MIN_MOMENTS {
            let now_ms = fleet.now_ms;
            let node = index * (entries - 1) / (MIN_MOMENTS - 1);
            fleet.nodes[node].quarantine.record_crash(key(index), lost(&[CAUSE, DOCUMENT]), now_ms);
            fleet.run_ms(GAP_MS);
        }
        // Another entry has had an answer on the document.
        let now_ms = fleet.now_ms;
        fleet.nodes[1].quarantine.record_success([DOCUMENT], now_ms);
        fleet.run_ms(SPREAD_MS);
        let now_ms = fleet.now_ms;
        let nodes = || fleet.nodes.iter().map(|node| &node.quarantine);
        let missing = nodes().filter(|one| !is_quarantined(one, CAUSE, now_ms)).count();
        let wrong = nodes().filter(|one| is_quarantined(one, DOCUMENT, now_ms)).count();
        assert_eq!((missing, wrong), (0, 0), "of {entries} entries");
    }
}

/// Guards against an entry that sends such prompts again after it was cut off from the others while they saw
/// engines end.
#[test]
fn an_entry_that_was_cut_off_learns_of_the_quarantine() {
    let mut fleet = Fleet::open(22, 3, 0.0);
    fleet.run_ms(2_500);
    fleet.nodes[7].is_cut_off = true;
    let from_ms = fleet.now_ms - MIN_MOMENTS as u64 * GAP_MS;
    crash(&mut fleet.nodes[0].quarantine, MIN_MOMENTS, &[CAUSE], from_ms);
    fleet.run_ms(30_000);
    fleet.nodes[7].is_cut_off = false;
    fleet.run_ms(2 * SPREAD_MS);
    assert!(is_quarantined(&fleet.nodes[7].quarantine, CAUSE, fleet.now_ms));
}

/// Guards against a popular part that is refused for minutes after all engines have ended several times for
/// reasons of their own: no prompt is under way whose answer would release it.
#[test]
fn one_prompt_at_a_time_tries_a_part_in_quarantine() {
    let mut quarantine = Quarantine::default();
    let now_ms = crash(&mut quarantine, MIN_MOMENTS, &[CAUSE], NOW_MS);
    let first_ms = now_ms - GAP_MS + TRIAL_MS;
    assert!(is_quarantined(&quarantine, CAUSE, first_ms), "another entry tries it");
    quarantine.set_trial_keys(&[CAUSE]);
    assert!(quarantine.admit([CAUSE], first_ms - 1).is_err());
    assert!(quarantine.admit([CAUSE], first_ms).is_ok());
    assert!(quarantine.admit([CAUSE], first_ms + 1).is_err(), "the first trial is not over");
    quarantine.record_crash(key(7), lost(&[CAUSE]), first_ms + 500);
    // The next one comes later, also at an entry that has not sent the first.
    let mut other = Quarantine::default();
    other.merge(&quarantine.all(first_ms + 600), first_ms + 600);
    for quarantine in [&mut quarantine, &mut other] {
        quarantine.set_trial_keys(&[CAUSE]);
        let second_ms = first_ms + 500 + 4 * TRIAL_MS;
        assert!(quarantine.admit([CAUSE], second_ms - 1).is_err());
        assert!(quarantine.admit([CAUSE], second_ms).is_ok());
    }
    quarantine.record_success([CAUSE], first_ms + 130_000);
    assert!(quarantine.admit([CAUSE], first_ms + 130_001).is_ok());
}

/// Guards against trials of one part by several entries.
#[test]
fn one_entry_tries_a_part() {
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.run_ms(2_500);
        let now_ms = fleet.now_ms;
        for part in 0..20 {
            let nodes = fleet.nodes.iter();
            let first = nodes.filter(|node| node.exchange.peers.is_first_for(part, now_ms));
            assert_eq!(first.count(), 1, "of {entries} entries");
        }
    }
}

/// A request on which endpoints end, and another one.
fn requests() -> [Key; 2] {
    ["fatal", "sound"].map(|body| {
        let request = request::Request {
            id: "id".into(),
            method: "POST".into(),
            host: "callers.example".into(),
            target: "/1".into(),
            headers: Vec::new(),
            body: body.into(),
            deadline_ms: None,
            api_key: None,
            model: None,
            prompt: None,
            last_event_id: None,
            resumes: None,
        };
        Key::Request(Fingerprint::of(&request, None))
    })
}

/// Guards against parts that all prompts share and that are blamed for the one prompt that ends engines.
#[test]
fn a_request_is_quarantined_before_the_parts_that_it_shares() {
    let [fatal, _] = requests();
    let mut quarantine = Quarantine::default();
    let now_ms = crash(&mut quarantine, MIN_MOMENTS, &[fatal, SYSTEM, DOCUMENT], NOW_MS);
    let found = [fatal, SYSTEM, DOCUMENT].map(|key| is_quarantined(&quarantine, key, now_ms));
    assert_eq!(found, [true, false, false]);
    // Another engine ends for a reason of its own.
    quarantine.record_crash(key(9), lost(&[SYSTEM]), now_ms);
    assert!(is_quarantined(&quarantine, fatal, now_ms));
    assert!(!is_quarantined(&quarantine, SYSTEM, now_ms));
}

/// Guards against a part that ends engines and is never blamed, because each prompt with it is another request.
#[test]
fn a_part_of_several_requests_that_end_engines_is_quarantined() {
    let [first, second] = requests();
    let mut quarantine = Quarantine::default();
    let now_ms = crash(&mut quarantine, MIN_MOMENTS, &[first, CAUSE], NOW_MS);
    assert!(!is_quarantined(&quarantine, CAUSE, now_ms));
    for index in 0..2 {
        quarantine.record_crash(
            key(5 + index),
            lost(&[second, CAUSE]),
            now_ms + index as u64 * GAP_MS,
        );
    }
    assert!(is_quarantined(&quarantine, CAUSE, now_ms + GAP_MS));
}

/// Guards against a sound request that is refused since it was at some of the endpoints that another one ended.
#[test]
fn a_request_that_was_lost_in_some_of_the_crashes_is_not_quarantined() {
    let [fatal, sound] = requests();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, MIN_MOMENTS, &[fatal, sound], NOW_MS);
    let now_ms = crash(&mut quarantine, MIN_MOMENTS + 1, &[fatal], NOW_MS);
    let found = [fatal, sound].map(|key| is_quarantined(&quarantine, key, now_ms));
    assert_eq!(found, [true, false]);
}

/// Guards against a popular request that is refused when endpoints end for reasons of their own: it is answered
/// by the others all the time.
#[test]
fn a_request_that_is_answered_between_crashes_is_not_quarantined() {
    let [_, sound] = requests();
    let mut quarantine = Quarantine::default();
    for index in 0..8 {
        let at_ms = NOW_MS + index as u64 * GAP_MS;
        quarantine.record_crash(key(index), lost(&[sound]), at_ms);
        quarantine.record_success([sound], at_ms + GAP_MS / 2);
    }
    assert!(!is_quarantined(&quarantine, sound, NOW_MS + 8 * GAP_MS));
}

fn lost_after(key: Key, answered_ms: u64) -> [Loss; 1] {
    [Loss { key, answered_ms }]
}

/// Guards against a part that is cleared by the first events of each answer, although engines end on it later.
#[test]
fn answers_that_have_only_begun_do_not_clear_a_blamedthat_ends_engines_later() {
    let [fatal, _] = requests();
    for (blamed, moments) in [(fatal, MIN_MOMENTS), (CAUSE, MIN_LATE_MOMENTS)] {
        let mut quarantine = Quarantine::default();
        for index in 0..moments {
            let at_ms = NOW_MS + index as u64 * 1_000;
            quarantine.record_progress([blamed], 400, at_ms - 600);
            assert!(!is_quarantined(&quarantine, blamed, at_ms));
            quarantine.record_crash(key(index), lost_after(blamed, 1_000), at_ms);
        }
        assert!(is_quarantined(&quarantine, blamed, NOW_MS + 10_000));
    }
}

/// Guards against a document that is refused because long answers on it were lost at several engines that ended
/// by themselves, at different times of answering.
#[test]
fn answers_that_were_lost_at_different_times_do_not_accuse_a_key() {
    let mut quarantine = Quarantine::default();
    for (index, answered_ms) in [0, 1_000, 4_000, 12_000].into_iter().enumerate() {
        let at_ms = NOW_MS + index as u64 * GAP_MS;
        quarantine.record_crash(key(index), lost_after(DOCUMENT, answered_ms), at_ms);
    }
    assert!(!is_quarantined(&quarantine, DOCUMENT, NOW_MS + 4 * GAP_MS));
}
