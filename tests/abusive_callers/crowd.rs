//! A crowd of callers that send what a server might hold for them, and what its process then holds.
//!
//! One thread writes for all callers in turn, without blocking, and keeps the connections open until the crowd is
//! dropped. A crowd is settled once no caller can send more: each has sent all of its bytes, has lost its connection, or
//! is not read any further.
//!
//! The tests run one at a time, because what other tests hold on this machine would be measured as well.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How the bytes of a caller arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Whole,
    InPieces,
    /// Whole but for the last byte.
    Short,
    /// In pieces but for the last byte.
    ShortInPieces,
    /// The head at once, the rest in this number of pieces.
    Slow(usize),
}

impl Delivery {
    /// Number of pieces and the pause after one of each caller; `None` if all is sent at once.
    fn pieces(self) -> Option<(usize, Duration)> {
        match self {
            Self::Whole | Self::Short => None,
            Self::InPieces | Self::ShortInPieces => Some((PIECES, PIECE_PAUSE)),
            Self::Slow(pieces) => Some((pieces, SLOW_PAUSE)),
        }
    }

    fn stops_short(self) -> bool {
        matches!(self, Self::Short | Self::ShortInPieces)
    }
}

/// What the callers of a crowd send: a head of their own, and the same bytes after it.
#[derive(Clone, Debug)]
pub struct Script {
    pub callers: usize,
    pub head: fn(usize) -> String,
    pub rest: Vec<u8>,
    pub delivery: Delivery,
}

/// Of so many callers that stop short, one sends all.
const COMPLETE_EACH: usize = 8;
/// Number of pieces in which bytes are sent.
const PIECES: usize = 20;
/// Pause after one piece of each caller.
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// The same for slow callers.
const SLOW_PAUSE: Duration = Duration::from_millis(25);
/// Pieces after which a crowd of slow callers is settled.
const SETTLED_PIECES: usize = 60;
/// Most bytes of one write.
const WRITE_BYTES: usize = 64 << 10;
/// Time without progress of any caller after which a crowd is settled.
const QUIET: Duration = Duration::from_secs(1);
/// Interval at which a crowd that cannot send tries again.
const RETRY: Duration = Duration::from_millis(5);
/// Longest wait for a crowd to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);

/// A caller of the crowd.
#[derive(Debug)]
struct Caller {
    /// `None` once the connection is lost.
    stream: Option<TcpStream>,
    head: Vec<u8>,
    sent_bytes: usize,
    to_send_bytes: usize,
}

impl Caller {
    fn is_done(&self) -> bool {
        self.stream.is_none() || self.sent_bytes == self.to_send_bytes
    }

    /// Sends up to this many bytes; returns whether any was taken or the connection was lost.
    fn send(&mut self, rest: &[u8], max_bytes: usize) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let end = self.to_send_bytes.min(self.sent_bytes + max_bytes);
        let bytes = match self.sent_bytes.checked_sub(self.head.len()) {
            None => &self.head[self.sent_bytes..self.head.len().min(end)],
            Some(from) => &rest[from..end - self.head.len()],
        };
        match stream.write(bytes) {
            Ok(count) => {
                self.sent_bytes += count;
                count > 0
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.stream = None;
                true
            }
        }
    }
}

#[derive(Debug, Default)]
struct State {
    is_settled: Mutex<bool>,
    settled: Condvar,
    is_over: AtomicBool,
}

/// A running crowd. Its connections are closed when it is dropped.
#[derive(Debug)]
struct Crowd {
    state: Arc<State>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Crowd {
    /// Connects the callers and lets them send.
    fn open(addr: SocketAddr, script: Script) -> Self {
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        let thread = thread::spawn(move || drive(addr, &script, &shared));
        Self { state, thread: Some(thread) }
    }

    /// Waits until the crowd is settled.
    fn settle(&self) {
        let is_settled = self.state.is_settled.lock().expect("the crowd's state");
        let wait = self.state.settled.wait_timeout_while(is_settled, SETTLE_LIMIT, |is| !*is);
        drop(wait.expect("the crowd's state"));
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.state.is_over.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn drive(addr: SocketAddr, script: &Script, state: &State) {
    let mut callers: Vec<Caller> =
        (0..script.callers).map(|number| open_caller(addr, script, number)).collect();
    let mut progress_at = Instant::now();
    let mut rounds = 0;
    let is_slow = matches!(script.delivery, Delivery::Slow(_));
    while !state.is_over.load(Ordering::Acquire) {
        let mut has_progress = false;
        for caller in &mut callers {
            let max_bytes = match script.delivery.pieces() {
                // The head of a slow caller arrives at once.
                Some(_) if is_slow && caller.sent_bytes == 0 => caller.head.len(),
                Some((pieces, _)) => (caller.to_send_bytes / pieces).max(1),
                None => WRITE_BYTES,
            };
            has_progress |= !caller.is_done() && caller.send(&script.rest, max_bytes);
        }
        if has_progress {
            progress_at = Instant::now();
        }
        rounds += 1;
        let is_slow_enough = is_slow && rounds > SETTLED_PIECES;
        if callers.iter().all(Caller::is_done) || progress_at.elapsed() > QUIET || is_slow_enough {
            *state.is_settled.lock().expect("the crowd's state") = true;
            state.settled.notify_all();
        }
        if let Some((_, pause)) = script.delivery.pieces() {
            thread::sleep(pause);
        } else if !has_progress {
            thread::sleep(RETRY);
        }
    }
}

fn open_caller(addr: SocketAddr, script: &Script, number: usize) -> Caller {
    let stream = TcpStream::connect(addr).ok();
    if let Some(stream) = &stream {
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
    }
    let head = (script.head)(number).into_bytes();
    let bytes = head.len() + script.rest.len();
    let is_short = script.delivery.stops_short() && !number.is_multiple_of(COMPLETE_EACH);
    Caller { stream, head, sent_bytes: 0, to_send_bytes: bytes - usize::from(is_short) }
}

/// Returns a body of this many bytes in chunks.
pub fn chunked(bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let chunk = "x".repeat(chunk_bytes);
    let chunk = format!("{chunk_bytes:x}\r\n{chunk}\r\n");
    let mut body = chunk.repeat(bytes / chunk_bytes).into_bytes();
    body.extend_from_slice(b"0\r\n\r\n");
    body
}

/// Interval between two measurements.
const MEASURE_EACH: Duration = Duration::from_millis(10);

/// The most that a process has held since the measurement began.
#[derive(Debug, Default)]
struct Peaks {
    /// Resident memory and the bytes that the kernel holds for the process because it has not read them.
    memory_bytes: AtomicU64,
    descriptors: AtomicU64,
    is_over: AtomicBool,
}

impl Peaks {
    fn measure(&self, pid: u32, addr: SocketAddr) {
        let memory_bytes = status_bytes(pid, "VmRSS:") + unread_bytes(addr.port());
        self.memory_bytes.fetch_max(memory_bytes, Ordering::Relaxed);
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        self.descriptors.fetch_max(descriptors as u64, Ordering::Relaxed);
    }
}

/// A running measurement of a process.
#[derive(Debug)]
struct Measurement {
    pid: u32,
    addr: SocketAddr,
    peaks: Arc<Peaks>,
}

impl Measurement {
    /// Measures a process and the connections to its address.
    fn open(pid: u32, addr: SocketAddr) -> Self {
        let peaks = Arc::<Peaks>::default();
        let shared = Arc::clone(&peaks);
        thread::spawn(move || {
            while !shared.is_over.load(Ordering::Acquire) {
                shared.measure(pid, addr);
                thread::sleep(MEASURE_EACH);
            }
        });
        Self { pid, addr, peaks }
    }

    /// Checks that the process has stayed within its bounds.
    fn check(&self, max_memory_bytes: u64, max_descriptors: u64) {
        self.peaks.measure(self.pid, self.addr);
        let sampled_bytes = self.peaks.memory_bytes.load(Ordering::Relaxed);
        let memory_bytes = sampled_bytes.max(status_bytes(self.pid, "VmHWM:"));
        let descriptors = self.peaks.descriptors.load(Ordering::Relaxed);
        println!("peak: {memory_bytes} bytes, {descriptors} descriptors");
        assert!(
            memory_bytes <= max_memory_bytes,
            "{memory_bytes} bytes of memory, at most {max_memory_bytes} are allowed"
        );
        assert!(
            descriptors <= max_descriptors,
            "{descriptors} descriptors, at most {max_descriptors} are allowed"
        );
    }
}

impl Drop for Measurement {
    fn drop(&mut self) {
        self.peaks.is_over.store(true, Ordering::Release);
    }
}

/// Returns a line of a process's status that states an amount of memory; zero if the process has ended.
fn status_bytes(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kb.unwrap_or_default() * 1024
}

/// Returns the bytes that have arrived on connections at this local port and have not been read.
fn unread_bytes(port: u16) -> u64 {
    const ESTABLISHED: &str = "01";
    const CLOSE_WAIT: &str = "08";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{port:04X}");
    let lines = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    let unread = lines.filter_map(|fields| {
        let is_own = fields.get(1)?.ends_with(&port);
        let is_open = [ESTABLISHED, CLOSE_WAIT].contains(fields.get(3)?);
        let (_, unread) = fields.get(4)?.split_once(':')?;
        u64::from_str_radix(unread, 16).ok().filter(|_| is_own && is_open)
    });
    unread.sum()
}

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test runs.
pub fn wait_for_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the process of a test may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// In units of 1,000,000 bytes.
    pub memory_mb: u64,
    pub descriptors: u64,
    /// Largest body that it accepts.
    pub body_bytes: usize,
}

/// Lets a crowd send to a process and checks what must hold beside it and after it. `ordinary_request` returns a request
/// of another caller with a body of this size.
pub fn play(
    pid: u32,
    addr: SocketAddr,
    script: Script,
    bounds: Bounds,
    mut ordinary_request: impl FnMut(usize) -> Vec<u8>,
) {
    let measurement = Measurement::open(pid, addr);
    let mut check = |when: &str, body_bytes| {
        let status = status_of(addr, &ordinary_request(body_bytes));
        assert_eq!(status, 200, "{when} the crowd, a body of {body_bytes} bytes");
    };
    let crowd = Crowd::open(addr, script);
    crowd.settle();
    check("beside", 0);
    check("beside", 300);
    check("beside", 16_000);
    drop(crowd);
    check("after", 0);
    check("after", bounds.body_bytes);
    measurement.check(bounds.memory_mb * 1_000_000, bounds.descriptors);
}

/// Longest wait for an answer to an ordinary caller.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Sends a whole request on a new connection and returns the status of its answer; zero if there is none.
fn status_of(addr: SocketAddr, request: &[u8]) -> u16 {
    let answer = || {
        let mut stream = TcpStream::connect_timeout(&addr, ANSWER_LIMIT).ok()?;
        stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
        stream.set_write_timeout(Some(ANSWER_LIMIT)).ok()?;
        stream.write_all(request).ok()?;
        let mut head = Vec::new();
        // A reset after the head is no matter.
        let _ = stream.take(1 << 16).read_to_end(&mut head);
        let head = String::from_utf8_lossy(&head).into_owned();
        head.split(' ').nth(1)?.parse().ok()
    };
    answer().unwrap_or_default()
}
