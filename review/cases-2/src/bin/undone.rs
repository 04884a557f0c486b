//! A runner starts again under the id that it had, and leaves. The store comes back from a copy that is older than
//! this start.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_cases_2::caller::Call;
use review_cases_2::http::{self, After, Request, Server};
use review_cases_2::process::{Entry, wait_until};
use review_cases_2::record::{self, Record};
use review_cases_2::store::ListenerMode;
use review_cases_2::world::{HOST, World, start_pair};
use serde_json::json;

const DRAIN: Duration = Duration::from_millis(2_000);
const WORK: Duration = Duration::from_millis(30);
const PAUSE: Duration = Duration::from_millis(10);
const CALLERS: usize = 4;
/// How long the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(300);
/// Time after which runners have written their entries again.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
struct Runner {
    id: String,
    server: Server,
    is_leaving: Arc<AtomicBool>,
    /// Whether the process is about to end, so that it closes each connection after its answer.
    is_ending: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
}

fn runner(id: &str, record: &Record) -> Runner {
    let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let is_leaving = Arc::new(AtomicBool::new(false));
    let is_ending = Arc::new(AtomicBool::new(false));
    let ending = Arc::clone(&is_ending);
    let (kept, leaving, own_id, record) =
        (Arc::clone(&arrivals), Arc::clone(&is_leaving), id.to_owned(), record.clone());
    let server = http::serve(move |request: &Request, stream: &mut TcpStream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.header("x-expect-instance") != Some(&own_id) {
            return http::answer(stream, 421, &[("x-request-id", &id)], b"").map(|_| After::Keep);
        }
        kept.lock().expect("arrivals").push((id.clone(), Instant::now()));
        let is_leaving = leaving.load(Ordering::SeqCst);
        record.note(format!(
            "{id} runs at {own_id}{}",
            if is_leaving { ", which leaves" } else { "" }
        ));
        thread::sleep(WORK);
        let mut headers = vec![("x-request-id", id.as_str()), ("x-response-seal", own_id.as_str())];
        if is_leaving {
            headers.push(("server-leaving", "1"));
        }
        let after = if ending.load(Ordering::SeqCst) { After::Close } else { After::Keep };
        http::answer(stream, 200, &headers, b"found").map(|_| after)
    });
    Runner { id: id.to_owned(), server, is_leaving, is_ending, arrivals }
}

/// Writes the runner's entry; `start` counts its starts.
fn list(world: &World, runner: &Runner, start: u64, state: &str) {
    let fields =
        json!({"state": state, "born": 1_700_000_000_000_u64 + start * 60_000, "slots": 8});
    world.list_address(&runner.id, runner.server.addr, "ledger", &fields);
}

fn knows_leaving(entry: &Entry, id: &str) -> bool {
    entry.logged("endpoint known").iter().any(|one| one["endpoint"] == id && one["leaving"] == true)
}

#[derive(Clone, Debug)]
struct Sent {
    id: String,
    machine: usize,
    at: Instant,
}

fn case(record: &Record) -> bool {
    let world = World::open();
    world.store.name_era(1);
    let runners: Vec<Runner> = (0..3).map(|n| runner(&format!("runner-{n}"), record)).collect();
    runners.iter().for_each(|one| list(&world, one, 1, "ready"));
    let pair = start_pair(&world);
    let listeners = [pair[0].0, pair[1].0];
    let entries = pair.map(|(_, entry)| entry);
    let addrs = [entries[0].callers, entries[1].callers];
    thread::sleep(Duration::from_secs(3));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    /// When a machine has first passed on an answer that says that the runner leaves.
    type Told = Arc<Mutex<[Option<Instant>; 2]>>;
    let told: Told = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_stopped, sent, told, record) =
                (Arc::clone(&is_stopped), Arc::clone(&sent), Arc::clone(&told), record.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if is_stopped.load(Ordering::SeqCst) {
                        break;
                    }
                    let (machine, id) = (caller % 2, format!("r-{caller}-{number}"));
                    sent.lock().expect("sent").push(Sent {
                        id: id.clone(),
                        machine,
                        at: Instant::now(),
                    });
                    let call = Call::new("GET", HOST, &format!("/lookup/{number}"))
                        .with("x-request-id", &id)
                        .with("x-deadline-ms", "1500");
                    if let Some(answer) = call.try_send(addrs[machine]) {
                        record.note(format!(
                            "answered {id} {} by front-{}",
                            answer.status(),
                            machine + 1
                        ));
                        if answer.header("server-leaving").is_some() {
                            told.lock().expect("told")[machine].get_or_insert_with(Instant::now);
                        }
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let (copy, copied_at) = (world.store.snapshot(), Instant::now());
    runners[0].is_ending.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(150));
    runners[0].is_ending.store(false, Ordering::SeqCst);
    record.tell("runner-0 starts again under its id and its address");
    list(&world, &runners[0], 2, "ready");
    thread::sleep(Duration::from_secs(1));
    record.tell("runner-0 leaves: it says so in its answers and in the store");
    runners[0].is_leaving.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    list(&world, &runners[0], 2, "draining");
    wait_until("both machines know that it leaves", || {
        entries.iter().all(|entry| knows_leaving(entry, "runner-0"))
    });
    thread::sleep(DRAIN + Duration::from_millis(300));
    if record::has_trouble() {
        record.tell("the store is away for a moment");
        listeners.iter().for_each(|one| world.store.set_mode(*one, ListenerMode::Unavailable));
        thread::sleep(AWAY);
        record.tell(format!(
            "the store comes back from a copy that is {:.1} s old, made before the start",
            copied_at.elapsed().as_secs_f64()
        ));
        world.store.restore(&copy);
        listeners.iter().for_each(|one| world.store.set_mode(*one, ListenerMode::Serving));
        thread::sleep(HEARTBEAT);
        record.tell("runner-0 writes its entry again: draining");
        list(&world, &runners[0], 2, "draining");
        world.store.write_again("servers");
    }
    thread::sleep(Duration::from_secs(2));
    is_stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|one| one.join().expect("a caller"));
    let (sent, told) = (sent.lock().expect("sent"), *told.lock().expect("told"));
    let arrivals = runners[0].arrivals.lock().expect("arrivals");
    let late = arrivals.iter().filter(|(id, _)| {
        let one = sent.iter().find(|one| one.id == *id).expect("a request that was sent");
        told[one.machine].is_some_and(|told| one.at > told + DRAIN)
    });
    let late = late.count();
    record.tell(format!(
        "machines have passed on that runner-0 leaves: {:?}; {late} requests that were sent later than drain_ms after \
         that reached it from the same machine",
        told.map(|one| one.map(|at| format!("{:.3} s", record.seconds(at))))
    ));
    assert!(
        told.iter().any(Option::is_some),
        "no machine has passed on an answer that the runner leaves"
    );
    late == 0
}

fn main() {
    record::play(case)
}
