//! Runners that start again under their ids with another version of their software while the store is down: streams of
//! the old version go on at the new one.

use std::sync::{Arc, Mutex};
use std::thread;

use review_harness::client::Call;
use review_harness::entry::{Entry, Fleet, servers_ip};
use review_harness::record::Record;
use review_harness::runner::{Runner, config};
use review_harness::store::Store;
use review_harness::{BROKEN, HELD, NOT_RUN, has_trouble, sleep_ms, wait_until};

/// Streams at each entry.
const STREAMS: usize = 10;
/// Events of a stream, and the pause between them.
const EVENTS: u64 = 40;
const PAUSE_MS: u64 = 150;
/// More streams than this with events of two versions break the rule.
const MAX_MIXED: usize = 2;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::new(&record);
    let (store_addr, duties_addr) = store.listen(servers_ip());
    store.write("config", "main", &config(1));
    let runners = ["i-model-1", "i-model-2"]
        .map(|id| Runner::model(id, "thrissur-a", EVENTS, PAUSE_MS, &record));
    runners.iter().for_each(|runner| runner.register(&store));
    let fleet = Fleet::new(store_addr, duties_addr);
    let mut entries = [fleet.entry(1, "thrissur-a"), fleet.entry(2, "thrissur-b")];
    entries.iter_mut().for_each(|entry| entry.start(&record));
    if !entries.iter().all(|entry| wait_until(15_000, || entry.is_ready())) {
        return record.end(NOT_RUN, "the entries did not become ready");
    }
    sleep_ms(2_500);
    play(&store, &entries, &runners, &record)
}

fn play(store: &Store, entries: &[Entry; 2], runners: &[Runner; 2], record: &Record) -> i32 {
    if has_trouble() {
        store.set_down(true);
    }
    sleep_ms(100);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..2 * STREAMS)
        .map(|number| {
            let (addr, answers, record) =
                (entries[number % 2].callers, Arc::clone(&answers), record.clone());
            thread::spawn(move || {
                let id = format!("stream-{number}");
                let call = Call::new("POST", "/season-summary/1", &id)
                    .with("x-model", "m")
                    .with("x-token-count", "1460,80")
                    .with("x-prompt-prefix", &format!("{number:x}:1460"))
                    .body(b"a prompt".to_vec());
                let answer = call.send(addr).unwrap_or_default();
                answers.lock().expect("the answers").push((id, answer));
                drop(record);
            })
        })
        .collect();
    sleep_ms(1_000);
    // The runners are replaced one after the other, each under its id.
    for runner in runners {
        runner.crash(record);
        sleep_ms(100);
        runner.restart("v2", store, record);
        sleep_ms(1_200);
    }
    if has_trouble() {
        store.set_down(false);
        store.write_again();
    }
    clients.into_iter().for_each(|client| client.join().expect("the client ends"));
    judge(&answers.lock().expect("the answers"), record)
}

fn judge(answers: &[(String, review_harness::client::Answer)], record: &Record) -> i32 {
    let mut mixed = 0;
    let mut begun = 0;
    for (id, answer) in answers {
        let has = |version: &str| {
            answer.body().lines().any(|line| line.starts_with("data: ") && line.ends_with(version))
        };
        let data = answer.body().lines().filter(|line| line.starts_with("data: "));
        let sources: Vec<&str> = data.map(|line| &line[6..]).collect();
        let mut runs: Vec<(&str, usize)> = Vec::new();
        for source in sources {
            match runs.last_mut() {
                Some((last, count)) if *last == source => *count += 1,
                _ => runs.push((source, 1)),
            }
        }
        record.line(format!("client: {id} status {} events by {runs:?}", answer.status()));
        begun += usize::from(!runs.is_empty());
        mixed += usize::from(has("v1") && has("v2"));
    }
    if begun < STREAMS {
        return record.end(NOT_RUN, "too few streams began");
    }
    let text = format!(
        "{mixed} of {begun} streams hold events of two software versions, allowed {MAX_MIXED}"
    );
    record.end(if mixed > MAX_MIXED { BROKEN } else { HELD }, &text)
}
