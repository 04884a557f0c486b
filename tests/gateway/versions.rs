//! Software versions of streams: which are remembered and for how long, which entries keep them, and when a
//! single version is known to have served.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use briarwinch::gateway::directory::{Directory, Endpoint, VersionKey};
use briarwinch::gateway::served_versions::{History, ServedVersions};
use briarwinch::gateway::stream_versions::{
    RETENTION_MS, Record, SavedStreams, StreamKey, StreamVersions,
};

use crate::directory::endpoint;
use crate::virtual_fleet::{Fleet, SIZES};

const NOW_MS: u64 = 1_000_000;

fn version(name: &str) -> VersionKey {
    VersionKey::of("engine", name)
}

fn listing(endpoints: &[(&str, &str)], revision: u64) -> Directory {
    let mut directory = Directory::default();
    let one =
        |(id, version): &(&str, &str)| Endpoint { version: (*version).into(), ..endpoint(id) };
    directory.replace(endpoints.iter().map(one).collect(), revision, None);
    directory
}

/// Guards against a stream of mixed versions where two services name their versions alike.
#[test]
fn versions_of_different_services_differ() {
    assert_ne!(VersionKey::of("engine", "v1"), VersionKey::of("ledger", "v1"));
    assert_eq!(endpoint("one").version_key(), version("v1"));
}

/// Guards against a stream that is forgotten while its caller still goes on with it, and against records
/// that are kept for good.
#[test]
fn a_stream_that_is_continued_is_remembered_from_then_on() {
    let mut versions = StreamVersions::default();
    let [once, again] = ["r-1", "r-2"].map(StreamKey::of);
    for stream in [once, again] {
        versions.record(Record { stream, version: version("v1") }, NOW_MS);
    }
    versions.record(Record { stream: again, version: version("v1") }, NOW_MS + 30_000);
    versions.sweep(NOW_MS + RETENTION_MS);
    assert_eq!((versions.find(once), versions.find(again)), (None, Some(version("v1"))));
    versions.sweep(NOW_MS + 30_000 + RETENTION_MS);
    assert_eq!(versions.find(again), None);
}

/// Guards against memory that grows with the number of streams.
#[test]
fn the_oldest_streams_are_dropped_at_the_limit() {
    let mut versions = StreamVersions::default();
    let key = |number: u64| StreamKey::of(&number.to_string());
    for number in 0..40_000 {
        versions.learn(Record { stream: key(number), version: version("v1") }, NOW_MS);
    }
    let kept = (0..40_000).filter(|number| versions.find(key(*number)).is_some()).count();
    assert_eq!(kept, 30_000);
    assert!(versions.find(key(39_999)).is_some());
}

/// Guards against an unknown stream that goes on at the only version listed now, although another has served
/// in its time.
#[test]
fn a_version_that_has_just_left_counts_as_serving() {
    let mut served = ServedVersions::default();
    let both = listing(&[("one", "v1"), ("two", "v1.1")], 1);
    let new = listing(&[("two", "v1.1")], 2);
    served.observe(&Directory::default(), &both, NOW_MS);
    let later_ms = NOW_MS + 2 * RETENTION_MS;
    assert_eq!(served.only_version(&["engine"], &both, later_ms), None);
    served.observe(&both, &new, later_ms);
    assert_eq!(served.only_version(&["engine"], &new, later_ms + RETENTION_MS - 1), None);
    let only = served.only_version(&["engine"], &new, later_ms + RETENTION_MS);
    assert_eq!(only, Some(version("v1.1")));
}

/// Guards against an entry that takes the version that it finds at its start for the only one that has
/// served.
#[test]
fn an_entry_that_has_just_started_knows_no_only_version() {
    let mut served = ServedVersions::default();
    let listed = listing(&[("one", "v1")], 1);
    served.observe(&Directory::default(), &listed, NOW_MS);
    let is_known = |served: &ServedVersions, now_ms| {
        served.only_version(&["engine"], &listed, now_ms) == Some(version("v1"))
    };
    assert!(!is_known(&served, NOW_MS + RETENTION_MS - 1));
    let recent = served.only_recent_version(&["engine"], &listed, NOW_MS);
    assert_eq!(recent, Some(version("v1")));
    assert!(is_known(&served, NOW_MS + RETENTION_MS));
    // What an older entry tells it counts from the start.
    let mut young = ServedVersions::default();
    young.observe(&Directory::default(), &listed, NOW_MS + RETENTION_MS);
    young.merge(served.snapshot(NOW_MS + RETENTION_MS), NOW_MS + RETENTION_MS);
    assert!(is_known(&young, NOW_MS + RETENTION_MS));
}

/// Guards against a version that only the older entry has seen leave.
#[test]
fn a_version_that_an_older_entry_has_seen_leave_is_adopted() {
    let listed = listing(&[("one", "v1")], 2);
    let mut old = ServedVersions::default();
    old.observe(&listing(&[("zero", "v0")], 1), &listed, NOW_MS);
    let mut young = ServedVersions::default();
    let now_ms = NOW_MS + RETENTION_MS - 1;
    young.observe(&Directory::default(), &listed, now_ms);
    young.merge(old.snapshot(now_ms), now_ms);
    assert_eq!(young.only_version(&["engine"], &listed, now_ms + 1), Some(version("v1")));
    assert_eq!(young.only_version(&["engine"], &listed, now_ms), None);
}

/// Guards against streams that nobody can go on with after an availability zone is lost: an entry that is
/// asked has to be among those that were told.
#[test]
fn an_asked_entry_outside_a_lost_zone_was_told() {
    const TOLD: usize = 3;
    const ASKED: usize = 4;
    for (entries, zones) in SIZES {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.run_ms(2_500);
        let now_ms = fleet.now_ms;
        let keepers = |node: usize, seed: u64, count: usize| {
            fleet.nodes[node].exchange.peers.stream_keepers(seed, count, now_ms)
        };
        let zone_of = |addr: &SocketAddr| {
            fleet.nodes.iter().find(|node| node.addr == *addr).map(|node| node.zone)
        };
        let mut missed = 0;
        for seed in 0..200_u64 {
            let (began, asker) = (seed as usize % entries, (seed as usize + 1) % entries);
            let told: BTreeSet<SocketAddr> =
                keepers(began, seed, TOLD).into_iter().chain([fleet.nodes[began].addr]).collect();
            let asked = keepers(asker, seed, ASKED);
            let lost = zone_of(&fleet.nodes[began].addr);
            let mut left = asked.iter().chain([&fleet.nodes[asker].addr]);
            let is_found = left.any(|addr| told.contains(addr) && zone_of(addr) != lost);
            missed += usize::from(!is_found);
        }
        assert_eq!(missed, 0, "of 200 streams in a fleet of {entries}");
    }
}

const UNIX_MS: u64 = 1_700_000_000_000;

/// Returns the history that an entry stores while it knows this directory, as another entry reads it.
fn stored_history(directory: &Directory) -> History {
    let mut served = ServedVersions::default();
    served.observe(&Directory::default(), directory, NOW_MS);
    let history = served.history(&["engine"], directory, 0, NOW_MS, UNIX_MS);
    let stored = serde_json::to_string(&history).expect("the history is encoded");
    serde_json::from_str(&stored).expect("the history is decoded")
}

/// Guards against streams that nobody goes on with after all entries were killed, although a single version has
/// served all the time.
#[test]
fn an_entry_that_starts_alone_knows_the_stored_history() {
    let listed = listing(&[("one", "v1"), ("two", "v1")], 1);
    let mut started = ServedVersions::default();
    assert_eq!(started.only_version(&["engine"], &listed, 10), None);
    started.load(Some(&stored_history(&listed)), 10, UNIX_MS + 5_000);
    assert_eq!(started.only_version(&["engine"], &listed, 10), Some(version("v1")));
}

/// Guards against a stream joined from two versions: the version that began it left while no entry ran.
#[test]
fn a_version_that_left_while_no_entry_ran_has_left_at_the_start() {
    let old = stored_history(&listing(&[("one", "v1")], 1));
    let new = listing(&[("two", "v1.1")], 2);
    let mut started = ServedVersions::default();
    started.load(Some(&old), NOW_MS, UNIX_MS + 10 * RETENTION_MS);
    let only = |at_ms| started.only_version(&["engine"], &new, at_ms);
    assert_eq!(only(NOW_MS + RETENTION_MS - 1), None);
    assert_eq!(only(NOW_MS + RETENTION_MS), Some(version("v1.1")));
}

/// Guards against a version that is dropped from the history while its streams may still be continued.
#[test]
fn a_version_that_has_left_stays_in_the_stored_history() {
    let before = stored_history(&listing(&[("one", "v1")], 1));
    let new = listing(&[("two", "v1.1")], 2);
    let mut after = stored_history(&new);
    assert!(!before.lists_same(&after));
    after.add_left(&before, UNIX_MS - RETENTION_MS, UNIX_MS);
    let mut started = ServedVersions::default();
    started.load(Some(&after), NOW_MS, UNIX_MS + 1_000);
    assert_eq!(started.only_version(&["engine"], &new, NOW_MS), None);
    assert_eq!(
        started.only_version(&["engine"], &new, NOW_MS + RETENTION_MS),
        Some(version("v1.1"))
    );
}

/// Guards against saved streams that are lost on the way through the store, and against old ones that fill the
/// memory.
#[test]
fn saved_streams_are_learned_within_the_retention_time() {
    let mut before = StreamVersions::default();
    let records = [("r-1", "v1"), ("r-2", "v1.1"), ("r-3", "v1")]
        .map(|(id, name)| Record { stream: StreamKey::of(id), version: version(name) });
    records.iter().for_each(|record| before.save_until(*record, NOW_MS + 1));
    let given_up = Record { stream: StreamKey::of("r-4"), version: version("v1") };
    before.save_until(given_up, NOW_MS);
    assert!(before.has_unsaved());
    let saved = before.save(NOW_MS, UNIX_MS);
    let stored = serde_json::to_string(&saved).expect("the streams are encoded");
    assert!(!before.has_unsaved());
    let saved: SavedStreams = serde_json::from_str(&stored).expect("the streams are decoded");
    let mut started = StreamVersions::default();
    started.learn_saved(&saved, true, NOW_MS, UNIX_MS + RETENTION_MS);
    assert_eq!(started.find(records[0].stream), None);
    started.learn_saved(&saved, true, NOW_MS, UNIX_MS + RETENTION_MS - 1);
    assert!(records.iter().all(|record| started.find(record.stream) == Some(record.version)));
    assert_eq!(started.find(given_up.stream), None, "nobody goes on with it");
    assert_eq!(
        started.save(NOW_MS, UNIX_MS),
        saved,
        "an earlier process's streams are saved again"
    );
}
