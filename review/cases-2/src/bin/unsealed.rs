//! Some engines spoil one in fifty of their answers: one byte in the name of the header with the seal.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use review_cases_2::http::{self, After, Request, Server};
use review_cases_2::record::{self, Record};
use review_cases_2::world::{self, World, start_pair};
use serde_json::json;

const ENGINES: usize = 4;
const SPOILING: usize = 2;
/// One in this many answers is spoilt.
const SPOILT_OF: usize = 50;
const EVENTS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(3);
const CALLERS: usize = 4;
const STREAMS_EACH: usize = 200;

fn engine(id: &str, is_spoiling: bool, record: &Record) -> Server {
    let (own_id, record) = (id.to_owned(), record.clone());
    let count = AtomicUsize::new(0);
    http::serve(move |request: &Request, stream: &mut TcpStream| {
        if request.path() == http::HELD_PATH {
            return http::answer_held(stream, &[]);
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let is_spoilt =
            is_spoiling && count.fetch_add(1, Ordering::SeqCst) % SPOILT_OF == SPOILT_OF - 1;
        // 'l' and 'm' differ in one bit.
        let name = if is_spoilt { "x-response-seam" } else { "x-response-seal" };
        record.note(format!(
            "{id} runs at {own_id}{}",
            if is_spoilt { ", its answer is spoilt" } else { "" }
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-request-id: {id}\r\n{name}: {own_id}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let after = request.header("last-event-id").and_then(|event| event.parse().ok());
        for event in after.unwrap_or(0_u64) + 1..=EVENTS {
            thread::sleep(PAUSE);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(After::Keep)
    })
}

fn case(record: &Record) -> bool {
    let world = World::open();
    for number in 0..ENGINES {
        let id = format!("engine-{number}");
        let server = engine(&id, number < SPOILING && record::has_trouble(), record);
        world.list_address(&id, server.addr, "engine", &json!({"slots": 64}));
    }
    let entries = start_pair(&world).map(|(_, entry)| entry);
    let addrs = [entries[0].callers, entries[1].callers];
    thread::sleep(Duration::from_secs(1));
    let unsealed = Arc::new(AtomicUsize::new(0));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let unsealed = &unsealed;
            scope.spawn(move || {
                for number in 0..STREAMS_EACH {
                    let route = if number % 2 == 0 { "stream" } else { "resumable" };
                    let id = format!("{route}-{caller}-{number}");
                    let answer = world::prompt(route)
                        .with("x-request-id", &id)
                        .with(
                            "x-prompt-prefix",
                            &format!("{caller:x}{number:x}0:800,{caller:x}{number:x}1:660"),
                        )
                        .send(addrs[number % 2]);
                    let is_sealed = answer.header("x-response-seal").is_some();
                    record.note(format!(
                        "answered {id} {}, {}, {} events, {}",
                        answer.status(),
                        if is_sealed { "sealed" } else { "without a seal" },
                        answer.event_ids().len(),
                        if answer.is_complete() { "complete" } else { "incomplete" }
                    ));
                    if (200..300).contains(&answer.status()) && !is_sealed {
                        unsealed.fetch_add(1, Ordering::SeqCst);
                    }
                }
            });
        }
    });
    let unsealed = unsealed.load(Ordering::SeqCst);
    record.tell(format!(
        "{unsealed} of {} streams are successes without a seal",
        CALLERS * STREAMS_EACH
    ));
    unsealed == 0
}

fn main() {
    record::play(case)
}
