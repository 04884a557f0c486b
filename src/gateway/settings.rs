//! Settings of an entry that forwards requests directly to endpoints. The file is JSON with comments.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::policy::budget;
use crate::caller_limits::{self, CallerLimits};
use crate::{jsonc, settings};

/// Retry budget of all entries together: sends beyond the first one of each request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in a window.
    pub extra: f64,
    pub window_s: f64,
}

impl Retries {
    /// Converts the settings to the form that the retry budget uses.
    #[must_use]
    pub fn budget_config(&self) -> budget::BudgetConfig {
        budget::BudgetConfig {
            ratio: self.ratio,
            extra: self.extra,
            window_ms: (self.window_s * 1_000.0) as u64,
        }
    }
}

/// Tolerance above a service's rate of requests to a cold endpoint, over all entries and in any second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRate {
    /// Factor by which the service's rate is multiplied.
    pub factor: f64,
    /// Additional requests.
    pub extra: f64,
}

/// The settings of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Unique name of this instance.
    pub id: CompactString,
    pub region: CompactString,
    pub zone: CompactString,
    pub ip: IpAddr,
    /// Address on which requests are accepted.
    pub listen_addr: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub ready_addr: SocketAddr,
    /// First and last port for traffic between instances, the same on all instances.
    pub internal_ports: [u16; 2],
    /// Addresses of some instances to contact first. They may be outdated, and their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object store.
    pub store_addr: SocketAddr,
    /// Address of the platform's interface for duties; none where there are no duties.
    pub duties_addr: Option<SocketAddr>,
    /// Secret shared by all instances of a fleet.
    pub fleet_secret: String,
    pub retries: Retries,
    /// Length of a billing window.
    pub billing_window_s: u64,
    /// Time for which an endpoint that leaves keeps taking requests.
    pub leave_ms: u64,
    /// Time from the operators' evacuation of an availability zone until no request is sent to it any more;
    /// none where zones are not evacuated.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// Tolerance for cold endpoints; none where endpoints are never cold.
    #[serde(default)]
    pub cold_rate: Option<ColdRate>,
    /// Whether the entry controls overload: calls to plain services wait for a place, what callers that read slowly
    /// have not taken is bounded, and engines are kept within their memory. In the file either `true` or `false`, or the
    /// deployment's `rules` and those by which it is `asked_for_by`.
    #[serde(default, deserialize_with = "overload_control")]
    pub overload_control: bool,
    /// Memory of this instance in units of 1,000,000 bytes; none if it is unknown.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Number of descriptors that this process may open; none if only the system limits it.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
    /// Time from the request to stop until the process is killed.
    pub stop_s: f64,
    /// CPU share of this process on its instance, in cores.
    #[serde(default = "one_core")]
    pub cores: f64,
}

/// Overload control as the settings file states it.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum OverloadControl {
    Always(bool),
    /// On if one of the rules of the deployment is among those that ask for it.
    ByRule {
        asked_for_by: Vec<CompactString>,
        rules: Vec<CompactString>,
    },
}

fn overload_control<'de, D: serde::Deserializer<'de>>(file: D) -> Result<bool, D::Error> {
    Ok(match OverloadControl::deserialize(file)? {
        OverloadControl::Always(is_on) => is_on,
        OverloadControl::ByRule { asked_for_by, rules } => {
            rules.iter().any(|rule| asked_for_by.contains(rule))
        }
    })
}

fn one_core() -> f64 {
    1.0
}

impl Gateway {
    /// Returns the address on which this instance exchanges datagrams with the others.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports[0])
    }

    /// Limits on what callers make this process hold.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        let max_descriptors = caller_limits::max_descriptors();
        let max_descriptors = self.max_descriptors.unwrap_or(u64::MAX).min(max_descriptors);
        CallerLimits::new(self.memory_mb, max_descriptors)
    }

    /// Returns this process's CPU share in thousandths of a core.
    #[must_use]
    pub fn millicores(&self) -> u16 {
        (self.cores * 1_000.0) as u16
    }

    /// Returns the address on which metrics are served.
    #[must_use]
    pub fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports[1])
    }
}

impl settings::Validate for Gateway {
    fn validate(&self) -> Result<(), (jsonc::Path, String)> {
        let require = settings::require;
        require(!self.id.is_empty(), crate::path!["id"], "the id is empty")?;
        require(
            self.internal_ports[0] < self.internal_ports[1],
            crate::path!["internal_ports"],
            "the first internal port must be below the last",
        )?;
        require(
            self.billing_window_s > 0,
            crate::path!["billing_window_s"],
            "the window must be longer than zero",
        )?;
        require(
            self.cold_rate.is_none_or(|rate| rate.factor > 0.0 && rate.extra >= 0.0),
            crate::path!["cold_rate"],
            "factor must be above zero and extra must not be negative",
        )?;
        require(
            self.memory_mb != Some(0),
            crate::path!["memory_mb"],
            "the memory must be more than zero",
        )?;
        require(
            self.retries.window_s > 0.0,
            crate::path!["retries", "window_s"],
            "the window must be longer than zero",
        )
    }
}
