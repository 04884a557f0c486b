//! The settings of each daemon: JSON with comments, checked at the start.
//!
//! A process learns its addresses and its availability zone from here and nowhere else.

use std::net::SocketAddr;
use std::path;

use anyhow::Context;
use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::jsonc;

/// What every daemon is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Unique name of this daemon.
    pub id: CompactString,
    pub region: CompactString,
    pub zone: CompactString,
    /// Where this daemon exchanges state with its peers, over UDP and TCP.
    pub peer_addr: SocketAddr,
    /// The operators' listener: readiness, metrics, status, explain.
    pub admin_addr: SocketAddr,
    /// The platform's interfaces, as `http://IP:PORT`.
    pub platform_url: String,
    /// Secret that all daemons of one fleet share; at least 16 characters.
    pub fleet_secret: String,
    /// Peers to ask first, before the fleet is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Longest time a graceful stop takes; what still runs then is ended and told so.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Where spans go.
    #[serde(default)]
    pub traces: Traces,
}

/// Where spans go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Traces {
    #[default]
    Off,
    /// One JSON line a span, beside the log.
    Lines,
}

/// Settings of `briarwinch-entry`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub daemon: Daemon,
    /// Where callers connect.
    pub listen_addr: SocketAddr,
    /// Threads that carry traffic.
    #[serde(default = "default_workers")]
    pub workers: usize,
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Longest time for a request's head and body to arrive.
    #[serde(default = "default_request_arrival_ms")]
    pub request_arrival_ms: u64,
    /// How long an ask waits for answers.
    #[serde(default = "default_ask_ms")]
    pub ask_ms: u64,
    /// How many endpoints are asked for one request.
    #[serde(default = "default_ask_width")]
    pub ask_width: usize,
}

/// Settings of `briarwinch-side`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Side {
    pub daemon: Daemon,
    /// Where entries submit work, over TCP, and ask, over UDP.
    pub work_addr: SocketAddr,
    pub endpoints: Vec<SideEndpoint>,
    /// How long an answer outlives the link that carried it.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Memory for answers kept so that a caller can come back for them.
    #[serde(default = "default_kept_bytes")]
    pub kept_bytes: usize,
}

/// An endpoint in front of which a side stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideEndpoint {
    /// The platform's name for it.
    pub id: CompactString,
    pub service: CompactString,
    /// As `http://IP:PORT`.
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

/// Least length of the fleet secret.
const MIN_SECRET_CHARS: usize = 16;

/// Settings that know their own rules.
pub trait Checked: DeserializeOwned {
    /// The first rule broken, as a path into the text and a sentence.
    ///
    /// # Errors
    /// When a rule is broken.
    fn check(&self) -> Result<(), (jsonc::Path, String)>;
}

impl Checked for Entry {
    fn check(&self) -> Result<(), (jsonc::Path, String)> {
        self.daemon.check()?;
        require(self.workers > 0, crate::path!["workers"], "at least one worker is needed")?;
        require(self.ask_width > 0, crate::path!["ask_width"], "at least one endpoint is asked")
    }
}

impl Checked for Side {
    fn check(&self) -> Result<(), (jsonc::Path, String)> {
        self.daemon.check()?;
        require(!self.endpoints.is_empty(), crate::path!["endpoints"], "no endpoint is named")?;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            require(
                host_port(&endpoint.url).is_some(),
                crate::path!["endpoints", index, "url"],
                "the address has the form http://IP:PORT",
            )?;
        }
        Ok(())
    }
}

impl Daemon {
    fn check(&self) -> Result<(), (jsonc::Path, String)> {
        require(!self.id.is_empty(), crate::path!["daemon", "id"], "the id is empty")?;
        require(
            self.fleet_secret.chars().count() >= MIN_SECRET_CHARS,
            crate::path!["daemon", "fleet_secret"],
            "the secret has fewer than 16 characters",
        )?;
        require(
            host_port(&self.platform_url).is_some(),
            crate::path!["daemon", "platform_url"],
            "the address has the form http://IP:PORT",
        )
    }
}

/// A rule of the settings: holds, or is told with its place.
///
/// # Errors
/// The place and the sentence, when it does not hold.
pub fn require(
    holds: bool,
    path: jsonc::Path,
    sentence: &str,
) -> Result<(), (jsonc::Path, String)> {
    if holds { Ok(()) } else { Err((path, sentence.to_owned())) }
}

/// The socket address in `http://IP:PORT`.
#[must_use]
pub fn host_port(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.trim_end_matches('/').parse().ok()
}

/// Reads settings from a text.
///
/// # Errors
/// The first mistake, with line and column.
pub fn parse<T: Checked>(text: &str) -> Result<T, jsonc::Error> {
    let document = jsonc::Document::parse(text)?;
    let settings: T = document.read()?;
    settings.check().map_err(|(path, sentence)| document.error_at(&path, sentence))?;
    Ok(settings)
}

/// Reads settings from a file.
///
/// # Errors
/// When the file cannot be read, or holds a mistake.
pub fn load<T: Checked>(file: &path::Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("cannot read settings {}", file.display()))?;
    parse(&text).with_context(|| format!("settings {}", file.display()))
}
