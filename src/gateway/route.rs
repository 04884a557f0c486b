//! What the operators' configuration says about traffic: routes, services, client accounts.
//!
//! A table is one version of the configuration, decoded and checked. It is replaced whole and never
//! changed, so a request that began under one version ends under it.

use std::collections::{BTreeSet, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::request;

/// Names a route within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey(pub u32);

/// Names a service within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

/// Names a client account within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccountKey(pub u32);

/// What may happen to a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run any number of times.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with a series of numbered events.
    Stream {
        /// Another endpoint may go on after the last event that arrived.
        resumable: bool,
    },
}

impl Kind {
    /// Whether the request may be sent again after it may have run.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    pub service: ServiceKey,
    pub weight: u32,
}

/// Requests of one host below one path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: CompactString,
    pub host: CompactString,
    /// Begins and ends with a slash.
    pub path_prefix: CompactString,
    pub kind: Kind,
    pub weighted_services: Vec<WeightedService>,
    /// Longest time that a request is kept waiting for its whole answer.
    pub timeout_ms: u32,
    /// First event, or whole answer, is in time within this.
    pub latency_target_ms: u32,
    /// Longest pause between two events that is still in time; zero where there are none.
    pub gap_target_ms: u32,
    /// Zero goes first.
    pub priority: u8,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// No key is asked for.
    pub is_public: bool,
}

/// What is known of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that running requests and cached prompt parts share.
    pub kv_cache_tokens: u64,
}

/// Endpoints that answer alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: CompactString,
    /// Connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    pub engine: Option<Engine>,
    /// What an endpoint takes while it is cold; none where it takes as much as ever.
    pub warm_up: Option<WarmUp>,
    /// How many endpoints may be ordered; none where their number is not the router's matter.
    pub scaling: Option<Scaling>,
}

/// What an endpoint of a service takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Requests in a second; one that gets far more crashes.
    pub requests_per_s: f64,
}

/// How many endpoints of a service may run in each availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scaling {
    pub min: u32,
    pub max: u32,
    /// From an order until a new endpoint serves.
    pub startup_ms: u64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    pub name: CompactString,
    pub keys: Vec<CompactString>,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    pub max_body_bytes: usize,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    data: TableData,
    by_host: HashMap<CompactString, Vec<RouteKey>>,
    by_key: HashMap<CompactString, AccountKey>,
    /// Priorities of requests with those of their routes, all that can occur, in order.
    ranks: Vec<(u8, u8)>,
}

/// What a table is built from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableData {
    /// Grows with each change that the operators make.
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    /// Empty: requests need no key.
    pub accounts: Vec<Account>,
    pub limits: Option<Limits>,
}

impl From<TableData> for Table {
    fn from(data: TableData) -> Self {
        let mut by_host: HashMap<CompactString, Vec<RouteKey>> = HashMap::new();
        for (index, route) in data.routes.iter().enumerate() {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(RouteKey(index as u32));
        }
        let length = |key: &RouteKey| data.routes[key.0 as usize].path_prefix.len();
        for keys in by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        let mut by_key = HashMap::new();
        for (index, account) in data.accounts.iter().enumerate() {
            for key in &account.keys {
                by_key.insert(key.clone(), AccountKey(index as u32));
            }
        }
        let ranks = ranks(&data);
        Self { data, by_host, by_key, ranks }
    }
}

/// An account's priority goes before the route's, which decides between requests of equal accounts.
fn ranks(data: &TableData) -> Vec<(u8, u8)> {
    let accounts: BTreeSet<Option<u8>> = data.accounts.iter().map(|one| one.priority).collect();
    let own = |account: Option<u8>, route: &Route| account.unwrap_or(route.priority);
    let ranks: BTreeSet<(u8, u8)> = data
        .routes
        .iter()
        .flat_map(|route| {
            let accounts = accounts.iter().copied().chain([None]);
            accounts.map(move |account| (own(account, route), route.priority))
        })
        .collect();
    ranks.into_iter().collect()
}

impl Table {
    #[must_use]
    pub fn version(&self) -> u64 {
        self.data.version
    }

    /// What the table was built from.
    #[must_use]
    pub fn data(&self) -> &TableData {
        &self.data
    }

    /// The route with the longest prefix of the path at this host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let keys = self.by_host.get(name.as_str())?;
        keys.iter().copied().find(|key| path.starts_with(self.route(*key).path_prefix.as_str()))
    }

    #[must_use]
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.data.routes[key.0 as usize]
    }

    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.data.services[key.0 as usize]
    }

    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.data.services
    }

    /// Whether requests need the key of a client account.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.data.accounts.is_empty()
    }

    /// The account that holds this key.
    #[must_use]
    pub fn account_for_key(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|account| &self.data.accounts[account.0 as usize])
    }

    /// Longest body that is taken, in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        self.data.limits.map_or(usize::MAX, |limits| limits.max_body_bytes)
    }

    /// Where a request of this priority stands, on a route of that priority.
    ///
    /// Engines take memory from the newest of the least urgent. Were all requests of an account alike
    /// to them, its short urgent ones would stop in the middle of an answer while its long ones go on.
    #[must_use]
    pub fn rank(&self, priority: u8, route_priority: u8) -> request::Rank {
        let position = self.ranks.partition_point(|rank| *rank < (priority, route_priority));
        request::Rank { position, levels: self.ranks.len().max(position + 1) }
    }

    /// The service for one request of a route, drawn by weight with `draw` from 0 to 1.
    #[must_use]
    pub fn draw_service(&self, route: &Route, draw: f64) -> Option<ServiceKey> {
        let total: u64 = route.weighted_services.iter().map(|one| u64::from(one.weight)).sum();
        let mut left = (draw * total as f64) as u64;
        for one in &route.weighted_services {
            let weight = u64::from(one.weight);
            if left < weight {
                return Some(one.service);
            }
            left -= weight;
        }
        route.weighted_services.last().map(|one| one.service)
    }
}
