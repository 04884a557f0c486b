//! Client side of the tests: builds requests, reads answers and checks them.

use std::io::Read;

use serde_json::{Value, json};

use crate::fleet::{Daemon, MAX_WAIT};

/// An HTTP response.
pub struct Answer {
    pub status: u16,
    pub ran: Option<String>,
    pub request: Option<String>,
    pub replayed: bool,
    pub retry_after: Option<String>,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|error| panic!("{error}: {}", self.text))
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request and returns the response, whatever its status is.
pub fn send(request: ureq::Request, body: &str) -> Answer {
    try_send(request, body).expect("an answer")
}

/// Sends a request; returns `None` when the connection broke before the response was complete.
pub fn try_send(request: ureq::Request, body: &str) -> Option<Answer> {
    let response = match request.timeout(MAX_WAIT).send_string(body) {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(ureq::Error::Transport(_)) => return None,
    };
    let header = |name: &str| response.header(name).map(str::to_owned);
    let (status, ran, request) =
        (response.status(), header("briarwinch-ran"), header("briarwinch-request"));
    let (replayed, retry_after) = (header("briarwinch-replayed").is_some(), header("retry-after"));
    let mut text = String::new();
    response.into_reader().read_to_string(&mut text).ok()?;
    Some(Answer { status, ran, request, replayed, retry_after, text })
}

/// Builds a chat request to an entry.
pub fn chat(entry: &Daemon, key: &str) -> ureq::Request {
    ureq::post(&format!("{}/v1/chat/completions", entry.url()))
        .set("authorization", &format!("Bearer {key}"))
        .set("content-type", "application/json")
}

/// Builds the body of a chat request.
pub fn chat_body(prompt: &str, tokens: u32, stream: bool) -> String {
    json!({"model": "juru-tulis", "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

/// Builds a payment request for the plain service.
pub fn payment(entry: &Daemon, key: &str, idempotency: &str) -> ureq::Request {
    ureq::post(&format!("{}/services/loket/payments", entry.url()))
        .set("authorization", &format!("Bearer {key}"))
        .set("idempotency-key", idempotency)
}

/// Returns the token at a position of the stand-in engine's answer to a prompt.
pub fn token(prompt: &str, position: u32) -> String {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    position.hash(&mut hasher);
    format!(" w{:05x}", hasher.finish() & 0xf_ffff)
}

/// Returns the tokens in a streamed answer so far, and whether the answer is complete.
pub fn stream_tokens(text: &str) -> (Vec<String>, bool) {
    let mut tokens = Vec::new();
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return (tokens, true);
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        if let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() {
            tokens.push(token.to_owned());
        }
    }
    (tokens, false)
}

/// Checks that a streamed answer is complete and exactly the one to this prompt.
pub fn assert_complete(text: &str, prompt: &str, count: u32) {
    let expected: Vec<String> = (0..count).map(|position| token(prompt, position)).collect();
    let (tokens, complete) = stream_tokens(text);
    let correct = tokens.iter().zip(&expected).take_while(|(got, wanted)| got == wanted).count();
    let tail = &text[text.len().saturating_sub(400)..];
    assert!(
        tokens == expected && complete,
        "incomplete answer: {} of {count} tokens, the first {correct} correct, ending {tail}",
        tokens.len()
    );
}

/// A streamed answer that is read incrementally.
pub struct StreamReader {
    reader: Box<dyn Read + Send + Sync>,
    pub text: String,
}

impl StreamReader {
    /// Sends a request and reads up to its first token.
    pub fn open(request: ureq::Request, body: &str) -> Self {
        let response = request.send_string(body).expect("a head");
        let mut stream_reader =
            Self { reader: Box::new(response.into_reader()), text: String::new() };
        while stream_tokens(&stream_reader.text).0.is_empty() {
            assert!(stream_reader.read(), "a first token");
        }
        stream_reader
    }

    fn read(&mut self) -> bool {
        let mut buffer = [0; 512];
        match self.reader.read(&mut buffer) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.text.push_str(&String::from_utf8_lossy(&buffer[..count]));
                true
            }
        }
    }

    /// Reads to the end and returns the whole text.
    pub fn rest(mut self) -> String {
        while self.read() {}
        self.text
    }
}
