//! Prompts with a part that crashes each engine which begins to answer them come now and then. The entries know the
//! part and hold such prompts back. Then all processes of the system are killed at the same moment and start again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_cases_2::caller::Call;
use review_cases_2::engine::{Cause, Engine, Log, Moment};
use review_cases_2::process::{Entry, EntryOptions, fleet_ip, internal_ports, wait_until};
use review_cases_2::record::{self, Record};
use review_cases_2::world::{self, World, ready};

const ENGINES: usize = 9;
const ENTRIES: u8 = 2;
const PART: &str = "bad0";
const SOUND_CALLERS: u64 = 4;
const SOUND_PAUSE: Duration = Duration::from_millis(60);
const CONTACT: Duration = Duration::from_secs(3);
/// Pause between two prompts with the part at each machine.
const FATAL_PAUSE: Duration = Duration::from_millis(3_000);
/// Rounds of such prompts after the kill; each machine gets one a round.
const ROUNDS: u64 = 6;
/// Prompts with the part that come to each machine at the same time at first.
const FIRST_EACH: usize = 3;
/// Time until killed processes are started again.
const DOWN: Duration = Duration::from_secs(1);
/// How many such requests may still reach runners.
const MOST: usize = 3;

struct Fleet {
    ports: [u16; 2],
    stores: Vec<SocketAddr>,
    entries: Vec<Entry>,
}

impl Fleet {
    fn open(world: &World) -> Self {
        let ips: Vec<_> = (1..=ENTRIES).map(fleet_ip).collect();
        let stores = ips.iter().map(|_| world.store.listen().1).collect();
        let mut fleet = Self { ports: internal_ports(&ips), stores, entries: Vec::new() };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        let seed = SocketAddr::new(fleet_ip(1), self.ports[0]);
        for number in 1..=ENTRIES {
            let options = EntryOptions {
                ip: fleet_ip(number),
                internal_ports: Some(self.ports),
                seeds: vec![seed],
                ..EntryOptions::new(self.stores[usize::from(number) - 1])
            };
            self.entries.push(options.start(&format!("front-{number}")));
        }
        for entry in &self.entries {
            wait_until("the entry is ready", || ready(entry.ready) == 200);
        }
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }
}

fn prompt(id: &str, parts: &str) -> Call {
    world::prompt("stream")
        .with("x-request-id", id)
        .with("x-token-count", "800,80")
        .with("x-prompt-prefix", parts)
}

/// Sends prompts with the part to each machine at the same time; no two are alike.
fn send_fatal(addrs: &[SocketAddr], each: usize, record: &Record) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    thread::scope(|scope| {
        for addr in addrs.iter().cycle().take(addrs.len() * each) {
            let number = NUMBER.fetch_add(1, Ordering::SeqCst);
            scope.spawn(move || {
                let id = format!("fatal-{number}");
                let call = prompt(&id, &format!("5c1e:300,{PART}:300,a{number:x}:200"));
                let status = call.try_send(*addr).map_or(0, |answer| answer.status());
                record.note(format!("answered {id} {status}"));
            });
        }
    });
}

fn start_sound(
    addrs: &Arc<Mutex<Vec<SocketAddr>>>,
    is_stopped: &Arc<AtomicBool>,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    let caller = |caller: u64| {
        let (addrs, is_stopped, record) =
            (Arc::clone(addrs), Arc::clone(is_stopped), record.clone());
        thread::spawn(move || {
            for number in 0_u64.. {
                if is_stopped.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("sound-{caller}-{number}");
                let addr = {
                    let addrs = addrs.lock().expect("the machines");
                    addrs[number as usize % addrs.len()]
                };
                let parts = format!("5c1e:300,d{}:300,f{caller:x}{number:x}:200", number % 5);
                let answer = prompt(&id, &parts).try_send(addr);
                let events = answer.as_ref().map_or(0, |one| one.event_ids().len());
                record.note(format!(
                    "answered {id} {} events={events}",
                    answer.map_or(0, |one| one.status())
                ));
                thread::sleep(SOUND_PAUSE);
            }
        })
    };
    (0..SOUND_CALLERS).map(caller).collect()
}

fn case(record: &Record) -> bool {
    let world = World::open();
    let log = Log::new(Cause::Part(PART), Moment::Answer);
    let _engines: Vec<Engine> = (0..ENGINES)
        .map(|n| Engine::open(&world, "engine", &format!("engine-{n}"), &log))
        .collect();
    let mut fleet = Fleet::open(&world);
    let addrs = Arc::new(Mutex::new(fleet.callers()));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let sound = start_sound(&addrs, &is_stopped, record);
    thread::sleep(Duration::from_secs(3));
    record.tell("prompts with the part begin to come");
    let end = Instant::now() + Duration::from_secs(12);
    while log.crashes().len() < 5 && Instant::now() < end {
        send_fatal(&fleet.callers(), FIRST_EACH, record);
        thread::sleep(Duration::from_millis(300));
    }
    let crashes = log.crashes();
    assert!(crashes.len() >= 5, "{} crashes are too few", crashes.len());
    let fifth = crashes[4];
    record.tell(format!("fifth crash at {:.3} s", record.seconds(fifth)));
    thread::sleep((fifth + CONTACT).saturating_duration_since(Instant::now()));
    send_fatal(&fleet.callers(), 1, record);
    thread::sleep(Duration::from_secs(1));
    let mut in_touch_from = Instant::now();
    if record::has_trouble() {
        record.tell("all processes of the system are killed");
        fleet.entries.iter().for_each(|entry| entry.signal("-KILL"));
        fleet.entries.clear();
        thread::sleep(DOWN);
        fleet.start();
        record.tell("they are started again and ready");
        *addrs.lock().expect("the machines") = fleet.callers();
        in_touch_from = Instant::now() + CONTACT;
    }
    thread::sleep(in_touch_from.saturating_duration_since(Instant::now()));
    thread::sleep(Duration::from_millis(500));
    record.tell("the machines are in touch");
    for _ in 0..ROUNDS {
        send_fatal(&fleet.callers(), 1, record);
        thread::sleep(FATAL_PAUSE);
    }
    is_stopped.store(true, Ordering::SeqCst);
    sound.into_iter().for_each(|one| one.join().expect("a caller"));
    for at in log.arrivals() {
        record.note(format!(
            "a prompt with the part reached an engine at {:.3} s",
            record.seconds(at)
        ));
    }
    for at in log.crashes() {
        record.note(format!("an engine crashed at {:.3} s", record.seconds(at)));
    }
    let from = in_touch_from.max(fifth + CONTACT);
    let late = log.arrivals().iter().filter(|at| **at > from).count();
    record.tell(format!(
        "{} crashes; {late} prompts with the part reached engines from machines in touch, later than contact_ms \
         after the fifth crash; {MOST} allowed",
        log.crashes().len()
    ));
    late <= MOST
}

fn main() {
    record::play(case)
}
