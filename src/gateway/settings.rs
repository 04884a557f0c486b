//! Settings of an entry that forwards straight to endpoints: JSON with comments.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::policy::budget;
use crate::{jsonc, settings};

/// Retries beyond the first send of each request, over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that in a window.
    pub extra: f64,
    pub window_s: f64,
}

impl Retries {
    /// The figures as a budget takes them.
    #[must_use]
    pub fn allowed(&self) -> budget::BudgetConfig {
        budget::BudgetConfig {
            ratio: self.ratio,
            extra: self.extra,
            window_ms: (self.window_s * 1_000.0) as u64,
        }
    }
}

/// How far the rate of requests to a cold endpoint may go beyond the one that its service names, over all
/// entries and in any second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRate {
    /// The service's rate is multiplied by this.
    pub factor: f64,
    /// Requests beyond that.
    pub extra: f64,
}

/// What an entry is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Unique name of this instance.
    pub id: CompactString,
    pub region: CompactString,
    pub zone: CompactString,
    pub ip: IpAddr,
    /// Where callers connect.
    pub listen_addr: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready_addr: SocketAddr,
    /// First and last port for traffic between instances; the same on all of them.
    pub internal_ports: [u16; 2],
    /// Some instances to ask first. Their addresses may be out of date; of their ports nothing is
    /// used.
    pub seeds: Vec<SocketAddr>,
    /// The platform's object store.
    pub store_addr: SocketAddr,
    /// The platform's interface for duties; none where there are no duties.
    pub duties_addr: Option<SocketAddr>,
    /// Secret that all instances of one fleet share.
    pub fleet_secret: String,
    pub retries: Retries,
    /// Length of a billing window.
    pub billing_window_s: u64,
    /// How long an endpoint that leaves goes on taking requests.
    pub leave_ms: u64,
    /// Within this time of the operators' word no request goes to an availability zone that they evacuate;
    /// none where zones are not evacuated.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// None where endpoints are never cold.
    #[serde(default)]
    pub cold_rate: Option<ColdRate>,
    /// From the request to stop until the process is killed.
    pub stop_s: f64,
    /// What the instance gives this process, in cores.
    #[serde(default = "one_core")]
    pub cores: f64,
}

fn one_core() -> f64 {
    1.0
}

impl Gateway {
    /// Where this instance exchanges datagrams with the others.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports[0])
    }

    /// What the instance can carry, in thousandths of a core.
    #[must_use]
    pub fn strength(&self) -> u16 {
        (self.cores * 1_000.0) as u16
    }

    /// Where metrics are served.
    #[must_use]
    pub fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports[1])
    }
}

impl settings::Checked for Gateway {
    fn check(&self) -> Result<(), (jsonc::Path, String)> {
        let require = settings::require;
        require(!self.id.is_empty(), crate::path!["id"], "the id is empty")?;
        require(
            self.internal_ports[0] < self.internal_ports[1],
            crate::path!["internal_ports"],
            "the first internal port lies below the last",
        )?;
        require(
            self.billing_window_s > 0,
            crate::path!["billing_window_s"],
            "the window is empty",
        )?;
        require(
            self.cold_rate.is_none_or(|rate| rate.factor > 0.0 && rate.extra >= 0.0),
            crate::path!["cold_rate"],
            "a cold endpoint takes some requests",
        )?;
        require(
            self.retries.window_s > 0.0,
            crate::path!["retries", "window_s"],
            "the window is empty",
        )
    }
}
