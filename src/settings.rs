//! Settings of each daemon: JSON with comments, validated at startup.
//!
//! The settings are the only source of a process's addresses and availability zone.

use std::net::SocketAddr;
use std::path;

use anyhow::Context;
use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::caller_limits::{self, CallerLimits};
use crate::jsonc;

/// Settings common to all daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Unique name of this daemon.
    pub id: CompactString,
    pub region: CompactString,
    pub zone: CompactString,
    /// Address on which this daemon exchanges state with its peers, over UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Address of the operators' listener: readiness, metrics, status, explain.
    pub admin_addr: SocketAddr,
    /// Base URL of the platform's interfaces, as `http://IP:PORT`.
    pub platform_url: String,
    /// Secret that all daemons of one fleet share; at least 16 characters.
    pub fleet_secret: String,
    /// Peers to contact at startup, before the fleet is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Maximum duration of a graceful stop; requests that still run after it are ended with an error.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Destination of trace spans.
    #[serde(default)]
    pub traces: Traces,
}

/// Destination of trace spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Traces {
    #[default]
    Off,
    /// One JSON line per span on standard output, next to the log.
    Lines,
}

/// Settings of `briarwinch-entry`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub daemon: Daemon,
    /// Address for callers.
    pub listen_addr: SocketAddr,
    /// Number of traffic threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Memory of this instance in units of 1,000,000 bytes; none if it is unknown.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Timeout for the arrival of a request's head and body.
    #[serde(default = "default_request_arrival_ms")]
    pub request_arrival_ms: u64,
    /// Time to wait for answers to an ask.
    #[serde(default = "default_ask_ms")]
    pub ask_ms: u64,
    /// Number of endpoints asked for one request.
    #[serde(default = "default_ask_width")]
    pub ask_width: usize,
}

/// Settings of `briarwinch-side`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Side {
    pub daemon: Daemon,
    /// Address on which entries submit work, over TCP, and ask for offers, over UDP.
    pub work_addr: SocketAddr,
    pub endpoints: Vec<SideEndpoint>,
    /// Time for which an answer is kept after its link was lost.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Memory for answers kept so that a caller can fetch them later.
    #[serde(default = "default_kept_bytes")]
    pub kept_bytes: usize,
}

/// An endpoint that a side serves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideEndpoint {
    /// The platform's id of the endpoint.
    pub id: CompactString,
    pub service: CompactString,
    /// Base URL of the endpoint, as `http://IP:PORT`.
    pub url: String,
}

const fn default_drain_ms() -> u64 {
    30_000
}
const fn default_workers() -> usize {
    2
}
const fn default_max_body_bytes() -> usize {
    1 << 20
}
const fn default_request_arrival_ms() -> u64 {
    10_000
}
const fn default_ask_ms() -> u64 {
    15
}
const fn default_ask_width() -> usize {
    3
}
const fn default_linger_ms() -> u64 {
    15_000
}
const fn default_kept_bytes() -> usize {
    16 << 20
}

/// Minimum length of the fleet secret.
const MIN_SECRET_CHARS: usize = 16;

/// Settings that can be validated.
pub trait Validate: DeserializeOwned {
    /// Checks the rules that the types don't express.
    ///
    /// # Errors
    /// The first violated rule, as a path into the text and a message.
    fn validate(&self) -> Result<(), (jsonc::Path, String)>;
}

impl Validate for Entry {
    fn validate(&self) -> Result<(), (jsonc::Path, String)> {
        self.daemon.validate()?;
        require(self.workers > 0, crate::path!["workers"], "workers must be at least 1")?;
        require(self.ask_width > 0, crate::path!["ask_width"], "ask_width must be at least 1")
    }
}

impl Entry {
    /// Limits on what callers make this process hold.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        CallerLimits::new(self.memory_mb, caller_limits::max_descriptors())
    }
}

impl Validate for Side {
    fn validate(&self) -> Result<(), (jsonc::Path, String)> {
        self.daemon.validate()?;
        require(
            !self.endpoints.is_empty(),
            crate::path!["endpoints"],
            "at least one endpoint is required",
        )?;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            require(
                parse_http_addr(&endpoint.url).is_some(),
                crate::path!["endpoints", index, "url"],
                "the address must have the form http://IP:PORT",
            )?;
        }
        Ok(())
    }
}

impl Daemon {
    fn validate(&self) -> Result<(), (jsonc::Path, String)> {
        require(!self.id.is_empty(), crate::path!["daemon", "id"], "the id is empty")?;
        require(
            self.fleet_secret.chars().count() >= MIN_SECRET_CHARS,
            crate::path!["daemon", "fleet_secret"],
            "the secret has fewer than 16 characters",
        )?;
        require(
            parse_http_addr(&self.platform_url).is_some(),
            crate::path!["daemon", "platform_url"],
            "the address must have the form http://IP:PORT",
        )
    }
}

/// Checks one rule of the settings.
///
/// # Errors
/// The path and the message, when the rule does not hold.
pub fn require(holds: bool, path: jsonc::Path, message: &str) -> Result<(), (jsonc::Path, String)> {
    if holds { Ok(()) } else { Err((path, message.to_owned())) }
}

/// Parses the socket address in `http://IP:PORT`.
#[must_use]
pub fn parse_http_addr(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.trim_end_matches('/').parse().ok()
}

/// Parses and validates settings.
///
/// # Errors
/// The first error, with line and column.
pub fn parse<T: Validate>(text: &str) -> Result<T, jsonc::Error> {
    let document = jsonc::Document::parse(text)?;
    let settings: T = document.read()?;
    settings.validate().map_err(|(path, message)| document.error_at(&path, message))?;
    Ok(settings)
}

/// Reads settings from a file.
///
/// # Errors
/// When the file cannot be read or the settings are invalid.
pub fn load<T: Validate>(file: &path::Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("cannot read settings {}", file.display()))?;
    parse(&text).with_context(|| format!("settings {}", file.display()))
}
