//! A store that comes back from an older copy: the lease of the copy names a lower token than the platform has seen.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_harness::client::Call;
use review_harness::entry::{Entry, Fleet, servers_ip};
use review_harness::record::Record;
use review_harness::runner::{Runner, config};
use review_harness::store::Store;
use review_harness::{BROKEN, HELD, NOT_RUN, has_trouble, sleep_ms, wait_until};

/// `contact_ms`: what arrives within this time after the store's return isn't judged.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which the script goes on after the store's return.
const AFTER: Duration = Duration::from_secs(25);

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
    let is_over = Arc::new(AtomicBool::new(false));
    let load = send_lookups(&entries, &is_over, &record);
    let code = play(&store, &mut entries, &record);
    is_over.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|one| one.join().expect("the clients end"));
    code
}

/// Sends lookups at both entries, ten a second each.
fn send_lookups(
    entries: &[Entry],
    is_over: &Arc<AtomicBool>,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    let clients = entries.iter().map(|entry| {
        let (addr, name, is_over, record) =
            (entry.callers, entry.id.clone(), Arc::clone(is_over), record.clone());
        thread::spawn(move || {
            for number in 0_u64.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{name}-{number}");
                let answer = Call::new("GET", "/reading-fetch/1", &id).send(addr);
                let status = answer.map(|one| one.status());
                record.line(format!("client: {id} answered {status:?}"));
                sleep_ms(100);
            }
        })
    });
    clients.collect()
}

fn play(store: &Store, entries: &mut [Entry; 2], record: &Record) -> i32 {
    if !wait_until(25_000, || store.duty_calls().len() >= 2) {
        return record.end(NOT_RUN, "no usage report came");
    }
    let first = store.duty_calls().last().expect("a report").holder.clone();
    let at = entries.iter().position(|entry| entry.id == first).expect("the holder is an entry");
    let copy = store.copy();
    // Planned work: the machine that holds the duties is stopped and started.
    entries[at].signal("TERM", record);
    let second = entries[1 - at].id.clone();
    if !wait_until(12_000, || store.duty_calls().iter().any(|call| call.holder == second)) {
        return record.end(NOT_RUN, "the other entry did not take over");
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
    let back = Instant::now();
    entries.iter_mut().for_each(|entry| entry.start(record));
    while back.elapsed() < AFTER && shared_tokens(store, back).is_empty() {
        sleep_ms(100);
    }
    let shared = shared_tokens(store, back);
    match shared.is_empty() {
        true => record.end(HELD, "each token was sent by one holder"),
        false => record.end(BROKEN, &format!("tokens sent by two holders for /usage: {shared:?}")),
    }
}

/// Tokens that two holders have sent for the usage reports, but for calls within [`CONTACT`] after the store was back.
fn shared_tokens(store: &Store, back: Instant) -> BTreeMap<u64, BTreeSet<String>> {
    let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for call in store.duty_calls().into_iter().filter(|call| call.path == "/usage") {
        if call.at < back || call.at >= back + CONTACT {
            holders.entry(call.fence).or_default().insert(call.holder);
        }
    }
    holders.retain(|_, holders| holders.len() > 1);
    holders
}
