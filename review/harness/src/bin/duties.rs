//! A store that comes back from an older copy: nobody performs the duties any more, although all entries run.

use std::collections::BTreeSet;

use review_harness::client::Call;
use review_harness::entry::{Entry, Fleet, servers_ip};
use review_harness::record::Record;
use review_harness::runner::{Runner, config};
use review_harness::store::Store;
use review_harness::{BROKEN, HELD, NOT_RUN, has_trouble, sleep_ms, unix_ms, wait_until};

const WINDOW_MS: u64 = 5_000;
/// `usage_late_s`: time after its end within which a window is due.
const LATE_MS: u64 = 10_000;
/// Time for which the script goes on after the store's return.
const AFTER_MS: u64 = 50_000;

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

/// Sends lookups at both entries until a condition holds or this time has come; returns the windows in which some were
/// answered.
fn send_until(
    end_unix_ms: u64,
    entries: &[Entry; 2],
    record: &Record,
    is_over: impl Fn() -> bool,
) -> BTreeSet<u64> {
    let mut served = BTreeSet::new();
    while unix_ms() < end_unix_ms && !is_over() {
        for entry in entries {
            let id = format!("{}-{}", entry.id, unix_ms());
            let call = Call::new("GET", "/reading-fetch/1", &id);
            let status = call.send(entry.callers).map(|one| one.status());
            record.line(format!("client: {id} answered {status:?}"));
            if status == Some(200) {
                served.insert(unix_ms() / WINDOW_MS);
            }
        }
        sleep_ms(100);
    }
    served
}

fn play(store: &Store, entries: &mut [Entry; 2], record: &Record) -> i32 {
    send_until(unix_ms() + 25_000, entries, record, || store.duty_calls().len() >= 2);
    if store.duty_calls().len() < 2 {
        return record.end(NOT_RUN, "no usage report came");
    }
    let copy = store.copy();
    send_until(unix_ms() + 2_500, entries, record, || false);
    if has_trouble() {
        store.set_down(true);
        sleep_ms(500);
        store.restore(&copy);
        store.write_again();
    }
    let (back, before) = (unix_ms(), store.duty_calls().len());
    let served = send_until(back + AFTER_MS, entries, record, || false);
    if entries.iter_mut().any(Entry::has_exited) {
        return record.end(NOT_RUN, "an entry has ended");
    }
    // Windows that began after the store's return, in which requests ran, and that were due by now.
    let due = back / WINDOW_MS + 1..=(unix_ms() - LATE_MS) / WINDOW_MS - 1;
    let due: Vec<u64> = due.filter(|window| served.contains(window)).collect();
    let reports = store.duty_calls().split_off(before);
    let is_missing = |window: &&u64| !reports.iter().any(|call| call.window() == **window);
    let (missing, count) = (due.iter().filter(is_missing).count(), due.len());
    if count == 0 {
        return record.end(NOT_RUN, "no requests ran after the store's return");
    }
    let text = format!(
        "{missing} of {count} windows that began after the store's return were never reported"
    );
    record.end(if 2 * missing > count { BROKEN } else { HELD }, &text)
}
