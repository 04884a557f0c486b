//! The configuration written by operators: services, classes and client accounts.
//!
//! Parses the text into a validated model that is addressed by small integer keys. A text with any
//! error is rejected with line, column and message; a daemon that receives such a text keeps the last
//! valid configuration.

mod check;

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::jsonc;

/// A share of 100 %, in parts per million.
pub const PPM: u64 = 1_000_000;
/// Largest configuration text; the platform stores values of up to 1 MB.
pub const MAX_TEXT_BYTES: usize = 1_000_000;
/// Upper bound on the sum of the guaranteed shares, so that priority decides about the rest.
pub const MAX_GUARANTEED_PPM: u64 = 500_000;
/// Default maximum wait of an unprotected class, as a multiple of its latency target.
const DEFAULT_WAIT_TARGETS: u64 = 1;

/// The configuration as written, before validation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSpec {
    pub classes: BTreeMap<CompactString, ClassSpec>,
    pub services: BTreeMap<CompactString, ServiceSpec>,
    pub accounts: BTreeMap<CompactString, AccountSpec>,
    #[serde(default)]
    pub billing: Billing,
}

/// A request class as written.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Target time to first token, from the arrival of the request.
    pub latency_target_ms: u32,
    /// Classes with a higher priority are served first.
    pub priority: u8,
    /// A protected class is never shed or preempted in favour of a lower class.
    #[serde(default)]
    pub protected: bool,
    /// Minimum share of an endpoint's capacity while requests of this class are queued.
    #[serde(default = "default_guaranteed_ppm")]
    pub guaranteed_ppm: u64,
    /// Longest time in an endpoint's queue; after it the request is refused without having run.
    pub max_wait_ms: Option<u32>,
}

impl ClassSpec {
    /// Returns the longest wait of a request of this class for a slot; `None` if only the request's own
    /// deadline bounds the wait.
    ///
    /// By default, a request waits only as long as it can still meet its latency target. Slots given to
    /// late requests would be taken from requests that can still be in time, and in a burst every
    /// request would be late.
    #[must_use]
    pub fn longest_wait_ms(&self) -> Option<u64> {
        let default_ms = u64::from(self.latency_target_ms) * DEFAULT_WAIT_TARGETS;
        match (self.max_wait_ms, self.protected) {
            // Requests of a protected class are not dropped for being late: while lower classes still
            // get their share, that would shed the protected class in their favour.
            (_, true) => None,
            (Some(most_ms), false) => Some(u64::from(most_ms)),
            (None, false) => Some(default_ms),
        }
    }
}

/// A service that endpoints run, as written.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    pub kind: ServiceKind,
    /// Names of the models that the service runs; for model engines only.
    #[serde(default)]
    pub models: Vec<CompactString>,
    /// Services that must be available for this one to answer.
    #[serde(default)]
    pub depends_on: Vec<CompactString>,
    pub default_class: CompactString,
    /// Maximum number of concurrently running requests at an endpoint.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of queued requests at an endpoint.
    #[serde(default = "default_max_queue")]
    pub max_queue: u32,
    /// Whether a call may be sent twice. Calls to a service that is not repeatable require an idempotency
    /// key.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether the endpoints themselves reject orders with an old fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Bounds on the number of endpoints in an availability zone.
    #[serde(default)]
    pub endpoints: EndpointBounds,
}

/// Bounds on the number of endpoints of a service in an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointBounds {
    pub least: u32,
    /// Zero disables scaling: the scaler orders no endpoints of this service.
    pub most: u32,
}

/// The kind of server behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A client account as written.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Weight relative to other accounts in the same class.
    #[serde(default = "default_share")]
    pub share: u32,
    pub default_class: Option<CompactString>,
    /// Maximum number of concurrent requests of this account at one entry.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
    /// Limit on prompt and output tokens per second, over all entries; unlimited if absent.
    pub tokens_per_s: Option<u32>,
}

/// Billing windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Billing {
    pub window_s: u64,
    /// Delay between the end of a window and its sealing.
    pub grace_s: u64,
}

impl Default for Billing {
    fn default() -> Self {
        Self { window_s: 3600, grace_s: 60 }
    }
}

const fn default_guaranteed_ppm() -> u64 {
    20_000
}
const fn default_slots() -> u32 {
    16
}
const fn default_max_queue() -> u32 {
    512
}
const fn default_true() -> bool {
    true
}
const fn default_share() -> u32 {
    1
}
const fn default_max_concurrent() -> u32 {
    4096
}

/// Index of a class in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassKey(pub u16);
/// Index of a service in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey(pub u16);
/// Index of a client account in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountKey(pub u32);

/// A validated class.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: CompactString,
    pub spec: ClassSpec,
}

/// A validated service.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: CompactString,
    pub spec: ServiceSpec,
    pub default_class: ClassKey,
    /// All services that this one depends on, directly or transitively.
    pub needs: Vec<ServiceKey>,
}

/// A validated client account.
#[derive(Clone, Debug)]
pub struct Account {
    pub name: CompactString,
    pub share: u32,
    pub default_class: Option<ClassKey>,
    pub max_concurrent: u32,
    pub tokens_per_s: Option<u32>,
}

/// The validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    pub classes: Vec<Class>,
    pub services: Vec<Service>,
    pub accounts: Vec<Account>,
    pub billing: Billing,
    class_names: HashMap<CompactString, ClassKey>,
    service_names: HashMap<CompactString, ServiceKey>,
    account_names: HashMap<CompactString, AccountKey>,
    model_names: HashMap<CompactString, ServiceKey>,
}

impl Config {
    /// Parses and validates a configuration text.
    ///
    /// # Errors
    /// Returns the first error, with line and column.
    pub fn parse(text: &str) -> Result<Self, jsonc::Error> {
        if text.len() > MAX_TEXT_BYTES {
            let message = format!("the configuration is longer than {MAX_TEXT_BYTES} bytes");
            return Err(jsonc::Error { line: 1, column: 1, message });
        }
        let document = jsonc::Document::parse(text)?;
        let spec: ConfigSpec = document.read()?;
        check::build(spec).map_err(|(path, message)| document.error_at(&path, message))
    }

    #[must_use]
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.class_names.get(name).copied()
    }

    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    #[must_use]
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.account_names.get(name).copied()
    }

    /// Returns the weight of an account; 1 for an account that is not configured.
    #[must_use]
    pub fn share_of(&self, account: &str) -> u32 {
        self.account(account).map_or(1, |key| self.account_at(key).share)
    }

    /// Returns the service that runs a model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<ServiceKey> {
        self.model_names.get(name).copied()
    }

    #[must_use]
    pub fn class_at(&self, key: ClassKey) -> &Class {
        &self.classes[usize::from(key.0)]
    }

    #[must_use]
    pub fn service_at(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }

    #[must_use]
    pub fn account_at(&self, key: AccountKey) -> &Account {
        &self.accounts[key.0 as usize]
    }
}
