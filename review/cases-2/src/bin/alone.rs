//! All processes of the system are killed, and one of its two machines never comes back. Runners are in need for some
//! seconds after that, and name a limit.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_cases_2::caller::Call;
use review_cases_2::http::{self, After, Request, Server};
use review_cases_2::process::{Entry, EntryOptions, fleet_ip, internal_ports, wait_until};
use review_cases_2::record::{self, Record};
use review_cases_2::world::{HOST, World, ready};
use serde_json::json;

const RUNNERS: usize = 3;
const WORK: Duration = Duration::from_millis(30);
/// Requests a second that each runner takes from all machines together while it is in need.
const LIMIT_PER_S: &str = "10";
/// When the runners are in need, after the machines are back.
const NEED_FROM: Duration = Duration::from_secs(4);
const NEED_FOR: Duration = Duration::from_secs(5);
const RECOVERY: Duration = Duration::from_secs(12);
const WATCHED: Duration = Duration::from_secs(30);
const BEFORE: Duration = Duration::from_secs(6);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(50);
/// Time until killed processes are started again.
const DOWN: Duration = Duration::from_secs(1);

/// Starts the entry of a machine.
fn start(number: u8, ports: [u16; 2], store: SocketAddr) -> Entry {
    let options = EntryOptions {
        ip: fleet_ip(number),
        internal_ports: Some(ports),
        seeds: (1..=2).map(|seed| SocketAddr::new(fleet_ip(seed), ports[0])).collect(),
        ..EntryOptions::new(store)
    };
    options.start(&format!("front-{number}"))
}

fn runner(id: &str, is_in_need: &Arc<AtomicBool>, record: &Record) -> Server {
    let (own_id, is_in_need, record) = (id.to_owned(), Arc::clone(is_in_need), record.clone());
    http::serve(move |request: &Request, stream: &mut TcpStream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let is_in_need = is_in_need.load(Ordering::SeqCst);
        record.note(format!(
            "{id} runs at {own_id}{}",
            if is_in_need { ", which names a limit" } else { "" }
        ));
        thread::sleep(WORK);
        let mut headers = vec![("x-request-id", id.as_str()), ("x-response-seal", own_id.as_str())];
        if is_in_need {
            headers.push(("server-limit", LIMIT_PER_S));
        }
        http::answer(stream, 200, &headers, b"found").map(|_| After::Keep)
    })
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    is_served: bool,
}

fn served_share(sent: &[Sent], from: Instant, to: Instant, record: &Record, what: &str) -> f64 {
    let sent: Vec<&Sent> = sent.iter().filter(|one| from <= one.at && one.at < to).collect();
    let served = sent.iter().filter(|one| one.is_served).count();
    record.tell(format!("{served} of {} requests served {what}", sent.len()));
    assert!(sent.len() >= 20, "too few requests {what}");
    served as f64 / sent.len() as f64
}

fn case(record: &Record) -> bool {
    let world = World::open();
    let is_in_need = Arc::new(AtomicBool::new(false));
    for number in 0..RUNNERS {
        let id = format!("runner-{number}");
        let server = runner(&id, &is_in_need, record);
        world.list_address(&id, server.addr, "ledger", &json!({"slots": 6}));
    }
    let ports = internal_ports(&[fleet_ip(1), fleet_ip(2)]);
    let stores = [world.store.listen().1, world.store.listen().1];
    let mut entries: Vec<Entry> =
        (1..=2).map(|number| start(number, ports, stores[usize::from(number) - 1])).collect();
    for entry in &entries {
        wait_until("the entry is ready", || ready(entry.ready) == 200);
    }
    // The platform hands connections to the machines that run.
    let addrs: Arc<Mutex<Vec<SocketAddr>>> =
        Arc::new(Mutex::new(entries.iter().map(|entry| entry.callers).collect()));
    thread::sleep(Duration::from_secs(3));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let client = {
        let (addrs, is_stopped, sent, record) =
            (Arc::clone(&addrs), Arc::clone(&is_stopped), Arc::clone(&sent), record.clone());
        thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0_usize.. {
                if is_stopped.load(Ordering::SeqCst) {
                    break;
                }
                let addr = {
                    let addrs = addrs.lock().expect("the machines");
                    (!addrs.is_empty()).then(|| addrs[number % addrs.len()])
                };
                let (sent, record) = (Arc::clone(&sent), record.clone());
                calls.push(thread::spawn(move || {
                    let (id, at) = (format!("r-{number}"), Instant::now());
                    let (method, path) =
                        if number % 2 == 0 { ("GET", "lookup") } else { ("POST", "payment") };
                    let call = Call::new(method, HOST, &format!("/{path}/{number}"))
                        .with("x-request-id", &id)
                        .with("x-deadline-ms", "1500");
                    let answer = addr.and_then(|addr| call.try_send(addr));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.note(format!("answered {id} {status}"));
                    sent.lock().expect("sent").push(Sent { at, is_served: status == 200 });
                }));
                thread::sleep(PAUSE);
            }
            calls.into_iter().for_each(|one| one.join().expect("a call"));
        })
    };
    let begin = Instant::now();
    thread::sleep(BEFORE);
    let fault = Instant::now();
    record.tell("all processes of the system are killed");
    addrs.lock().expect("the machines").clear();
    entries.iter().for_each(|entry| entry.signal("-KILL"));
    entries.clear();
    thread::sleep(DOWN);
    let numbers = if record::has_trouble() { 2..=2 } else { 1..=2 };
    entries = numbers.map(|number| start(number, ports, stores[usize::from(number) - 1])).collect();
    for entry in &entries {
        wait_until("the entry is ready", || ready(entry.ready) == 200);
    }
    let back = Instant::now();
    *addrs.lock().expect("the machines") = entries.iter().map(|entry| entry.callers).collect();
    record.tell(format!("{} of 2 machines are back", entries.len()));
    thread::sleep(NEED_FROM);
    record.tell(format!("all runners name a limit of {LIMIT_PER_S}/s"));
    is_in_need.store(true, Ordering::SeqCst);
    thread::sleep(NEED_FOR);
    record.tell("no runner names a limit any more");
    is_in_need.store(false, Ordering::SeqCst);
    thread::sleep((back + RECOVERY + WATCHED).saturating_duration_since(Instant::now()));
    is_stopped.store(true, Ordering::SeqCst);
    client.join().expect("the client");
    let sent = sent.lock().expect("sent");
    let before = served_share(&sent, begin, fault, record, "before the fault");
    let after = served_share(
        &sent,
        back + RECOVERY,
        back + RECOVERY + WATCHED,
        record,
        "later than recovery_s after the machines are back",
    );
    !(before >= 0.25 && after < 0.25)
}

fn main() {
    record::play(case)
}
