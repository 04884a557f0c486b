//! Prompts with a part that crashes each engine which begins to answer them. A crashed engine is dark: until it is
//! back, neither its connections nor its port answer. Without the disruption the same engines refuse connections.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_cases_2::caller::Call;
use review_cases_2::http::{self, Request};
use review_cases_2::listener;
use review_cases_2::path::Path;
use review_cases_2::record::{self, Record};
use review_cases_2::world::{self, World, start_pair};
use serde_json::json;
use socket2::SockRef;

const ENGINES: usize = 9;
const PART: &str = "bad0";
const CONTACT: Duration = Duration::from_secs(3);
const DOWN: Duration = Duration::from_secs(3);
const PREFILL: Duration = Duration::from_millis(30);
const PAUSE: Duration = Duration::from_millis(20);
const EVENTS: u64 = 6;
const SOUND_CALLERS: u64 = 4;
const SOUND_PAUSE: Duration = Duration::from_millis(60);
const FATAL_PAUSE: Duration = Duration::from_millis(700);
const PLAY: Duration = Duration::from_secs(25);
const MOST: usize = 3;

#[derive(Debug, Default)]
struct Seen {
    crashes: Vec<Instant>,
    arrivals: Vec<Instant>,
}

#[derive(Clone)]
struct Engine {
    id: String,
    addr: SocketAddr,
    /// Number of the present process; connections of earlier ones are gone.
    process: Arc<AtomicU64>,
    is_up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    seen: Arc<Mutex<Seen>>,
    world: World,
    record: Record,
}

impl Engine {
    fn open(world: &World, id: &str, seen: &Arc<Mutex<Seen>>, record: &Record) -> Self {
        let listener = listener::open();
        let engine = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            process: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
            seen: Arc::clone(seen),
            world: world.clone(),
            record: record.clone(),
        };
        engine.list();
        let running = engine.clone();
        thread::spawn(move || running.run(listener));
        engine
    }

    /// Writes the engine's entry; each process has a start of its own.
    fn list(&self) {
        static STARTS: AtomicU64 = AtomicU64::new(1_700_000_000_000);
        let born = STARTS.fetch_add(1, Ordering::SeqCst);
        self.world.list_address(&self.id, self.addr, "engine", &json!({"born": born, "slots": 64}));
    }

    fn crash(&self) {
        if self.is_up.swap(false, Ordering::SeqCst) {
            self.seen.lock().expect("seen").crashes.push(Instant::now());
            self.record.note(format!("{} crashes", self.id));
        }
    }

    fn close_all(&self) {
        for stream in self.open.lock().expect("open").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Runs one process after the other. A dark one leaves its connections and its port without an answer until the
    /// next one starts; otherwise they are closed at once.
    fn run(&self, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).expect("the listener is set");
            let path = Path::new(listener);
            while self.is_up.load(Ordering::SeqCst) {
                match path.listener().accept() {
                    Ok((stream, _)) => {
                        let (engine, path) = (self.clone(), path.clone());
                        thread::spawn(move || engine.serve(stream, &path));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            let close = |path: &Path| SockRef::from(path.listener()).shutdown(Shutdown::Both);
            if record::has_trouble() {
                path.set_silent(true);
                thread::sleep(DOWN);
                self.close_all();
                close(&path).expect("the listener is closed");
            } else {
                self.close_all();
                close(&path).expect("the listener is closed");
                thread::sleep(DOWN);
            }
            drop(path);
            self.process.fetch_add(1, Ordering::SeqCst);
            // Connections of the former process keep its listener until they end.
            listener = loop {
                match TcpListener::bind(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(10)),
                }
            };
            self.is_up.store(true, Ordering::SeqCst);
            self.list();
            self.record.note(format!("{} is back", self.id));
        }
    }

    fn serve(&self, mut stream: TcpStream, path: &Path) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let guard = path.register(&stream);
        if let Ok(kept) = stream.try_clone() {
            self.open.lock().expect("open").push(kept);
        }
        let process = self.process.load(Ordering::SeqCst);
        while let Ok(Some(request)) = http::read(&mut stream, || {}) {
            let is_gone = self.process.load(Ordering::SeqCst) != process;
            if is_gone || !self.is_up.load(Ordering::SeqCst) {
                break;
            }
            if self.answer(&request, &mut stream).is_err() {
                break;
            }
        }
        // A dead machine sends nothing: its connections stay open until the next process starts.
        while record::has_trouble()
            && self.process.load(Ordering::SeqCst) == process
            && !self.is_up.load(Ordering::SeqCst)
        {
            thread::sleep(Duration::from_millis(20));
        }
        drop(guard);
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        if request.path() == http::HELD_PATH {
            return http::answer_held(stream, &[]).map(|_| ());
        }
        if request.path() == "/health" {
            return http::answer(stream, 200, &[("x-instance-id", &self.id)], b"").map(|_| ());
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let parts = request.header("x-prompt-prefix").unwrap_or_default();
        let is_fatal = parts.contains(PART);
        if is_fatal {
            self.seen.lock().expect("seen").arrivals.push(Instant::now());
            self.record.note(format!("{id} reaches {}", self.id));
        }
        thread::sleep(PREFILL);
        if is_fatal {
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-request-id: {id}\r\nx-response-seal: s\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            if !self.is_up.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: {id}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(PAUSE);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn prompt(id: &str, parts: &str) -> Call {
    world::prompt("stream")
        .with("x-request-id", id)
        .with("x-token-count", "800,80")
        .with("x-prompt-prefix", parts)
        .with("x-deadline-ms", "4000")
}

fn case(record: &Record) -> bool {
    let world = World::open();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let _engines: Vec<Engine> =
        (0..ENGINES).map(|n| Engine::open(&world, &format!("engine-{n}"), &seen, record)).collect();
    let entries = start_pair(&world).map(|(_, entry)| entry);
    let addrs = [entries[0].callers, entries[1].callers];
    let is_stopped = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicU64::new(0));
    let sound = (0..SOUND_CALLERS).map(|caller| {
        let (is_stopped, record, cut) = (Arc::clone(&is_stopped), record.clone(), Arc::clone(&cut));
        thread::spawn(move || {
            for number in 0_u64.. {
                if is_stopped.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("sound-{caller}-{number}");
                let parts = format!("5c1e:300,d{}:300,f{caller:x}{number:x}:200", number % 5);
                let answer = prompt(&id, &parts).try_send(addrs[number as usize % 2]);
                let events = answer.as_ref().map_or(0, |one| one.event_ids().len());
                let status = answer.map_or(0, |one| one.status());
                if !matches!(status, 429 | 503) && events < EVENTS as usize {
                    cut.fetch_add(1, Ordering::SeqCst);
                }
                record.note(format!("answered {id} {status} events={events}"));
                thread::sleep(SOUND_PAUSE);
            }
        })
    });
    let sound: Vec<_> = sound.collect();
    thread::sleep(Duration::from_secs(3));
    record.tell("prompts with the part begin to come");
    let end = Instant::now() + PLAY;
    let mut fatal = Vec::new();
    for number in 0_u64.. {
        if Instant::now() > end {
            break;
        }
        let (record, addr) = (record.clone(), addrs[number as usize % 2]);
        fatal.push(thread::spawn(move || {
            let id = format!("fatal-{number}");
            let call = prompt(&id, &format!("5c1e:300,{PART}:300,a{number:x}:200"));
            let status = call.try_send(addr).map_or(0, |answer| answer.status());
            record.note(format!("answered {id} {status}"));
        }));
        thread::sleep(FATAL_PAUSE);
    }
    fatal.into_iter().for_each(|one| one.join().expect("a caller"));
    is_stopped.store(true, Ordering::SeqCst);
    sound.into_iter().for_each(|one| one.join().expect("a caller"));
    let seen = seen.lock().expect("seen");
    let late = match seen.crashes.get(4) {
        Some(fifth) => seen.arrivals.iter().filter(|at| **at > *fifth + CONTACT).count(),
        None => 0,
    };
    record.tell(format!("{} sound streams were cut off or failed", cut.load(Ordering::SeqCst)));
    record.tell(format!(
        "{} crashes; {late} prompts with the part reached engines later than contact_ms after the fifth; {MOST} allowed",
        seen.crashes.len()
    ));
    late <= MOST
}

fn main() {
    record::play(case)
}
