//! Runners in need name a limit for all entries together. The record of one of them lapses, because it is cut off
//! from the store and from nothing else, and returns.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_cases_2::caller::Call;
use review_cases_2::http::{self, After, Request, Server};
use review_cases_2::record::{self, Record};
use review_cases_2::world::{HOST, World, start_pair};
use serde_json::json;

/// Requests a second that each runner takes from all machines together.
const LIMIT_PER_S: f64 = 1.0;
const RUNNERS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(120);
const REQUESTS_PER_S: u64 = 150;
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// What the rule allows in some 4 s.
const MOST: f64 = 1.5 * LIMIT_PER_S * 4.0 + 5.0;

struct Runner {
    id: String,
    server: Server,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

/// Starts a runner that works on `SLOTS` requests at once, queues `QUEUE` and rejects others.
fn runner(id: &str, is_limited: &Arc<AtomicBool>, record: &Record) -> Runner {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let present = Arc::new(AtomicUsize::new(0));
    let running = Arc::new((Mutex::new(0_usize), Condvar::new()));
    let (kept, id_text, record, is_limited) =
        (Arc::clone(&arrivals), id.to_owned(), record.clone(), Arc::clone(is_limited));
    let server = http::serve(move |request: &Request, stream: &mut TcpStream| {
        let request_id = request.header("x-request-id").unwrap_or_default().to_owned();
        kept.lock().expect("arrivals").push(Instant::now());
        let is_full = present.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE;
        record.note(format!(
            "arrived {request_id} at {id_text}{}",
            if is_full { ", rejected" } else { "" }
        ));
        let limit = LIMIT_PER_S.to_string();
        let mut headers = vec![("x-request-id", request_id.as_str())];
        if is_limited.load(Ordering::SeqCst) {
            headers.push(("server-limit", limit.as_str()));
        }
        let after = if is_full {
            headers.push(("x-not-executed", "1"));
            http::answer(stream, 503, &headers, b"full")
        } else {
            let (count, wake) = &*running;
            let mut busy = wake
                .wait_while(count.lock().expect("slots"), |busy| *busy >= SLOTS)
                .expect("slots");
            *busy += 1;
            drop(busy);
            thread::sleep(WORK);
            *count.lock().expect("slots") -= 1;
            wake.notify_one();
            headers.push(("x-response-seal", id_text.as_str()));
            http::answer(stream, 200, &headers, b"found")
        };
        present.fetch_sub(1, Ordering::SeqCst);
        after.map(|_| After::Keep)
    });
    Runner { id: id.to_owned(), server, arrivals }
}

fn list(world: &World, runner: &Runner) {
    world.list_address(&runner.id, runner.server.addr, "ledger", &json!({"slots": SLOTS}));
}

fn most_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let late: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let count =
        |start: Instant| late.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
    late.iter().map(|start| count(*start)).max().unwrap_or(0)
}

fn case(record: &Record) -> bool {
    let world = World::open();
    let is_limited = Arc::new(AtomicBool::new(false));
    let runners: Vec<Runner> =
        (0..RUNNERS).map(|n| runner(&format!("runner-{n}"), &is_limited, record)).collect();
    runners.iter().for_each(|one| list(&world, one));
    let [(_, first), (_, second)] = start_pair(&world);
    let addrs = [first.callers, second.callers];
    thread::sleep(Duration::from_secs(3));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let (answered, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let traffic = {
        let (record, is_stopped) = (record.clone(), Arc::clone(&is_stopped));
        let (answered, served) = (Arc::clone(&answered), Arc::clone(&served));
        thread::spawn(move || {
            let mut callers = Vec::new();
            let begin = Instant::now();
            for number in 0_u64.. {
                if is_stopped.load(Ordering::SeqCst) {
                    break;
                }
                let due = begin + Duration::from_micros(1_000_000 / REQUESTS_PER_S * number);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let id = format!("r-{number}");
                let call = Call::new("GET", HOST, &format!("/lookup/{number}"))
                    .with("x-request-id", &id)
                    .with("x-deadline-ms", "1500");
                let addr = addrs[number as usize % addrs.len()];
                let (record, answered, served) =
                    (record.clone(), Arc::clone(&answered), Arc::clone(&served));
                callers.push(thread::spawn(move || {
                    let status = call.try_send(addr).map_or(0, |answer| answer.status());
                    answered.fetch_add(1, Ordering::SeqCst);
                    served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    record.note(format!("answered {id} {status}"));
                }));
            }
            callers.into_iter().for_each(|one| one.join().expect("a caller"));
        })
    };
    thread::sleep(Duration::from_secs(2));
    is_limited.store(true, Ordering::SeqCst);
    let named_at = Instant::now() + WORK;
    record.tell(format!("all runners name a limit of {LIMIT_PER_S}/s"));
    thread::sleep(Duration::from_secs(6));
    if record::has_trouble() {
        record.tell(
            "runner-0 has been silent towards the store for three heartbeats: its entry is removed",
        );
        world.store.delete("servers", "runner-0");
        thread::sleep(Duration::from_secs(3));
        record.tell("runner-0 reaches the store again: its entry is back");
        list(&world, &runners[0]);
    } else {
        thread::sleep(Duration::from_secs(3));
    }
    thread::sleep(Duration::from_secs(6));
    is_stopped.store(true, Ordering::SeqCst);
    traffic.join().expect("the traffic");
    record.tell(format!(
        "{} requests answered, {} served",
        answered.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst)
    ));
    let mut held = true;
    for one in &runners {
        let arrivals = one.arrivals.lock().expect("arrivals").clone();
        let most = most_in_window(&arrivals, named_at + CONTACT);
        record.tell(format!("{}: {most} arrivals in some 4 s, {MOST} allowed", one.id));
        held &= most as f64 <= MOST;
    }
    held
}

fn main() {
    record::play(case)
}
