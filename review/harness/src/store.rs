//! The platform's store of objects, and its interface for the duty holder's calls.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Request, Server};
use crate::record::Record;

const OBJECTS: &str = "/briarwinch/objects/";
/// Objects in a page of a list.
const PAGE: usize = 500;

type Key = (String, String);

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    is_deleted: bool,
}

/// What the store holds; also a copy of it.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    revision: u64,
    objects: BTreeMap<Key, Value>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct State {
    contents: Contents,
    era: u64,
    is_down: bool,
    /// What operators and runners wrote last, which they write again after a fall.
    written: BTreeMap<Key, Value>,
}

/// A call of the duty holder.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
    pub at: Instant,
}

impl DutyCall {
    pub fn window(&self) -> u64 {
        self.body["window_id"].as_u64().unwrap_or(0)
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    calls: Arc<Mutex<Vec<DutyCall>>>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let contents = Contents { revision: 7, ..Contents::default() };
        let state = State { contents, era: 1, is_down: false, written: BTreeMap::new() };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            calls: Arc::default(),
            record: record.clone(),
        }
    }

    /// Listens for calls to the store and for the duty holder's calls.
    pub fn listen(&self, ip: IpAddr) -> (SocketAddr, SocketAddr) {
        let (store, duties) = (self.clone(), self.clone());
        let objects = Server::open(ip, move |request, stream| store.answer(request, stream));
        let calls = Server::open(ip, move |request, stream| duties.answer_duty(request, stream));
        (objects.addr, calls.addr)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the store's state")
    }

    /// Writes an object as operators and runners do.
    pub fn write(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = self.state();
        state.written.insert((kind.to_owned(), name.to_owned()), spec.clone());
        if !state.is_down {
            put(&mut state.contents, kind, name, spec);
            self.state.1.notify_all();
        }
    }

    /// Writes what operators and runners wrote last, where the store differs from it.
    pub fn write_again(&self) {
        let mut state = self.state();
        let written: Vec<(Key, Value)> =
            state.written.iter().map(|(key, spec)| (key.clone(), spec.clone())).collect();
        for ((kind, name), spec) in written {
            put(&mut state.contents, &kind, &name, &spec);
        }
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Contents {
        self.record
            .line(format!("store: copy taken at revision {}", self.state().contents.revision));
        self.state().contents.clone()
    }

    /// Answers 503 to all calls, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.record.line(format!("store: down {is_down}"));
        self.state().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Comes back from a copy: what was written since is lost, and revisions are given out again.
    pub fn restore(&self, copy: &Contents) {
        let mut state = self.state();
        let before = state.contents.revision;
        state.contents = copy.clone();
        state.era += 1;
        state.is_down = false;
        self.record.line(format!(
            "store: back from the copy, era {}, revision {before} -> {}",
            state.era, copy.revision
        ));
        self.state.1.notify_all();
    }

    pub fn spec(&self, kind: &str, name: &str) -> Value {
        let state = self.state();
        let object = state.contents.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or(Value::Null, |object| object["spec"].clone())
    }

    /// The calls that the platform has accepted.
    pub fn duty_calls(&self) -> Vec<DutyCall> {
        self.calls.lock().expect("the calls").clone()
    }

    fn answer_duty(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let call = DutyCall {
            path: request.path().to_owned(),
            holder: request.header("x-duty-holder").unwrap_or_default().to_owned(),
            fence: request.header("x-fence-token").and_then(|one| one.parse().ok()).unwrap_or(0),
            body: serde_json::from_slice(&request.body).unwrap_or_default(),
            at: Instant::now(),
        };
        self.record.line(format!(
            "platform: {} holder={} token={} {}",
            call.path, call.holder, call.fence, call.body
        ));
        self.calls.lock().expect("the calls").push(call);
        http::answer(stream, 200, &[("content-type", "application/json")], b"{}")
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let (status, body, era) =
            if request.query("watch").is_some() { self.watch(request) } else { self.call(request) };
        let (era, body) = (era.to_string(), body.to_string());
        let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
        http::answer(stream, status, &headers, body.as_bytes())
    }

    fn call(&self, request: &Request) -> (u16, Value, u64) {
        let rest = request.path().strip_prefix(OBJECTS).unwrap_or_default();
        let mut parts = rest.splitn(3, '/');
        let mut part = || parts.next().unwrap_or_default().to_owned();
        let (kind, name, sub) = (part(), part(), part());
        let document: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.state();
        let era = state.era;
        if state.is_down {
            return (503, json!({}), era);
        }
        let key = (kind.clone(), name.clone());
        let contents = &mut state.contents;
        let held = contents.objects.get(&key).cloned();
        let (status, body) = match (request.method.as_str(), held) {
            ("GET", _) if name.is_empty() => list(contents, &kind, request.query("after")),
            ("GET", Some(object)) => (200, object),
            ("POST", _) => {
                let name = document["metadata"]["name"].as_str().unwrap_or_default();
                match contents.objects.get(&(kind.clone(), name.to_owned())) {
                    Some(object) => (409, object.clone()),
                    None => (200, put(contents, &kind, name, &document["spec"])),
                }
            }
            ("PUT", Some(object)) => {
                let expected = &document["metadata"]["revision"];
                if !expected.is_null() && *expected != object["metadata"]["revision"] {
                    (409, object)
                } else if sub.is_empty() {
                    (200, put(contents, &kind, &name, &document["spec"]))
                } else {
                    (200, object)
                }
            }
            ("DELETE", Some(object)) => {
                let expected = request.query("revision").and_then(|one| one.parse::<u64>().ok());
                if expected.is_some_and(|one| object["metadata"]["revision"] != one) {
                    (409, object)
                } else {
                    remove(contents, &key);
                    (200, json!({}))
                }
            }
            _ => (404, json!({})),
        };
        drop(state);
        self.state.1.notify_all();
        (status, body, era)
    }

    fn watch(&self, request: &Request) -> (u16, Value, u64) {
        let kind = request.path().strip_prefix(OBJECTS).unwrap_or_default().to_owned();
        let number =
            |name| request.query(name).and_then(|one| one.parse::<u64>().ok()).unwrap_or(0);
        let from = number("watch");
        let end = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.state();
        loop {
            if state.is_down {
                return (503, json!({}), state.era);
            }
            let contents = &state.contents;
            if from > contents.revision {
                return (410, json!({}), state.era);
            }
            let new = contents.changes.iter().filter(|one| one.kind == kind && one.revision > from);
            let events: Vec<Value> =
                new.map(|one| json!({"object": one.object, "deleted": one.is_deleted})).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = json!({"events": events, "as_of": contents.revision});
                return (200, body, state.era);
            }
            state = self.state.1.wait_timeout(state, end - now).expect("the state").0;
        }
    }
}

fn put(contents: &mut Contents, kind: &str, name: &str, spec: &Value) -> Value {
    let key = (kind.to_owned(), name.to_owned());
    let held = contents.objects.get(&key);
    if let Some(held) = held.filter(|held| held["spec"] == *spec) {
        return held.clone();
    }
    let created = held
        .map_or(contents.revision + 1, |one| one["metadata"]["created_rev"].as_u64().unwrap_or(1));
    contents.revision += 1;
    let object = json!({
        "metadata": {"name": name, "revision": contents.revision, "created_rev": created,
            "finalizers": [], "deleting": false},
        "spec": spec, "status": null,
    });
    contents.objects.insert(key, object.clone());
    let revision = contents.revision;
    contents.changes.push(Change {
        revision,
        kind: kind.into(),
        object: object.clone(),
        is_deleted: false,
    });
    object
}

fn remove(contents: &mut Contents, key: &Key) {
    if let Some(object) = contents.objects.remove(key) {
        contents.revision += 1;
        let revision = contents.revision;
        contents.changes.push(Change { revision, kind: key.0.clone(), object, is_deleted: true });
    }
}

fn list(contents: &Contents, kind: &str, after: Option<&str>) -> (u16, Value) {
    let of_kind = contents
        .objects
        .iter()
        .filter(|((one, name), _)| one == kind && after.is_none_or(|after| name.as_str() > after));
    let mut items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
    let has_more = items.len() > PAGE;
    items.truncate(PAGE);
    (200, json!({"items": items, "has_more": has_more, "as_of": contents.revision}))
}
