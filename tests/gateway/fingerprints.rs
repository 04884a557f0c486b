//! Fingerprints of requests: which attempts are taken for the same request.

use briarwinch::gateway::fingerprint::Fingerprint;
use briarwinch::gateway::http1;
use briarwinch::gateway::request::{Prompt, PromptPart, Request};
use bytes::Bytes;

fn request() -> Request {
    Request {
        id: "attempt-1".into(),
        method: "POST".into(),
        host: "callers.example".into(),
        target: "/draft/1?x=2".into(),
        headers: vec![header("content-type", "text/plain"), header("x-attempt", "1")],
        body: Bytes::from_static(b"a body"),
        deadline_ms: Some(8_000),
        api_key: Some("key-1".into()),
        model: Some("m".into()),
        prompt: Some(Prompt {
            tokens: 1_460,
            max_output_tokens: 80,
            parts: vec![PromptPart { id: 1, tokens: 800 }, PromptPart { id: 2, tokens: 660 }],
        }),
        last_event_id: None,
        resumes: None,
    }
}

fn header(name: &str, value: &str) -> http1::Header {
    http1::Header { name: name.into(), value: Bytes::copy_from_slice(value.as_bytes()) }
}

fn fingerprint(request: &Request) -> Fingerprint {
    Fingerprint::of(request, Some("court"))
}

/// Guards against a request that is not known again because its caller names each attempt anew.
#[test]
fn attempts_with_the_same_content_have_one_fingerprint() {
    let again = Request {
        id: "attempt-2".into(),
        headers: vec![header("x-attempt", "2"), header("Content-Type", "text/plain")],
        deadline_ms: Some(3_000),
        api_key: Some("key-3".into()),
        last_event_id: Some(4),
        resumes: Some("attempt-1".into()),
        ..request()
    };
    assert_eq!(fingerprint(&again), fingerprint(&request()));
}

/// Guards against a sound request that is taken for another one.
#[test]
fn requests_with_any_difference_in_content_have_different_fingerprints() {
    let prompt = || request().prompt.expect("a prompt");
    let with_prompt = |prompt| Request { prompt: Some(prompt), ..request() };
    let mut other_part = prompt();
    other_part.parts[1].id = 3;
    let mut other_order = prompt();
    other_order.parts.reverse();
    let others = [
        request(),
        Request { method: "PUT".into(), ..request() },
        Request { host: "others.example".into(), ..request() },
        Request { target: "/draft/1?x=3".into(), ..request() },
        Request { body: Bytes::from_static(b"a body."), ..request() },
        Request { model: Some("n".into()), ..request() },
        Request { headers: vec![header("content-type", "text/html")], ..request() },
        Request { headers: vec![header("accept", "text/plain")], ..request() },
        Request { prompt: None, ..request() },
        with_prompt(Prompt { tokens: 1_461, ..prompt() }),
        with_prompt(Prompt { max_output_tokens: 81, ..prompt() }),
        with_prompt(other_part),
        with_prompt(other_order),
        // The same bytes, divided among the fields in another way.
        Request { target: "/draft/1?x=2a".into(), body: Bytes::from_static(b" body"), ..request() },
    ];
    let mut found: Vec<Fingerprint> = others.iter().map(fingerprint).collect();
    found.push(Fingerprint::of(&request(), Some("press")));
    found.push(Fingerprint::of(&request(), None));
    let count = found.len();
    found.sort_unstable();
    found.dedup();
    assert_eq!(found.len(), count);
}
