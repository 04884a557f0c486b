//! Entries as processes, started with the command of the deploy file, with settings like those of a small deployment.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};

use crate::client;
use crate::record::{self, Record};

/// The command of the deploy file, run in the root of the repository.
const COMMAND: &str = "target/release/briarwinch-gateway";

/// Loopback addresses, ports and settings of one fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    net: [u8; 2],
    internal_ports: [u16; 2],
    store: SocketAddr,
    duties: SocketAddr,
    folder: PathBuf,
    /// Fields that replace those of the settings.
    pub settings: Value,
}

impl Fleet {
    pub fn new(store: SocketAddr, duties: SocketAddr) -> Self {
        let net = net();
        let internal_ports = internal_ports(net);
        let folder = std::env::temp_dir().join(record::folder_name());
        fs::create_dir_all(&folder).expect("the temporary folder");
        Self { net, internal_ports, store, duties, folder, settings: json!({}) }
    }

    fn ip(&self, number: u8) -> IpAddr {
        IpAddr::from([127, self.net[0], self.net[1], number])
    }

    /// Prepares an entry: its addresses and its settings file.
    pub fn entry(&self, number: u8, zone: &str) -> Entry {
        let ip = self.ip(number);
        let [callers, ready] = [free_addr(ip), free_addr(ip)];
        let seeds: Vec<SocketAddr> =
            [1, 2].map(|one| SocketAddr::new(self.ip(one), self.internal_ports[0])).to_vec();
        let id = format!("front-{zone}-{number}");
        let mut settings = json!({
            "id": id, "region": "kerala-central", "zone": zone, "ip": ip,
            "listen_addr": callers, "ready_addr": ready, "internal_ports": self.internal_ports,
            "seeds": seeds, "store_addr": self.store, "duties_addr": self.duties,
            "fleet_secret": format!("briarwinch of the review {}", std::process::id()),
            "retries": {"ratio": 0.2, "extra": 52, "window_s": 10},
            "billing_window_s": 5, "leave_ms": 2000,
            "overload_control": {"asked_for_by": ["pressure"], "rules": ["base", "drain", "config",
                "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"]},
            "memory_mb": 110, "stop_s": 8, "cores": 0.19,
        });
        for (name, value) in self.settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let file = self.folder.join(format!("{id}.jsonc"));
        fs::write(&file, settings.to_string()).expect("the settings are written");
        Entry { id, callers, ready, file, child: None, starts: 0 }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The second and third byte of loopback addresses that no other run on this machine has at this time.
pub fn net() -> [u8; 2] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    [64 | (high & 63), low]
}

/// The loopback address of the stand-ins.
pub fn servers_ip() -> IpAddr {
    let [high, low] = net();
    IpAddr::from([127, high, low, 200])
}

fn free_addr(ip: IpAddr) -> SocketAddr {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().expect("an address")
}

fn internal_ports(net: [u8; 2]) -> [u16; 2] {
    let ips: Vec<IpAddr> =
        (1..=4).map(|number| IpAddr::from([127, net[0], net[1], number])).collect();
    let is_free = |port: u16| {
        let mut ips = ips.iter();
        ips.all(|ip| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok())
    };
    let mut free = (0..200).map(|_| free_addr(ips[0]).port()).filter(|port| is_free(*port));
    let first = free.next().expect("a free port");
    let second = free.find(|port| *port != first).expect("a second free port");
    [first.min(second), first.max(second)]
}

/// One entry, which can be started again at its addresses.
#[derive(Debug)]
pub struct Entry {
    pub id: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Entry {
    pub fn start(&mut self, record: &Record) {
        self.starts += 1;
        let output = match std::env::var("KEEP_LOGS") {
            Ok(folder) => {
                let path = format!("{folder}/{}-{}.log", self.id, self.starts);
                Stdio::from(File::create(path).expect("the log is created"))
            }
            Err(_) => Stdio::null(),
        };
        let child = Command::new(COMMAND)
            .env_clear()
            .env("BRIARWINCH_BOOT", &self.file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn();
        self.child = child.ok();
        record.line(format!("{}: started as process {}", self.id, self.pid().unwrap_or(0)));
    }

    pub fn is_ready(&self) -> bool {
        client::get(self.ready, "/briarwinch/readiness") == Some(200)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str, record: &Record) {
        if let Some(pid) = self.pid() {
            record.line(format!("{}: SIG{name}", self.id));
            let _ = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
        }
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the exit; kills the process after the limit, as the platform does.
    pub fn wait_for_exit(&mut self, limit_ms: u64, record: &Record) {
        let end = std::time::Instant::now() + std::time::Duration::from_millis(limit_ms);
        while !self.has_exited() && std::time::Instant::now() < end {
            crate::sleep_ms(10);
        }
        self.kill();
        record.line(format!("{}: exited", self.id));
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let status =
            self.pid().and_then(|pid| fs::read_to_string(format!("/proc/{pid}/status")).ok());
        let line = status
            .as_deref()
            .and_then(|text| text.lines().find_map(|one| one.strip_prefix("VmRSS:")));
        let kib = line.and_then(|one| one.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
