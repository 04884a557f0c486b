//! Many clients send long bodies at once: the entries hold several copies of each and exceed their memory, for which
//! the platform kills them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;

use review_harness::client::Call;
use review_harness::entry::{Entry, Fleet, servers_ip};
use review_harness::record::Record;
use review_harness::runner::{Runner, config};
use review_harness::store::Store;
use review_harness::{BROKEN, HELD, NOT_RUN, has_trouble, sleep_ms, wait_until};

/// `memory_mb` of the settings, in bytes.
const MEMORY_BYTES: u64 = 110_000_000;
/// Clients of a zone with one entry.
const CLIENTS: usize = 15;
/// Body of a request, below `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Number of times that many clients come at once.
const BURSTS: usize = 6;
/// Ends of a process by itself that break the rule, on two machines.
const MAX_ENDS: u32 = 3;

fn main() {
    std::process::exit(run());
}

/// What the platform has seen of a machine.
#[derive(Default)]
struct Machine {
    ends: AtomicU32,
    peak_bytes: AtomicU64,
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::new(&record);
    let (store_addr, duties_addr) = store.listen(servers_ip());
    store.write("config", "main", &config(1));
    let ledgers = ["i-ledger-1", "i-ledger-2", "i-ledger-3"]
        .map(|id| Runner::ledger(id, "thrissur-a", &record));
    ledgers.iter().for_each(|ledger| ledger.register(&store));
    let fleet = Fleet::new(store_addr, duties_addr);
    let mut entries = [fleet.entry(1, "thrissur-a"), fleet.entry(2, "kochi-c")];
    entries.iter_mut().for_each(|entry| entry.start(&record));
    if !entries.iter().all(|entry| wait_until(15_000, || entry.is_ready())) {
        return record.end(NOT_RUN, "the entries did not become ready");
    }
    let addrs: Vec<_> =
        entries.iter().map(|entry| (entry.callers, entry.ready, entry.id.clone())).collect();
    let machines = [(); 2].map(|()| Arc::new(Machine::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let platform: Vec<_> = entries
        .into_iter()
        .zip(&machines)
        .map(|(entry, machine)| watch_memory(entry, Arc::clone(machine), &is_over, &record))
        .collect();
    let clients: Vec<_> = addrs
        .into_iter()
        .map(|(callers, ready, id)| {
            let record = record.clone();
            thread::spawn(move || {
                for burst in 0..BURSTS {
                    let is_ready =
                        || review_harness::client::get(ready, "/briarwinch/readiness") == Some(200);
                    wait_until(10_000, is_ready);
                    sleep_ms(1_500);
                    come(callers, &format!("{id}-{burst}"), &record);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|one| one.join().expect("the clients end"));
    is_over.store(true, Ordering::SeqCst);
    platform.into_iter().for_each(|one| one.join().expect("the platform ends"));
    judge(&machines, &record)
}

/// Lets the clients of a zone come, all at once or one after the other.
fn come(addr: std::net::SocketAddr, name: &str, record: &Record) {
    let send = |number: usize| {
        let (id, record) = (format!("{name}-{number}"), record.clone());
        move || {
            let call = Call::new("POST", "/ledger-entry/1", &id).body(vec![b'x'; BODY_BYTES]);
            let status = call.send(addr).map(|answer| answer.status());
            record.line(format!(
                "client: {id} answered {status:?} (0: connection closed without an answer)"
            ));
        }
    };
    if has_trouble() {
        let clients: Vec<_> = (0..CLIENTS).map(|number| thread::spawn(send(number))).collect();
        clients.into_iter().for_each(|one| one.join().expect("the client ends"));
    } else {
        (0..CLIENTS).for_each(|number| send(number)());
    }
}

/// Kills a process that exceeds its memory and starts it again after a short delay, as the platform does.
fn watch_memory(
    mut entry: Entry,
    machine: Arc<Machine>,
    is_over: &Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (is_over, record) = (Arc::clone(is_over), record.clone());
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            sleep_ms(2);
            let bytes = entry.resident_bytes();
            machine.peak_bytes.fetch_max(bytes, Ordering::SeqCst);
            if bytes > MEMORY_BYTES {
                entry.kill();
                let ends = machine.ends.fetch_add(1, Ordering::SeqCst) + 1;
                record.line(format!(
                    "platform: {} exceeded its memory with {bytes} bytes, end {ends}",
                    entry.id
                ));
                sleep_ms(500);
                entry.start(&record);
            }
        }
        entry.kill();
    })
}

fn judge(machines: &[Arc<Machine>; 2], record: &Record) -> i32 {
    let ends: Vec<u32> = machines.iter().map(|one| one.ends.load(Ordering::SeqCst)).collect();
    let peaks: Vec<u64> =
        machines.iter().map(|one| one.peak_bytes.load(Ordering::SeqCst)).collect();
    let text = format!(
        "processes ended by memory {ends:?} times (limit: under {MAX_ENDS} on two machines), peaks {peaks:?} bytes of {MEMORY_BYTES}"
    );
    record.end(if ends.iter().all(|one| *one >= MAX_ENDS) { BROKEN } else { HELD }, &text)
}
