//! Runners: an application service that answers at once, and a model runner that streams events.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

use serde_json::{Value, json};

use crate::http::{self, Request, Server};
use crate::record::Record;
use crate::store::Store;
use crate::{entry, sleep_ms, unix_ms};

pub const LEDGER: &str = "coop-ledger";
pub const MODELS: &str = "sward-models";

/// Requests that a runner of the application service works on at a time, and that wait there; time for each.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: u64 = 15;

/// The requests at a runner: those that it works on and all of them.
#[derive(Clone, Default)]
struct Places(Arc<(Mutex<(usize, usize)>, Condvar)>);

impl Places {
    /// Waits for a slot; `None` if the queue is full.
    fn enter(&self) -> Option<Place> {
        let mut counts = self.0.0.lock().expect("the places");
        if counts.1 >= SLOTS + QUEUE {
            return None;
        }
        counts.1 += 1;
        counts = self.0.1.wait_while(counts, |counts| counts.0 >= SLOTS).expect("the places");
        counts.0 += 1;
        Some(Place(self.clone()))
    }
}

/// A slot, until it is dropped.
struct Place(Places);

impl Drop for Place {
    fn drop(&mut self) {
        let mut counts = self.0.0.0.lock().expect("the places");
        counts.0 -= 1;
        counts.1 -= 1;
        drop(counts);
        self.0.0.1.notify_one();
    }
}

/// The configuration of the scripts, with routes like those of the users' pages.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, target_ms: u64| {
        json!({
            "name": name, "host": crate::client::HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "service": service, "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1,
            "max_attempts": 2, "public": false, "resumable": kind == "streaming", "gap_aim_ms": 500,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("reading-fetch", "idempotent", LEDGER, 800, 100),
            route("ledger-entry", "non_idempotent", LEDGER, 1500, 100),
            route("season-summary", "streaming", MODELS, 8000, 1000),
        ],
        "services": [
            {"name": LEDGER, "health_path": "/health", "max_connections": 96},
            {"name": MODELS, "health_path": "/health", "max_connections": 610,
             "engine": {"slots": 128, "kv_capacity": 765_403, "stride": 5}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "court", "api_keys": ["key-court"]},
            {"name": "press", "api_keys": ["key-press"]},
        ],
    })
}

/// One runner, which can end and start again at its address.
#[derive(Clone)]
pub struct Runner {
    pub id: &'static str,
    service: &'static str,
    zone: &'static str,
    version: Arc<Mutex<&'static str>>,
    born: Arc<AtomicU64>,
    server: Server,
}

impl Runner {
    /// A runner of the application service: it works on [`SLOTS`] requests at a time, lets [`QUEUE`] more wait, and turns
    /// away what comes beyond that.
    pub fn ledger(id: &'static str, zone: &'static str, record: &Record) -> Self {
        let record = record.clone();
        let places = Places::default();
        Self::open(id, LEDGER, zone, move |_, request, stream| {
            let request_id = request.header("x-request-id").unwrap_or_default();
            let Some(_place) = places.enter() else {
                let headers = [("x-request-id", request_id), ("x-not-executed", "1")];
                return http::answer(stream, 503, &headers, b"");
            };
            sleep_ms(WORK_MS);
            record.line(format!("{id}: ran {request_id} ({} bytes)", request.body.len()));
            let headers =
                [("x-request-id", request_id), ("x-response-seal", id), ("x-server-load", "1,0,6")];
            http::answer(stream, 200, &headers, b"recorded")
        })
    }

    /// A runner that streams this number of events, each with the version of its software.
    pub fn model(
        id: &'static str,
        zone: &'static str,
        events: u64,
        pause_ms: u64,
        record: &Record,
    ) -> Self {
        let record = record.clone();
        Self::open(id, MODELS, zone, move |version, request, stream| {
            let request_id = request.header("x-request-id").unwrap_or_default();
            let after =
                request.header("last-event-id").and_then(|one| one.parse().ok()).unwrap_or(0);
            record.line(format!("{id} ({version}): runs {request_id} from event {}", after + 1));
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
                 x-request-id: {request_id}\r\nx-response-seal: {id}\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for event in after + 1..=events {
                let text = format!("id: {event}\ndata: {id} {version}\n\n");
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                sleep_ms(pause_ms);
            }
            stream.write_all(b"0\r\n\r\n")
        })
    }

    /// A runner with a handler of its own for requests.
    pub fn open(
        id: &'static str,
        service: &'static str,
        zone: &'static str,
        handler: impl Fn(&'static str, &Request, &mut TcpStream) -> io::Result<()>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        let version = Arc::new(Mutex::new("v1"));
        let current = Arc::clone(&version);
        let server = Server::open(entry::servers_ip(), move |request, stream| {
            let version = *current.lock().expect("the version");
            match request.path() {
                "/briarwinch/kv-list" => {
                    http::answer(stream, 200, &[], br#"{"epoch":1,"next":1,"held":[]}"#)
                }
                "/health" => http::answer(stream, 200, &[("x-instance-id", id)], b""),
                _ if request.header("x-expect-instance").is_some_and(|one| one != id) => {
                    http::answer(stream, 421, &[("x-instance-id", id)], b"")
                }
                _ => handler(version, request, stream),
            }
        });
        let born = Arc::new(AtomicU64::new(unix_ms()));
        Self { id, service, zone, version, born, server }
    }

    /// Writes its entry to the store.
    pub fn register(&self, store: &Store) {
        let slots = if self.service == LEDGER { 6 } else { 128 };
        let version = *self.version.lock().expect("the version");
        store.write(
            "servers",
            self.id,
            &json!({
                "service": self.service, "address": self.server.addr.to_string(), "zone": self.zone,
                "version": version, "slots": slots, "state": "ready", "cold_remaining_ms": 0,
                "born": self.born.load(Ordering::SeqCst), "sequence": 1,
            }),
        );
    }

    /// Ends; its connections are closed and its port refuses.
    pub fn crash(&self, record: &Record) {
        record.line(format!("{}: crashed", self.id));
        self.server.crash();
    }

    /// Starts again under its id and at its address, with this version of its software.
    pub fn restart(&self, version: &'static str, store: &Store, record: &Record) {
        *self.version.lock().expect("the version") = version;
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.register(store);
        self.server.restart();
        record.line(format!("{}: started again with software {version}", self.id));
    }
}
