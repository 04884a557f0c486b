//! A store that comes back from an older copy while all entries are started again: a window that has been reported is
//! sealed again from the older counts, and reported with them.

use std::collections::BTreeMap;

use review_harness::client::Call;
use review_harness::entry::{Entry, Fleet, servers_ip};
use review_harness::record::Record;
use review_harness::runner::{Runner, config};
use review_harness::store::{Contents, Store};
use review_harness::{BROKEN, HELD, NOT_RUN, has_trouble, sleep_ms, unix_ms, wait_until};
use serde_json::Value;

/// Length of a window of usage reports.
const WINDOW_MS: u64 = 5_000;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::new(&record);
    let (store_addr, duties_addr) = store.listen(servers_ip());
    store.write("config", "main", &config(1));
    let ledger = Runner::ledger("i-ledger-1", "thrissur-a", &record);
    ledger.register(&store);
    let fleet = Fleet::new(store_addr, duties_addr);
    let mut entries = [fleet.entry(1, "thrissur-a"), fleet.entry(2, "thrissur-b")];
    for entry in &mut entries {
        entry.start(&record);
        sleep_ms(300);
    }
    if !entries.iter().all(|entry| wait_until(15_000, || entry.is_ready())) {
        return record.end(NOT_RUN, "the entries did not become ready");
    }
    play(&store, &mut entries, &record)
}

/// Sends lookups at both entries until this time, ten a second each; returns the number of those that were answered.
fn send_until(end_unix_ms: u64, entries: &[Entry; 2], record: &Record) -> usize {
    let mut answered = 0;
    while unix_ms() < end_unix_ms {
        for entry in entries {
            let id = format!("{}-{}", entry.id, unix_ms());
            let status = Call::new("GET", "/reading-fetch/1", &id)
                .send(entry.callers)
                .map(|one| one.status());
            record.line(format!("client: {id} answered {status:?}"));
            answered += usize::from(status == Some(200));
        }
        sleep_ms(100);
    }
    answered
}

fn play(store: &Store, entries: &mut [Entry; 2], record: &Record) -> i32 {
    if !wait_until(15_000, || store.spec("briarwinch-leases", "duties") != Value::Null) {
        return record.end(NOT_RUN, "nobody holds the duties");
    }
    // The next window that is not about to begin.
    let window = (unix_ms() + 1_000) / WINDOW_MS + 1;
    let (begin, end) = (window * WINDOW_MS, (window + 1) * WINDOW_MS);
    record.line(format!("script: plays in window {window}"));
    send_until(begin, entries, record);
    send_until(end - 2_000, entries, record);
    let copy: Contents = store.copy();
    let late = send_until(end - 300, entries, record);
    record.line(format!("script: {late} lookups of window {window} after the copy"));
    let is_reported = || store.duty_calls().iter().any(|call| call.window() == window);
    if !wait_until(8_000, is_reported) {
        return record.end(NOT_RUN, "the window was not reported");
    }
    // All machines lose power, and the store is away for a moment and comes back from the copy.
    entries.iter_mut().for_each(Entry::kill);
    record.line("all entries: killed");
    if has_trouble() {
        store.set_down(true);
        sleep_ms(500);
        store.restore(&copy);
        store.write_again();
    }
    entries.iter_mut().for_each(|entry| entry.start(record));
    let wait_end = unix_ms() + 25_000;
    while unix_ms() < wait_end && differing(store).is_empty() {
        send_until(unix_ms() + 500, entries, record);
    }
    let differing = differing(store);
    match differing.is_empty() {
        true => record.end(HELD, "all reports of each window are equal"),
        false => {
            record.end(BROKEN, &format!("windows reported with different counts: {differing:?}"))
        }
    }
}

/// Windows that were reported with different counts.
fn differing(store: &Store) -> BTreeMap<u64, Vec<String>> {
    let mut reports: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for call in store.duty_calls().into_iter().filter(|call| call.path == "/usage") {
        let counts = call.body["counts"].to_string();
        let known = reports.entry(call.window()).or_default();
        if !known.contains(&counts) {
            known.push(counts);
        }
    }
    reports.retain(|_, reports| reports.len() > 1);
    reports
}
