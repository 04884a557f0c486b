//! Settings of an entry that forwards requests directly to endpoints. The file is JSON with comments.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::policy::budget;
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
    /// Time from the request to stop until the process is killed.
    pub stop_s: f64,
    /// CPU share of this process on its instance, in cores.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Whether requests are queued, spread and refused by the entry's own estimates of the load.
    #[serde(default)]
    pub overload_control: bool,
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
            self.retries.window_s > 0.0,
            crate::path!["retries", "window_s"],
            "the window must be longer than zero",
        )
    }
}
