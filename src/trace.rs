//! Trace context (W3C `traceparent`) and spans, one per hop, written as JSON lines.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::keys;

/// Trace id and span id of a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    pub trace: u128,
    pub span: u64,
}

impl Context {
    /// Starts a new trace.
    #[must_use]
    pub fn root() -> Self {
        Self { trace: rand::random::<u128>() | 1, span: rand::random::<u64>() | 1 }
    }

    /// Creates the context of a child span.
    #[must_use]
    pub fn child(self) -> Self {
        Self { trace: self.trace, span: rand::random::<u64>() | 1 }
    }

    /// Parses a `traceparent` header; `None` if it is malformed.
    #[must_use]
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let version = parts.next()?;
        let trace = u128::from_str_radix(hex_of_length(parts.next()?, 32)?, 16).ok()?;
        let span = u64::from_str_radix(hex_of_length(parts.next()?, 16)?, 16).ok()?;
        let is_valid = version.len() == 2 && version != "ff" && trace != 0 && span != 0;
        is_valid.then_some(Self { trace, span })
    }

    /// Formats a `traceparent` header.
    #[must_use]
    pub fn header(self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}

fn hex_of_length(text: &str, chars: usize) -> Option<&str> {
    (text.len() == chars && text.bytes().all(|byte| byte.is_ascii_hexdigit())).then_some(text)
}

/// JSON line of a span.
#[derive(Debug, Serialize)]
struct Line<'a> {
    span: &'a str,
    trace_id: String,
    span_id: String,
    parent_id: String,
    daemon: &'a str,
    request: &'a str,
    start_us: u128,
    duration_us: u128,
}

/// A running span; written when it ends.
#[derive(Debug)]
pub struct Span {
    pub context: Context,
    parent: u64,
    name: &'static str,
    start_us: u128,
    start: Instant,
}

impl Span {
    /// Starts a child span of `parent`.
    #[must_use]
    pub fn start(name: &'static str, parent: Context) -> Self {
        let start_us =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_micros());
        Self { context: parent.child(), parent: parent.span, name, start_us, start: Instant::now() }
    }

    /// Ends the span; writes it if spans are enabled.
    pub fn end(self, sink: &Sink, request: &str) {
        if !sink.enabled {
            return;
        }
        let line = Line {
            span: self.name,
            trace_id: format!("{:032x}", self.context.trace),
            span_id: format!("{:016x}", self.context.span),
            parent_id: format!("{:016x}", self.parent),
            daemon: &sink.daemon,
            request,
            start_us: self.start_us,
            duration_us: self.start.elapsed().as_micros(),
        };
        if let Ok(text) = serde_json::to_string(&line) {
            println!("{text}");
        }
    }
}

/// Destination of a daemon's spans: standard output, if enabled.
#[derive(Clone, Debug)]
pub struct Sink {
    pub enabled: bool,
    pub daemon: String,
}

/// Generates a random request id.
#[must_use]
pub fn request_id() -> String {
    keys::hex(&rand::random::<[u8; 10]>())
}
