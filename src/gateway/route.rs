//! Traffic configuration of the operators: routes, services and client accounts.
//!
//! A table is one decoded and validated version of the configuration. It is immutable and replaced as
//! a whole, so a request uses the same version from start to end.

use std::collections::{BTreeSet, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::request;
use crate::seal;

/// Index of a route within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey(pub u32);

/// Index of a service within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

/// Index of a client account within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccountKey(pub u32);

/// Whether the requests of a route may be repeated, and whether they are answered with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run any number of times.
    Repeatable,
    /// A request runs at most once.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Another endpoint may continue after the last event received.
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

/// A service that receives a weighted part of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    pub service: ServiceKey,
    pub weight: u32,
}

/// Requests to one host whose paths have a common prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: CompactString,
    pub host: CompactString,
    /// Starts and ends with a slash.
    pub path_prefix: CompactString,
    pub kind: Kind,
    pub weighted_services: Vec<WeightedService>,
    /// Maximum time from the arrival of a request to its complete response.
    pub timeout_ms: u32,
    /// Latency target for the first event of a stream or for a complete response.
    pub latency_target_ms: u32,
    /// Target for the longest gap between two events of a stream; zero if the route has none.
    pub gap_target_ms: u32,
    /// Zero is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub is_public: bool,
}

/// Capacity of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Tokens that the memory shared by running requests and cached prompt parts holds.
    pub kv_cache_tokens: u64,
    /// Tokens of each event of a stream; `None` if unknown. Not part of the serialized table, which earlier
    /// builds read.
    #[serde(skip)]
    pub tokens_per_event: Option<u32>,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: CompactString,
    /// Path of health checks; empty if unknown. Not part of the serialized table, as above.
    #[serde(skip)]
    pub health_path: CompactString,
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    pub engine: Option<Engine>,
    /// Limit of an endpoint while it is cold; `None` if a cold endpoint takes the full load.
    pub warm_up: Option<WarmUp>,
    /// Bounds for the number of endpoints; `None` if the router does not scale the service.
    pub scaling: Option<Scaling>,
}

/// Limit of an endpoint while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Requests per second. An endpoint that receives far more crashes.
    pub requests_per_s: f64,
}

/// Bounds for the number of endpoints of a service in each availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scaling {
    pub min: u32,
    pub max: u32,
    /// Time from the order of a new endpoint until it serves requests.
    pub startup_ms: u64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    pub name: CompactString,
    pub keys: Vec<CompactString>,
    /// Overrides the route's priority.
    pub priority: Option<u8>,
}

/// Limits on requests of callers.
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
    /// All possible pairs of request priority and route priority, in order.
    ranks: Vec<(u8, u8)>,
}

/// The serialized content from which a table is built.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableData {
    /// Increases with each change by the operators.
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    /// If empty, requests need no API key.
    pub accounts: Vec<Account>,
    pub limits: Option<Limits>,
}

/// Tokens of each event of a table's services, by index. It follows a serialized table: earlier builds ignore it
/// and do not send it, and it is empty then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokensPerEvent(#[serde(deserialize_with = "seal::or_default")] Vec<Option<u32>>);

/// Paths of health checks of a table's services, by index. It follows a serialized table, as [`TokensPerEvent`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthPaths(#[serde(deserialize_with = "seal::or_default")] Vec<CompactString>);

impl TableData {
    /// Returns the paths of health checks of the services.
    #[must_use]
    pub fn health_paths(&self) -> HealthPaths {
        HealthPaths(self.services.iter().map(|service| service.health_path.clone()).collect())
    }

    /// Sets the paths of health checks of the services.
    pub fn set_health_paths(&mut self, paths: HealthPaths) {
        for (service, path) in self.services.iter_mut().zip(paths.0) {
            service.health_path = path;
        }
    }

    /// Returns the tokens of each event of the services.
    #[must_use]
    pub fn tokens_per_event(&self) -> TokensPerEvent {
        let engines = self.services.iter().map(|service| service.engine);
        TokensPerEvent(engines.map(|engine| engine?.tokens_per_event).collect())
    }

    /// Sets the tokens of each event of the services.
    pub fn set_tokens_per_event(&mut self, tokens: &TokensPerEvent) {
        for (service, tokens) in self.services.iter_mut().zip(&tokens.0) {
            if let Some(engine) = &mut service.engine {
                engine.tokens_per_event = *tokens;
            }
        }
    }
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

/// Sorts all possible priorities. The account's priority comes first; the route's priority orders
/// requests whose accounts have the same priority.
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

    /// The serialized content from which the table was built.
    #[must_use]
    pub fn data(&self) -> &TableData {
        &self.data
    }

    /// Finds the route of this host with the longest prefix that matches the path.
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

    /// Returns the service with this name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services().iter().find(|service| service.name == name)
    }

    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.data.routes
    }

    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.data.services
    }

    /// Whether requests need the API key of a client account.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.data.accounts.is_empty()
    }

    /// The account that this API key belongs to.
    #[must_use]
    pub fn account_for_key(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|account| &self.data.accounts[account.0 as usize])
    }

    /// Maximum size of a request body in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        self.data.limits.map_or(usize::MAX, |limits| limits.max_body_bytes)
    }

    /// Rank of a request with this priority on a route with this priority.
    ///
    /// The route's priority separates the requests of one account. Engines that run out of memory
    /// preempt the newest of the least urgent requests. If all requests of an account had the same rank,
    /// its short urgent ones would stop in the middle of a response while its long ones continue.
    #[must_use]
    pub fn rank(&self, priority: u8, route_priority: u8) -> request::Rank {
        let position = self.ranks.partition_point(|rank| *rank < (priority, route_priority));
        request::Rank { position, levels: self.ranks.len().max(position + 1) }
    }

    /// Picks the service for a request of a route by weight; `draw` is a random number from 0 to 1.
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
