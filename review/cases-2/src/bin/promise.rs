//! One of three runners fails part of its orders after it has applied them, with a 503 that does not say that it did
//! not run them. Clients keep to what the pages say of a 503: they ask once more.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_cases_2::caller::Call;
use review_cases_2::http::{self, After, Request, Server};
use review_cases_2::record::{self, Record};
use review_cases_2::world::{HOST, World, start_pair};
use serde_json::json;

const RUNNERS: usize = 3;
const ORDERS: u64 = 120;
/// Orders follow each other at this interval.
const PAUSE: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(60);
/// The runner in trouble fails this many of each five orders.
const FAILS_OF_FIVE: u64 = 2;

#[derive(Debug, Default)]
struct Seen {
    /// Ids of the requests that have run.
    run: Vec<String>,
    /// How often each order was applied.
    applied: BTreeMap<String, usize>,
}

fn runner(id: &str, is_grey: bool, seen: &Arc<Mutex<Seen>>, record: &Record) -> Server {
    let (own_id, seen, record) = (id.to_owned(), Arc::clone(seen), record.clone());
    let count = AtomicU64::new(0);
    http::serve(move |request: &Request, stream: &mut TcpStream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let order = String::from_utf8_lossy(&request.body).into_owned();
        {
            let mut seen = seen.lock().expect("seen");
            seen.run.push(id.clone());
            *seen.applied.entry(order.clone()).or_default() += 1;
        }
        thread::sleep(WORK);
        let fails = is_grey && count.fetch_add(1, Ordering::SeqCst) % 5 < FAILS_OF_FIVE;
        let status = if fails { 503 } else { 200 };
        record.note(format!("{id} has run at {own_id}: {order} applied, answer {status}"));
        let headers = [("x-request-id", id.as_str()), ("x-response-seal", own_id.as_str())];
        http::answer(stream, status, &headers, b"order").map(|_| After::Keep)
    })
}

fn case(record: &Record) -> bool {
    let world = World::open();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 0..RUNNERS {
        let id = format!("runner-{number}");
        let server = runner(&id, number == 0 && record::has_trouble(), &seen, record);
        world.list_address(&id, server.addr, "ledger", &json!({"slots": 6}));
    }
    let entries = start_pair(&world).map(|(_, entry)| entry);
    let addrs = [entries[0].callers, entries[1].callers];
    thread::sleep(Duration::from_secs(1));
    let promised: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..ORDERS {
        let (promised, record) = (Arc::clone(&promised), record.clone());
        clients.push(thread::spawn(move || {
            for attempt in 0..2_u64 {
                let id = format!("order-{number}-try-{attempt}");
                let addr = addrs[(number + attempt) as usize % 2];
                let call = Call::new("POST", HOST, "/payment/1")
                    .with("x-request-id", &id)
                    .with("x-deadline-ms", "1500")
                    .body(format!("order {number}").as_bytes());
                record.note(format!("sent {id}"));
                let status = call.try_send(addr).map_or(0, |answer| answer.status());
                record.note(format!("answered {id} {status}"));
                if !matches!(status, 408 | 421 | 429 | 503) {
                    return;
                }
                promised.lock().expect("promised").push(id);
                thread::sleep(Duration::from_millis(50));
            }
        }));
        thread::sleep(PAUSE);
    }
    clients.into_iter().for_each(|one| one.join().expect("a client"));
    let (seen, promised) = (seen.lock().expect("seen"), promised.lock().expect("promised"));
    let broken = promised.iter().filter(|id| seen.run.contains(id)).count();
    let twice = seen.applied.values().filter(|count| **count > 1).count();
    record.tell(format!(
        "{broken} of {} requests were answered with the promise that they have not run, and have run; {twice} of \
         {ORDERS} orders were applied twice",
        seen.run.len()
    ));
    broken == 0
}

fn main() {
    record::play(case)
}
