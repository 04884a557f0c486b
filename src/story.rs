//! Traces one request through the logs of all processes.
//!
//! Takes log lines of any number of processes and returns those that name the request, in order of time,
//! one short line each. On demand, it also returns the fleet events (configuration, endpoints, store) that
//! were logged in between.

use compact_str::CompactString;
use serde_json::{Map, Value};

/// The parsed parts of a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// RFC 3339, in UTC; sorts chronologically as text.
    pub time: CompactString,
    pub daemon: CompactString,
    pub message: CompactString,
    pub fields: Map<String, Value>,
}

/// Fields that are common to all lines and are not printed as `name=value`.
const COMMON: [&str; 5] = ["msg", "ts", "daemon", "level", "request"];

impl Line {
    /// Parses a line; skips anything that a log collector put before the JSON.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let take = |name: &str| Some(CompactString::from(fields.get(name)?.as_str()?));
        let (time, daemon, message) = (take("ts")?, take("daemon")?, take("msg")?);
        fields.retain(|name, _| !COMMON[..4].contains(&name.as_str()));
        Some(Self { time, daemon, message, fields })
    }

    /// Returns whether the line names this request.
    #[must_use]
    pub fn is_about(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn is_fleet_event(&self) -> bool {
        !self.fields.contains_key("request")
    }
}

impl std::fmt::Display for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.time, self.daemon, self.message)?;
        for (name, value) in self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()))
        {
            match value {
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                value => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Returns the lines of a request in order of time. With `around`, includes the lines without a request
/// that the processes that handled it logged between its first and its last line.
#[must_use]
pub fn request_lines(mut lines: Vec<Line>, request: &str, around: bool) -> Vec<Line> {
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let of_request: Vec<Line> =
        lines.iter().filter(|line| line.is_about(request)).cloned().collect();
    let (Some(first), Some(last)) = (of_request.first(), of_request.last()) else {
        return Vec::new();
    };
    if !around {
        return of_request;
    }
    let is_near = |line: &Line| {
        let is_between = line.time >= first.time && line.time <= last.time;
        let is_handler = of_request.iter().any(|other| other.daemon == line.daemon);
        line.is_about(request) || (line.is_fleet_event() && is_between && is_handler)
    };
    lines.iter().filter(|line| is_near(line)).cloned().collect()
}
