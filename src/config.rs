//! The operators' text: services, classes, client accounts. Text goes in, a checked model comes
//! out, with small keys into its arenas.
//!
//! A text that is not wholly right is refused, with line, column and a sentence; a daemon that is
//! handed such a text keeps the last good one.

mod check;

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::jsonc;

/// Parts per million in a whole.
pub const PPM: u64 = 1_000_000;
/// Largest text; the platform holds values up to a megabyte.
pub const MAX_TEXT_BYTES: usize = 1_000_000;
/// The guaranteed shares together may take at most this much, so that priority decides the rest.
pub const MAX_GUARANTEED_PPM: u64 = 500_000;
/// How many latency targets long an unprotected class waits, if its text says nothing.
const DEFAULT_WAIT_TARGETS: u64 = 1;

/// The text as written, before it is checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSpec {
    pub classes: BTreeMap<CompactString, ClassSpec>,
    pub services: BTreeMap<CompactString, ServiceSpec>,
    pub accounts: BTreeMap<CompactString, AccountSpec>,
    #[serde(default)]
    pub billing: Billing,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Time to the first token, counted from the request's arrival.
    pub latency_target_ms: u32,
    /// Higher goes first.
    pub priority: u8,
    /// A protected class is never shed or preempted for a lower one.
    #[serde(default)]
    pub protected: bool,
    /// Least share of an endpoint's service while requests of this class wait.
    #[serde(default = "default_guaranteed_ppm")]
    pub guaranteed_ppm: u64,
    /// Longest wait for a place at the endpoint; then the request is refused, not run.
    pub max_wait_ms: Option<u32>,
}

impl ClassSpec {
    /// How long a request of this class waits for a slot at most; `None`: as long as its caller.
    ///
    /// By default as long as it can still be in time: slots given to what is late anyway are taken
    /// from what could be in time, and under a burst everything would be late.
    #[must_use]
    pub fn longest_wait_ms(&self) -> Option<u64> {
        let default_ms = u64::from(self.latency_target_ms) * DEFAULT_WAIT_TARGETS;
        match (self.max_wait_ms, self.protected) {
            // A protected class is never given up on for being late: while lower classes still get
            // their share, that would be shedding it for them.
            (_, true) => None,
            (Some(most_ms), false) => Some(u64::from(most_ms)),
            (None, false) => Some(default_ms),
        }
    }
}

/// A service that endpoints run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    pub kind: ServiceKind,
    /// Model names that callers use; for model engines only.
    #[serde(default)]
    pub models: Vec<CompactString>,
    /// Services that must be up for this one to answer.
    #[serde(default)]
    pub depends_on: Vec<CompactString>,
    pub default_class: CompactString,
    /// Requests that run at an endpoint at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that wait at an endpoint.
    #[serde(default = "default_max_queue")]
    pub max_queue: u32,
    /// Whether a call may be sent twice. Calls that may not need an idempotency key.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether the endpoints refuse orders with an old fencing number themselves.
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
    /// Zero: the system does not order endpoints of this service.
    pub most: u32,
}

/// What runs behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A client account.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Weight against other accounts of the same class.
    #[serde(default = "default_share")]
    pub share: u32,
    pub default_class: Option<CompactString>,
    /// Requests of this account at one entry at the same time.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
    /// Prompt and output tokens a second, over all entries; left out: no limit.
    pub tokens_per_s: Option<u32>,
}

/// When usage is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Billing {
    pub window_s: u64,
    /// How long after its end a window is sealed.
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

/// A class in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassKey(pub u16);
/// A service in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey(pub u16);
/// A client account in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountKey(pub u32);

/// A checked class.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: CompactString,
    pub spec: ClassSpec,
}

/// A checked service.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: CompactString,
    pub spec: ServiceSpec,
    pub default_class: ClassKey,
    /// Everything it needs, directly or through others.
    pub needs: Vec<ServiceKey>,
}

/// A checked client account.
#[derive(Clone, Debug)]
pub struct Account {
    pub name: CompactString,
    pub share: u32,
    pub default_class: Option<ClassKey>,
    pub max_concurrent: u32,
    pub tokens_per_s: Option<u32>,
}

/// The checked model.
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
    /// Reads and checks an operators' text.
    ///
    /// # Errors
    /// The first mistake, with line and column.
    pub fn parse(text: &str) -> Result<Self, jsonc::Error> {
        if text.len() > MAX_TEXT_BYTES {
            let message = format!("the text is longer than {MAX_TEXT_BYTES} bytes");
            return Err(jsonc::Error { line: 1, column: 1, message });
        }
        let document = jsonc::Document::parse(text)?;
        let spec: ConfigSpec = document.read()?;
        check::build(spec).map_err(|(path, sentence)| document.error_at(&path, sentence))
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

    /// The weight of an account; one if it is not in the text.
    #[must_use]
    pub fn share_of(&self, account: &str) -> u32 {
        self.account(account).map_or(1, |key| self.account_at(key).share)
    }

    /// The service that runs a model.
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
