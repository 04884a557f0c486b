//! Streams and memory in the load of other entries: how they arrive, age and what they cost.

use std::net::SocketAddr;

use briarwinch::gateway::fleet::message::{Details, Message, Work as WorkMessage};
use briarwinch::gateway::policy::load::{DetailRow, LoadTable, Origin, Row, Rows, Source, Work};

use super::choice::NOW_MS;
use super::virtual_fleet::{Fleet, key};

fn work(requests: u32) -> Work {
    Work {
        requests,
        unread_tokens: 100 * u64::from(requests),
        streams: [0, requests as u16, 0, 0],
        memory_tokens: 2_560 * u64::from(requests),
    }
}

fn row(endpoint: usize, requests: u32) -> Row {
    Row { endpoint: key(endpoint), work: work(requests) }
}

/// Sends rows as another entry does: the amounts first, then the details.
fn apply(table: &mut LoadTable, rows: &[Row], detailed: &[Row], now_ms: u64) {
    // The details are not part of these rows when they are sent.
    let bytes = postcard::to_stdvec(&Rows { part: 0, parts: 1, rows: rows.to_vec() });
    let rows: Rows = postcard::from_bytes(&bytes.expect("rows")).expect("rows");
    table.apply(Source::Entry(1), Origin { entries: 1, age_ms: 0 }, &rows, now_ms);
    let details: Vec<DetailRow> = detailed.iter().filter_map(DetailRow::of).collect();
    table.apply_details(&Source::Entry(1), &details, now_ms);
}

/// Guards against details that are lost, counted twice, kept after their requests have ended, or kept for longer
/// than 2 s after their entry has died.
#[test]
fn details_follow_the_requests_and_end_with_them() {
    let mut table = LoadTable::default();
    apply(&mut table, &[row(1, 4), row(2, 2)], &[row(1, 4), row(2, 2)], NOW_MS);
    assert_eq!(table.work_at(key(1), NOW_MS), work(4));
    apply(&mut table, &[row(1, 8), row(2, 1), row(3, 3)], &[], NOW_MS + 50);
    assert_eq!(table.work_at(key(1), NOW_MS), work(8), "scaled by its requests");
    assert_eq!(table.work_at(key(2), NOW_MS), work(1));
    assert_eq!(table.work_at(key(3), NOW_MS).memory_tokens, 3 * 2_560, "the mean of its source");
    apply(&mut table, &[row(1, 8)], &[row(1, 8), row(2, 2)], NOW_MS + 100);
    assert_eq!(table.work_at(key(2), NOW_MS), Work::default(), "no request, no details");
    assert_eq!(table.work_at(key(1), NOW_MS + 2_000), work(8));
    table.sweep(NOW_MS + 2_100);
    assert_eq!(table.work_at(key(1), NOW_MS + 2_100), Work::default());
    assert!(!table.has_details());
}

/// Guards against a change of the encoding that earlier builds read, and against a message that exceeds a
/// datagram.
#[test]
fn rows_keep_their_encoding_and_details_have_their_own_message() {
    let from: SocketAddr = ([127, 0, 0, 1], 1).into();
    let message = |work: Work| {
        let rows = Rows::update(vec![Row { endpoint: key(1), work }]);
        let origin = Origin::default();
        let message = WorkMessage { from, source: Source::Others, origin, rows };
        postcard::to_stdvec(&Message::Work(message)).expect("a message")
    };
    let plain = Work { streams: [0; 4], memory_tokens: 0, ..work(3) };
    assert_eq!(message(work(3)), message(plain));
    let full = Work { streams: [200; 4], memory_tokens: 1_160_659, requests: 200, ..plain };
    let rows = vec![DetailRow::of(&Row { endpoint: key(1), work: full }).expect("details"); 65];
    let details = Details { source: Source::Zone("eu-central-1a".into()), rows };
    let bytes = postcard::to_stdvec(&Message::Details(details)).expect("a message").len();
    assert!(bytes + 16 <= 1_400, "{bytes} bytes");
}

/// Guards against details that cost more than 2 kB/s per entry at 340 entries, or do not reach the others.
#[test]
fn details_reach_all_entries_within_their_traffic_bound() {
    for (entries, zones, endpoints, known_within_ms) in [(27, 3, 50, 1_000), (340, 7, 200, 6_000)] {
        let mut fleet = Fleet::open(entries, zones, 0.0);
        fleet.settles_within_ms(1_500);
        fleet.run_ms(500);
        for index in 0..entries {
            for endpoint in (index % 7..endpoints).step_by(7) {
                fleet.nodes[index].load_table.add(key(endpoint), work(1), fleet.now_ms);
            }
        }
        fleet.run_ms(known_within_ms);
        let each = fleet.details_bytes * 1_000 / known_within_ms as usize / entries;
        println!("{entries} entries, {endpoints} endpoints: {each} B/s of details from each");
        assert!(entries < 340 || each <= 2_000, "{entries} entries");
        for node in &fleet.nodes {
            for endpoint in 0..endpoints {
                let known = node.load_table.work_at(key(endpoint), fleet.now_ms);
                let senders = (0..entries).filter(|index| index % 7 == endpoint % 7);
                let expected = work(senders.count() as u32);
                assert_eq!(known, expected, "{} at {endpoint}, {entries} entries", node.addr);
            }
        }
    }
}
