//! Measures the slopes for docs/CAPACITY.md: time and memory of the parts that grow with the fleet, the
//! client accounts, the requests and the streams.
//!
//! `cargo bench --bench slopes` prints one JSON line per slope. Times are the median of several rounds.

mod memory;

use std::hint::black_box;
use std::time::Instant;

use briarwinch::answer::{Answer, AnswerHead, Reader};
use briarwinch::gossip::SharedState;
use briarwinch::queue::{ClassRule, Job, Queue};
use briarwinch::seal::{self, Secret};
use briarwinch::wire::{self, ConfigText};
use briarwinch::{config, keys, membership, sse};

const ROUNDS: usize = 15;
const ACCOUNTS: u32 = 3_400;
const DAEMONS: usize = 340;
const ENDPOINTS: usize = 600;

fn main() {
    queue();
    frames();
    datagrams();
    configuration();
    tables();
    streams();
}

fn print(slope: &str, unit: &str, value: f64) {
    println!(
        "{}",
        serde_json::json!({"slope": slope, "unit": unit, "value": (value * 100.0).round() / 100.0})
    );
}

/// Returns the median time of one step, where `work` does `count` steps.
fn time_ns(count: usize, mut work: impl FnMut()) -> f64 {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let begin = Instant::now();
            work();
            begin.elapsed().as_nanos() as f64 / count as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

/// Returns the heap bytes of one value, where `make` creates `count` values.
fn heap_bytes<T>(count: usize, make: impl FnOnce() -> T) -> f64 {
    let before = memory::allocated_bytes();
    let values = make();
    let allocated = memory::allocated_bytes() - before;
    drop(values);
    allocated as f64 / count as f64
}

fn job(id: u64) -> Job {
    Job {
        id,
        class: config::ClassKey((id % 7) as u16),
        account: format!("account-{}", id * 7919 % u64::from(ACCOUNTS)).into(),
        share: 1,
        estimate_tokens: 500,
        target_at_ms: id,
        expires_at_ms: id + 100_000,
    }
}

fn queue_with_jobs(count: u64) -> Queue {
    let rules = (0..7_u8)
        .map(|class| ClassRule { priority: class, protected: class > 4, guaranteed_ppm: 20_000 })
        .collect();
    let mut queue = Queue::new(1, rules, 20_000);
    for id in 0..count {
        queue.push(job(id));
    }
    queue
}

fn queue() {
    let mut queue = queue_with_jobs(10_000);
    let mut id = 10_000;
    let cycle = time_ns(5_000, || {
        for _ in 0..5_000 {
            id += 1;
            queue.push(job(id));
            let started = queue.pop(0, 1024).expect("queue is not empty");
            queue.finish(started, 400);
        }
    });
    print("queue: push, pop and finish with 10000 waiting of 3400 accounts", "ns", cycle);
    let queue = queue_with_jobs(10_000);
    let ahead = time_ns(200, || {
        for _ in 0..200 {
            let queue = black_box(&queue);
            black_box(queue.jobs_ahead(config::ClassKey(3), "account-7", 1));
        }
    });
    print("queue: jobs ahead with 10000 waiting of 3400 accounts", "ns", ahead);
    let small = queue_with_jobs(200);
    let ahead = time_ns(2_000, || {
        for _ in 0..2_000 {
            let small = black_box(&small);
            black_box(small.jobs_ahead(config::ClassKey(3), "account-7", 1));
        }
    });
    print("queue: jobs ahead with 200 waiting", "ns", ahead);
    print(
        "queue: memory of a waiting job",
        "bytes",
        heap_bytes(10_000, || queue_with_jobs(10_000)),
    );
}

fn data_frame(bytes: usize) -> wire::ToEntry {
    let stream = wire::StreamId { slot: 3, generation: 9 };
    wire::ToEntry::Data(wire::Data { stream, offset: 1000, bytes: vec![b'x'; bytes] })
}

fn frames() {
    let secret = Secret::fleet("a secret of the benches");
    for bytes in [130, 1300] {
        let frame = data_frame(bytes);
        let mut sealer = seal::Sealer::new(secret.clone());
        let mut out = Vec::with_capacity(4 << 20);
        let seal = time_ns(2_000, || {
            out.clear();
            for _ in 0..2_000 {
                sealer.seal(&frame, &mut out).expect("message fits");
            }
        });
        print(&format!("frame: seal {bytes} bytes of an answer"), "ns", seal);
        let open = time_ns(2_000, || {
            let mut sealer = seal::Sealer::new(secret.clone());
            let mut opener = seal::Opener::new(secret.clone());
            out.clear();
            for _ in 0..2_000 {
                sealer.seal(&frame, &mut out).expect("message fits");
            }
            opener.push(&out);
            while let Some(frame) = opener.read::<wire::ToEntry>().expect("sealed above") {
                black_box(frame);
            }
        });
        print(&format!("frame: seal and open {bytes} bytes of an answer"), "ns", open);
        print(
            &format!("frame: bytes on the wire for {bytes} of an answer"),
            "bytes",
            out.len() as f64 / 2_000.0,
        );
    }
}

fn datagrams() {
    let secret = Secret::fleet("a secret of the benches");
    let ask = wire::Datagram::Ask(wire::Ask {
        nonce: 7,
        endpoint: wire::EndpointIndex(0),
        service: "juru-tulis".into(),
        class: "hearing-summary".into(),
        account: "pn-surabaya".into(),
        prompt_tokens: 400,
        prefix: 99,
        idempotency: None,
    });
    let both = time_ns(2_000, || {
        for _ in 0..2_000 {
            let bytes = seal::seal_datagram(&secret, &ask).expect("message fits");
            black_box(
                seal::open_datagram::<wire::Datagram>(&secret, &bytes).expect("sealed above"),
            );
        }
    });
    print("ask: seal and open", "ns", both);
    let bytes = seal::seal_datagram(&secret, &ask).expect("message fits");
    print("ask: size", "bytes", bytes.len() as f64);
    let offer = wire::Datagram::Offer(wire::Offer {
        nonce: u64::MAX,
        endpoint: wire::EndpointIndex(0),
        first_token_ms: 400,
        leaving: false,
        knows_prefix: true,
        holds_answer: false,
        running: 20,
        waiting: 100,
    });
    let bytes = seal::seal_datagram(&secret, &offer).expect("message fits");
    print("offer: size", "bytes", bytes.len() as f64);
    let shared = fleet();
    let digest = shared.digest(([127, 0, 0, 1], 1).into(), false);
    let exchange = time_ns(2_000, || {
        for _ in 0..2_000 {
            let datagram = wire::Datagram::Digest(digest.clone());
            let bytes = seal::seal_datagram(&secret, &datagram).expect("message fits");
            let Ok(wire::Datagram::Digest(digest)) = seal::open_datagram(&secret, &bytes) else {
                unreachable!("digest was sealed above")
            };
            black_box((shared.is_behind(&digest), shared.is_ahead(&digest)));
        }
    });
    print("digest: seal, open and compare with 340 daemons", "ns", exchange);
    let bytes =
        seal::seal_datagram(&secret, &wire::Datagram::Digest(digest)).expect("message fits");
    print("digest: size", "bytes", bytes.len() as f64);
}

/// The text of a configuration with this many accounts.
fn config_text(accounts: u32) -> String {
    let classes: String = (0..7)
        .map(|n| format!("\"class-{n}\": {{\"latency_target_ms\": 410, \"priority\": {n}}},"))
        .collect();
    let services: String = (0..20)
        .map(|n| {
            format!(
                "\"service-{n}\": {{\"kind\": \"engine\", \"models\": [\"model-{n}\"], \
                 \"default_class\": \"class-1\"}},"
            )
        })
        .collect();
    let accounts: String = (0..accounts)
        .map(|n| format!("\"account-{n}\": {{\"share\": 2, \"default_class\": \"class-2\"}},"))
        .collect();
    format!(
        "{{\"classes\": {{{classes}}}, \"services\": {{{services}}}, \"accounts\": {{{accounts}}}}}"
    )
}

fn configuration() {
    let text = config_text(ACCOUNTS);
    print(
        "configuration: text of 3400 accounts, 20 services, 7 classes",
        "bytes",
        text.len() as f64,
    );
    let parse = time_ns(1, || {
        black_box(config::Config::parse(&text).expect("configuration is valid"));
    });
    print("configuration: check that text", "ns", parse);
    let bytes = heap_bytes(1, || config::Config::parse(&text).expect("configuration is valid"));
    print("configuration: memory of its model", "bytes", bytes);
}

fn key(number: u32) -> keys::Versioned {
    let record = keys::Record {
        id: format!("{number:012x}").into(),
        account: format!("account-{number}").into(),
        digest: [number as u8; 32],
        withdrawn: false,
    };
    keys::Versioned { revision: u64::from(number) + 1, record }
}

fn member(number: usize) -> membership::Member {
    let endpoints = (0..ENDPOINTS / 300).map(|index| membership::Endpoint {
        id: format!("endpoint-{}", number * 2 + index).into(),
        service: format!("service-{}", number % 20).into(),
    });
    let is_side = number < 300;
    membership::Member {
        id: format!("daemon-{number}").into(),
        version: 1_796_000_000_000_000,
        boot: number as u64,
        role: if is_side { membership::Role::Side } else { membership::Role::Entry },
        region: "region-1".into(),
        zone: format!("zone-{}", number % 7).into(),
        state: membership::State::Ready,
        peer_addr: ([10, 0, 0, 1], number as u16).into(),
        admin_addr: ([10, 0, 0, 1], number as u16).into(),
        work_addr: is_side.then(|| ([10, 0, 0, 1], number as u16).into()),
        endpoints: if is_side { endpoints.collect() } else { Vec::new() },
    }
}

/// The shared state of a fleet with `DAEMONS` daemons.
fn fleet() -> SharedState {
    let mut shared = SharedState::default();
    for number in 0..DAEMONS {
        shared.fleet.merge(member(number));
    }
    shared
}

fn tables() {
    const KEYS: u32 = 2 * ACCOUNTS;
    let table = || {
        let mut table = keys::Table::default();
        for number in 0..KEYS {
            table.merge(key(number));
        }
        table
    };
    print("keys: memory of a key", "bytes", heap_bytes(KEYS as usize, table));
    let full = table();
    let copy = time_ns(1, || {
        black_box(full.clone());
    });
    print("keys: copy a table of 6800 (a change while traffic reads it)", "ns", copy);
    let key = keys::generate("account").expect("random bytes");
    let mut single = keys::Table::default();
    single.merge(keys::Versioned { revision: 1, record: key.record });
    let check = time_ns(2_000, || {
        for _ in 0..2_000 {
            black_box(single.check(&key.text).is_ok());
        }
    });
    print("keys: check a key", "ns", check);
    print("fleet: memory of a daemon's record", "bytes", heap_bytes(DAEMONS, fleet));
    let shared = fleet();
    let snapshot = time_ns(1, || {
        black_box(shared.snapshot());
    });
    print("fleet: make a snapshot of 340 daemons, 600 endpoints", "ns", snapshot);
    let mut newer = shared.clone();
    let mut changed = member(7);
    changed.version += 1;
    newer.fleet.merge(changed);
    newer.merge_config(ConfigText { version: 9, text: config_text(ACCOUNTS) });
    let pull = shared.pull();
    let size = |shared: &SharedState| {
        postcard::to_stdvec(&shared.update_for(&pull)).map_or(0, |b| b.len())
    };
    let pull_bytes = postcard::to_stdvec(&pull).map_or(0, |bytes| bytes.len());
    print("pull: size with 340 daemons", "bytes", pull_bytes as f64);
    print("news: one configuration and one daemon", "bytes", size(&newer) as f64);
    let update = time_ns(1, || {
        black_box(newer.update_for(&pull));
    });
    print("news: make them", "ns", update);
}

fn streams() {
    let bytes = heap_bytes(1_000, || {
        (0..1_000)
            .map(|slot| {
                let mut answer = Answer::default();
                answer.head = Some(AnswerHead { status: 200, headers: Vec::new() });
                answer.push(&[b'x'; 32 << 10]);
                (answer, Reader::new(wire::StreamId { slot, generation: 1 }, 0, 0))
            })
            .collect::<Vec<_>>()
    });
    print("answer: memory with 32768 bytes held", "bytes", bytes);
    let event =
        b"data: {\"choices\":[{\"delta\":{\"content\":\" w12345\"},\"index\":0}]}\n\n".repeat(16);
    let count = time_ns(16 * 100, || {
        let mut counter = sse::Counter::default();
        for _ in 0..100 {
            counter.push(&event);
        }
        black_box(counter.tokens());
    });
    print("tokens: count one in a stream", "ns", count);
}
