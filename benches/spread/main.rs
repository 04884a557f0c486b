//! Measures how fast a configuration change reaches all daemons, and what replication costs a daemon in
//! bytes and processor time. The daemons are control threads in this process on loopback; each change
//! is sent to one of them.
//!
//! `cargo bench --bench spread` prints one JSON line for each number of daemons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use briarwinch::gossip::SharedState;
use briarwinch::{control, hub, link, membership, seal, settings, sockets, wire};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task;

const SECRET: &str = "a secret of the benches";
const IDLE_PERIOD: Duration = Duration::from_secs(8);
const CHANGE_COUNT: u64 = 5;
const DAEMON_COUNTS: [usize; 5] = [10, 20, 40, 80, 160];

struct Daemon {
    hub: Arc<hub::Hub>,
    addr: SocketAddr,
}

fn main() {
    for count in DAEMON_COUNTS {
        measure(count);
    }
}

fn settings(number: usize, seeds: Vec<SocketAddr>) -> settings::Daemon {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    settings::Daemon {
        id: format!("daemon-{number}").into(),
        region: "r".into(),
        zone: format!("zone-{}", number % 7).into(),
        peer_addr: any,
        admin_addr: any,
        // No platform listens there, so that only the traffic between the daemons is measured.
        platform_url: "http://127.0.0.1:1".to_owned(),
        fleet_secret: SECRET.to_owned(),
        seeds,
        drain_ms: 1_000,
        traces: settings::Traces::Off,
    }
}

fn spawn(number: usize, seeds: Vec<SocketAddr>) -> Daemon {
    let mut settings = settings(number, seeds);
    let sockets = sockets::TcpUdpPair::bind(&mut settings.peer_addr).expect("a free port");
    let addr = settings.peer_addr;
    let hub = Arc::new(hub::Hub::default());
    let identity = control::Identity {
        role: membership::Role::Side,
        work_addr: None,
        endpoints: Vec::new(),
        boot: number as u64,
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    control::spawn(settings, identity, Arc::clone(&hub), log, sockets).expect("a thread");
    Daemon { hub, addr }
}

/// User and system time of this process.
fn cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10.0
}

fn bytes_out(daemons: &[Daemon]) -> u64 {
    daemons.iter().map(|daemon| daemon.hub.bytes_out.load(Ordering::Relaxed)).sum()
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(120);
    while !done() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn measure(count: usize) {
    let first = spawn(0, Vec::new());
    let seeds = vec![first.addr];
    let mut daemons = vec![first];
    for number in 1..count {
        daemons.push(spawn(number, seeds.clone()));
    }
    let known_members =
        |daemon: &Daemon| daemon.hub.shared.lock().map_or(0, |shared| shared.fleet.len());
    wait_until("all daemons to know each other", || {
        daemons.iter().all(|daemon| known_members(daemon) >= count)
    });
    std::thread::sleep(Duration::from_secs(2));

    let (bytes, cpu) = (bytes_out(&daemons), cpu_ms());
    std::thread::sleep(IDLE_PERIOD);
    let per_daemon_s = count as f64 * IDLE_PERIOD.as_secs_f64();
    let idle_bytes_per_s = (bytes_out(&daemons) - bytes) as f64 / per_daemon_s;
    let idle_cpu_ppm = (cpu_ms() - cpu) / 1000.0 / per_daemon_s * 1e6;

    let mut durations_ms: Vec<u64> = Vec::new();
    let bytes = bytes_out(&daemons);
    for version in 1..=CHANGE_COUNT {
        let begin = Instant::now();
        announce_config(daemons[version as usize % count].addr, version);
        wait_until("the change to reach all daemons", || {
            daemons.iter().all(|daemon| daemon.hub.snapshot.load().config_version() >= version)
        });
        durations_ms.push(begin.elapsed().as_millis() as u64);
    }
    let change_bytes = (bytes_out(&daemons) - bytes) as f64 / (count as f64 * CHANGE_COUNT as f64);
    durations_ms.sort_unstable();
    println!(
        "{}",
        serde_json::json!({
            "daemons": count,
            "change_to_all_median_ms": durations_ms[durations_ms.len() / 2],
            "change_to_all_worst_ms": durations_ms[durations_ms.len() - 1],
            "change_bytes_a_daemon": change_bytes.round(),
            "idle_bytes_per_s_a_daemon": idle_bytes_per_s.round(),
            "idle_cpu_ppm_of_a_core_a_daemon": idle_cpu_ppm.round(),
        })
    );
}

/// Delivers a new configuration to a daemon from a separate thread, which acts as a peer that
/// already has it.
fn announce_config(addr: SocketAddr, version: u64) {
    std::thread::spawn(move || {
        let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
        runner.block_on(announce_and_serve(addr, version));
    });
}

async fn announce_and_serve(addr: SocketAddr, version: u64) {
    let secret = seal::Secret::fleet(SECRET);
    let mut own: SocketAddr = ([127, 0, 0, 1], 0).into();
    let sockets = sockets::TcpUdpPair::bind(&mut own).expect("a free port");
    let listener = TcpListener::from_std(sockets.tcp).expect("a listener");
    let udp = UdpSocket::from_std(sockets.udp).expect("a socket");
    let mut shared = SharedState::default();
    let target_ms = version + 100;
    let text = format!(
        "{{\"classes\": {{\"c\": {{\"latency_target_ms\": {target_ms}, \"priority\": 1}}}}, \
         \"services\": {{}}, \"accounts\": {{}}}}"
    );
    shared.merge_config(wire::ConfigText { version, text });
    let digest = wire::Datagram::Digest(shared.digest(own, true));
    let bytes = seal::seal_datagram(&secret, &digest).expect("a digest that fits a datagram");
    let shared = Rc::new(shared);
    udp.send_to(&bytes, addr).await.expect("a send on loopback");
    for _ in 0..64 {
        let accept = tokio::time::timeout(Duration::from_secs(3), listener.accept());
        let Ok(Ok((stream, _))) = accept.await else {
            return;
        };
        let (shared, secret) = (Rc::clone(&shared), secret.clone());
        task::spawn_local(async move {
            let Ok(mut link) = link::accept(stream, &secret, &"teller".into()).await else {
                return;
            };
            while let Ok(Some(pull)) = link.inbox.next::<wire::Pull>().await {
                link.outbox.send(&shared.update_for(&pull));
            }
        });
    }
}
