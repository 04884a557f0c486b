//! Test fixture: starts a fleet of real processes for a test and ends it.

use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// Limit of every wait, which is far above the expected time.
pub const MAX_WAIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// Returns the path of a binary, which is in the folder above that of the test binary.
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a running test has a path");
    let folder = own.parent().and_then(|deps| deps.parent()).expect("target/PROFILE/deps");
    folder.join(name)
}

/// Waits until `condition` returns a value.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + MAX_WAIT;
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        std::thread::sleep(POLL);
    }
}

/// Timeout of a single status or model list request.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the last answer and the status of an entry when a test fails during a wait.
struct FailureReport<'a> {
    last: &'a RefCell<String>,
    entry: &'a Daemon,
}

impl Drop for FailureReport<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("last answer: {}; status: {}", self.last.borrow(), self.entry.status());
        }
    }
}

/// A process of this test, which is killed when dropped.
pub struct Process {
    child: Child,
    pub first_line: String,
}

impl Process {
    pub fn spawn(name: &str, arguments: &[&str]) -> Self {
        Self::start(name, Command::new(binary(name)).args(arguments))
    }

    /// Starts a process that may open this number of descriptors.
    fn spawn_limited(name: &str, arguments: &[&str], max_descriptors: u64) -> Self {
        let (program, arguments) = (binary(name), arguments.join(" "));
        let script =
            format!("ulimit -n {max_descriptors} && exec {} {arguments}", program.display());
        Self::start(name, Command::new("sh").args(["-c", &script]))
    }

    fn start(name: &str, command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {name}: {error}"));
        let mut output = BufReader::new(child.stdout.take().expect("piped"));
        let mut first_line = String::new();
        output.read_line(&mut first_line).expect("the process prints its address");
        // The rest of the output is read, so that the process never blocks on a full pipe.
        std::thread::spawn(move || {
            let _ = std::io::copy(&mut output, &mut std::io::sink());
        });
        Self { child, first_line }
    }

    #[allow(dead_code, reason = "only the tests of abusive callers measure the process")]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has exited.
    #[allow(dead_code, reason = "only the tests of abusive callers check it")]
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, signal: Signal) {
        signal::kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process lives");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits; returns the exit code.
    pub fn wait(&mut self) -> i32 {
        wait_for("a process ends", || self.child.try_wait().expect("own child"))
            .code()
            .unwrap_or(-1)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A stand-in process with its address.
pub struct Standin {
    pub process: Process,
    pub url: String,
}

impl Standin {
    pub fn spawn(arguments: &[&str]) -> Self {
        let process = Process::spawn("briarwinch-standin", arguments);
        let addr = process.first_line.trim().strip_prefix("listening ").expect("its address");
        Self { url: format!("http://{addr}"), process }
    }

    /// Returns what the stand-in has recorded.
    pub fn record(&self) -> Value {
        get_json(&format!("{}/record", self.url))
    }
}

/// A daemon process with its addresses.
pub struct Daemon {
    pub process: Process,
    pub peer_addr: String,
    pub admin_url: String,
    pub work_addr: String,
    pub id: String,
}

impl Daemon {
    fn spawn(binary: &str, settings: &Value, max_descriptors: Option<u64>) -> Self {
        let folder = std::env::temp_dir();
        let name =
            format!("briarwinch-test-{}-{:x}.jsonc", std::process::id(), rand::random::<u64>());
        let file = folder.join(name);
        std::fs::write(&file, settings.to_string()).expect("the folder for temporary files");
        let arguments = ["--settings", &file.display().to_string()];
        let process = match max_descriptors {
            None => Process::spawn(binary, &arguments),
            Some(count) => Process::spawn_limited(binary, &arguments, count),
        };
        std::fs::remove_file(&file).expect("written above");
        let line: Value = serde_json::from_str(&process.first_line).expect("a line of JSON");
        let text = |name: &str| line[name].as_str().expect("an address").to_owned();
        Self {
            peer_addr: text("peer_addr"),
            admin_url: format!("http://{}", text("admin_addr")),
            work_addr: text("work_addr"),
            id: text("daemon"),
            process,
        }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.work_addr)
    }

    pub fn is_ready(&self) -> bool {
        ureq::get(&format!("{}/ready", self.admin_url)).call().is_ok()
    }

    pub fn status(&self) -> Value {
        get_json(&format!("{}/status", self.admin_url))
    }

    pub fn metrics(&self) -> String {
        let answer = ureq::get(&format!("{}/metrics", self.admin_url)).call();
        answer.expect("metrics").into_string().expect("text")
    }

    /// Returns the value of a metric, summed over its labels.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self.metrics();
        let lines = text.lines().filter(|line| line.starts_with(name) && !line.starts_with('#'));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

pub fn get_json(url: &str) -> Value {
    let answer = ureq::get(url)
        .timeout(CALL_TIMEOUT)
        .call()
        .unwrap_or_else(|error| panic!("{url}: {error}"));
    answer.into_json().expect("JSON")
}

/// Returns the default configuration of the tests.
pub fn config() -> Value {
    json!({
        "classes": {
            "hearing-summary": {"latency_target_ms": 2000, "priority": 90, "protected": true},
            "payment": {"latency_target_ms": 2000, "priority": 80},
            "lookup": {"latency_target_ms": 5000, "priority": 10},
        },
        "services": {
            "juru-tulis": {
                "kind": "engine", "models": ["juru-tulis"], "default_class": "lookup",
            },
            "loket": {"kind": "plain", "default_class": "lookup", "repeatable": false},
        },
        "accounts": {"court": {"share": 2}, "press": {}},
        "billing": {"window_s": 2, "grace_s": 1},
    })
}

/// The size and settings of a fleet.
#[derive(Clone)]
pub struct FleetOptions {
    pub entries: usize,
    pub engines: usize,
    pub token_ms: u64,
    pub engine_slots: usize,
    pub config: Value,
    pub lag_ms: u64,
    pub drain_ms: u64,
    pub linger_ms: u64,
    /// Duration of a call to the plain service.
    pub call_ms: u64,
    /// Largest body that the entries accept.
    pub max_body_bytes: usize,
    /// Most descriptors that each entry may open; `None` leaves the limit as it is.
    pub max_descriptors: Option<u64>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            token_ms: 10,
            engine_slots: 64,
            config: config(),
            lag_ms: 500,
            drain_ms: 30_000,
            linger_ms: 10_000,
            call_ms: 5,
            max_body_bytes: 100_000,
            max_descriptors: None,
        }
    }
}

/// A running fleet: the platform, engines and a plain service with one side each, and entries.
pub struct Fleet {
    pub platform: Standin,
    pub engines: Vec<Standin>,
    pub service: Standin,
    /// The side of each engine, then that of the service.
    pub sides: Vec<Daemon>,
    pub entries: Vec<Daemon>,
    pub options: FleetOptions,
    seeds: Vec<String>,
    /// Unique to this fleet. A daemon of another test may get a port that a daemon of this fleet has
    /// used; with a common secret this fleet would accept its newer versions.
    secret: String,
}

impl Fleet {
    /// Starts a fleet and waits until it is ready.
    pub fn start(options: FleetOptions) -> Self {
        Self::start_with(options, format!("a secret of the tests, {:x}", rand::random::<u64>()))
    }

    /// Starts a fleet with a secret that other fleets may share.
    pub fn start_with(options: FleetOptions, secret: String) -> Self {
        let lag = options.lag_ms.to_string();
        let platform = Standin::spawn(&["platform", "--lag-ms", &lag]);
        let token_ms = options.token_ms.to_string();
        let slots = options.engine_slots.to_string();
        let call_ms = options.call_ms.to_string();
        let engine = || Standin::spawn(&["engine", "--token-ms", &token_ms, "--slots", &slots]);
        let mut fleet = Self {
            platform,
            engines: (0..options.engines).map(|_| engine()).collect(),
            service: Standin::spawn(&["service", "--call-ms", &call_ms]),
            sides: Vec::new(),
            entries: Vec::new(),
            options,
            seeds: Vec::new(),
            secret,
        };
        for number in 0..fleet.options.entries {
            let entry = fleet.spawn_entry(&format!("entry-{number}"));
            fleet.seeds.push(entry.peer_addr.clone());
            fleet.entries.push(entry);
        }
        for number in 0..fleet.options.engines {
            let url = fleet.engines[number].url.clone();
            let side = fleet.spawn_side(&format!("side-{number}"), "juru-tulis", &url);
            fleet.sides.push(side);
        }
        let url = fleet.service.url.clone();
        let side = fleet.spawn_side("side-loket", "loket", &url);
        fleet.sides.push(side);
        let config = fleet.options.config.to_string();
        assert_eq!(fleet.apply(&config).0, 0, "the configuration is accepted");
        fleet.wait_until_connected();
        fleet
    }

    /// Waits until every daemon is ready and every entry knows all sides.
    pub fn wait_until_connected(&self) {
        let daemons = self.entries.len() + self.sides.len();
        wait_for("all daemons know each other", || {
            self.entries
                .iter()
                .chain(&self.sides)
                .all(|daemon| {
                    let status = daemon.status();
                    let members = status["members"].as_array().map_or(0, Vec::len);
                    status["ready"] == true && members >= daemons
                })
                .then_some(())
        });
    }

    pub fn daemon_settings(&self, id: &str) -> Value {
        json!({
            "id": id, "region": "jawa", "zone": "jkt",
            "peer_addr": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
            "platform_url": self.platform.url, "fleet_secret": self.secret,
            "seeds": self.seeds, "drain_ms": self.options.drain_ms,
        })
    }

    pub fn spawn_entry(&self, id: &str) -> Daemon {
        self.spawn_entry_with(&self.daemon_settings(id))
    }

    /// Starts a side at a peer address that another daemon has used.
    pub fn spawn_side_at(&self, id: &str, peer_addr: &str) -> Daemon {
        let mut daemon = self.daemon_settings(id);
        daemon["peer_addr"] = peer_addr.into();
        self.spawn_side_with(&daemon, "loket", &self.service.url)
    }

    /// Starts an entry whose platform address is unreachable.
    pub fn spawn_entry_without_store(&self, id: &str) -> Daemon {
        let mut daemon = self.daemon_settings(id);
        daemon["platform_url"] = "http://127.0.0.1:1".into();
        self.spawn_entry_with(&daemon)
    }

    fn spawn_entry_with(&self, daemon: &Value) -> Daemon {
        let settings = json!({
            "daemon": daemon,
            "listen_addr": "127.0.0.1:0",
            "max_body_bytes": self.options.max_body_bytes,
            "request_arrival_ms": 2000,
        });
        Daemon::spawn("briarwinch-entry", &settings, self.options.max_descriptors)
    }

    pub fn spawn_side(&self, id: &str, service: &str, url: &str) -> Daemon {
        self.spawn_side_with(&self.daemon_settings(id), service, url)
    }

    fn spawn_side_with(&self, daemon: &Value, service: &str, url: &str) -> Daemon {
        let id = daemon["id"].as_str().expect("an id");
        let settings = json!({
            "daemon": daemon,
            "work_addr": "127.0.0.1:0",
            "linger_ms": self.options.linger_ms,
            "endpoints": [{"id": format!("{service}-of-{id}"), "service": service, "url": url}],
        });
        Daemon::spawn("briarwinch-side", &settings, None)
    }

    /// Runs the operator's tool; returns its exit code and output.
    pub fn operate(&self, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(binary("briarwinch"))
            .args(["--platform", &self.platform.url, "--admin", &self.entries[0].admin_url])
            .args(arguments)
            .output()
            .expect("the operator's tool starts");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).expect("text").trim().to_owned();
        (output.status.code().unwrap_or(-1), text)
    }

    pub fn apply(&self, text: &str) -> (i32, String) {
        let name =
            format!("briarwinch-text-{}-{:x}.jsonc", std::process::id(), rand::random::<u64>());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, text).expect("the folder for temporary files");
        let outcome = self.operate(&["apply", &file.display().to_string()]);
        std::fs::remove_file(&file).expect("written above");
        outcome
    }

    /// Grants a key and waits until all entries know it.
    pub fn grant(&self, account: &str) -> String {
        let (code, key) = self.operate(&["keys", "grant", account]);
        assert_eq!(code, 0, "{key}");
        for entry in &self.entries {
            let last = RefCell::new(String::new());
            let _report = FailureReport { last: &last, entry };
            wait_for("an entry knows the key", || {
                let models = ureq::get(&format!("{}/v1/models", entry.url()));
                // Without the timeout a call that hangs would look like a key that never arrives.
                let models =
                    models.timeout(CALL_TIMEOUT).set("authorization", &format!("Bearer {key}"));
                let answer = models.call();
                *last.borrow_mut() =
                    answer.as_ref().map_or_else(ToString::to_string, |_| String::new());
                answer.is_ok().then_some(())
            });
        }
        key
    }

    pub fn withdraw(&self, key: &str) {
        let id = key.split('_').nth(1).expect("bw_ID_SECRET");
        let (code, text) = self.operate(&["keys", "withdraw", id]);
        assert_eq!(code, 0, "{text}");
    }

    /// Sets the faults that the platform injects.
    pub fn fail_platform(&self, faults: &Value) {
        let url = format!("{}/control/faults", self.platform.url);
        ureq::post(&url).send_json(faults).expect("the stand-in accepts the change");
    }

    /// Sets the state of an instance or endpoint in the platform's list, which lags.
    pub fn list_instance(&self, id: &str, standing: &str) {
        let url = format!("{}/control/instances", self.platform.url);
        let line = json!({"id": id, "standing": standing});
        ureq::post(&url).send_json(line).expect("the stand-in accepts the change");
    }

    /// Returns the number of requests that all engines have run.
    pub fn engine_runs(&self) -> u64 {
        let runs = |engine: &Standin| {
            let record = engine.record();
            let runs = record["runs"].as_object().cloned().unwrap_or_default();
            runs.values().filter_map(Value::as_u64).sum::<u64>()
        };
        self.engines.iter().map(runs).sum()
    }

    /// Returns whether an engine or the service has run the request with this identifier.
    pub fn has_run(&self, request: &str) -> bool {
        let mut standins = self.engines.iter().chain([&self.service]);
        standins.any(|standin| !standin.record()["runs"][request].is_null())
    }
}
