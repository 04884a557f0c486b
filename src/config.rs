//! The operators' text: services, classes, client accounts. Text goes in, a checked model comes
//! out, with small keys into its arenas.
//!
//! A text that is not wholly right is refused, with line, column and a sentence; a daemon that is
//! handed such a text keeps the last good one.

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
const MAX_NAME_CHARS: usize = 64;
/// How many latency targets long an unprotected class waits, if its text says nothing.
const DEFAULT_WAIT_TARGETS: u64 = 20;

/// The text as written, before it is checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Text {
    pub classes: BTreeMap<CompactString, ClassText>,
    pub services: BTreeMap<CompactString, ServiceText>,
    pub accounts: BTreeMap<CompactString, AccountText>,
    #[serde(default)]
    pub billing: Billing,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassText {
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

impl ClassText {
    /// How long a request of this class waits for a slot at most; `None`: as long as its caller.
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
pub struct ServiceText {
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
pub struct AccountText {
    /// Weight against other accounts of the same class.
    #[serde(default = "default_share")]
    pub share: u32,
    pub default_class: Option<CompactString>,
    /// Requests of this account at one entry at the same time.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
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
    pub text: ClassText,
}

/// A checked service.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: CompactString,
    pub text: ServiceText,
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
    pub fn parse(text: &str) -> Result<Self, jsonc::Mistake> {
        if text.len() > MAX_TEXT_BYTES {
            let sentence = format!("the text is longer than {MAX_TEXT_BYTES} bytes");
            return Err(jsonc::Mistake { line: 1, column: 1, sentence });
        }
        let document = jsonc::Document::parse(text)?;
        let text: Text = document.read()?;
        Self::build(text).map_err(|(path, sentence)| document.mistake(&path, sentence))
    }

    fn build(text: Text) -> Result<Self, Broken> {
        check_names(&text)?;
        check_classes(&text)?;
        let class_names = index(text.classes.keys(), |at| ClassKey(at as u16));
        let service_names = index(text.services.keys(), |at| ServiceKey(at as u16));
        let account_names = index(text.accounts.keys(), |at| AccountKey(at as u32));
        let model_names = check_models(&text, &service_names)?;
        let needs = check_dependencies(&text, &service_names)?;
        let services = check_services(&text, &class_names, needs)?;
        let accounts = check_accounts(&text, &class_names)?;
        check_billing(text.billing)?;
        let classes = text.classes.into_iter().map(|(name, text)| Class { name, text }).collect();
        Ok(Self {
            classes,
            services,
            accounts,
            billing: text.billing,
            class_names,
            service_names,
            account_names,
            model_names,
        })
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

/// The first rule broken: where, and a sentence.
type Broken = (jsonc::Path, String);

fn index<'a, K>(
    names: impl Iterator<Item = &'a CompactString>,
    key: impl Fn(usize) -> K,
) -> HashMap<CompactString, K> {
    names.enumerate().map(|(at, name)| (name.clone(), key(at))).collect()
}

fn check_names(text: &Text) -> Result<(), Broken> {
    let groups = [
        ("classes", text.classes.keys().collect::<Vec<_>>()),
        ("services", text.services.keys().collect()),
        ("accounts", text.accounts.keys().collect()),
    ];
    for (group, names) in groups {
        if names.len() >= usize::from(u16::MAX) {
            return Err((crate::path![group], format!("too many {group}")));
        }
        for name in names {
            let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            if name.is_empty() || name.chars().count() > MAX_NAME_CHARS || !name.chars().all(plain)
            {
                let sentence = format!(
                    "`{name}` is no name: 1 to {MAX_NAME_CHARS} letters, digits, `-`, `_` or `.`"
                );
                return Err((crate::path![group, name.as_str()], sentence));
            }
        }
    }
    Ok(())
}

fn check_classes(text: &Text) -> Result<(), Broken> {
    if text.classes.is_empty() {
        return Err((crate::path!["classes"], "at least one class is needed".to_owned()));
    }
    let mut guaranteed_ppm = 0_u64;
    for (name, class) in &text.classes {
        let at = |field: &str| crate::path!["classes", name.as_str(), field];
        if class.latency_target_ms == 0 {
            return Err((at("latency_target_ms"), "the latency target is zero".to_owned()));
        }
        if class.guaranteed_ppm == 0 {
            let sentence = "a class without a guaranteed share could wait forever";
            return Err((at("guaranteed_ppm"), sentence.to_owned()));
        }
        guaranteed_ppm = guaranteed_ppm.saturating_add(class.guaranteed_ppm);
        if guaranteed_ppm > MAX_GUARANTEED_PPM {
            let sentence = format!(
                "the guaranteed shares come to {guaranteed_ppm} ppm, over {MAX_GUARANTEED_PPM}"
            );
            return Err((at("guaranteed_ppm"), sentence));
        }
    }
    Ok(())
}

fn check_models(
    text: &Text,
    names: &HashMap<CompactString, ServiceKey>,
) -> Result<HashMap<CompactString, ServiceKey>, Broken> {
    let mut models = HashMap::new();
    for (name, service) in &text.services {
        let at = crate::path!["services", name.as_str(), "models"];
        let is_engine = service.kind == ServiceKind::Engine;
        if is_engine == service.models.is_empty() {
            let sentence = if is_engine {
                format!("the engine service `{name}` names no model")
            } else {
                format!("the plain service `{name}` has no models")
            };
            return Err((at, sentence));
        }
        for (place, model) in service.models.iter().enumerate() {
            if models.insert(model.clone(), names[name]).is_some() {
                let path = crate::path!["services", name.as_str(), "models", place];
                return Err((path, format!("the model `{model}` stands twice")));
            }
        }
    }
    Ok(models)
}

/// For each service all it needs, in the text's order; refuses unknown names and cycles.
fn check_dependencies(
    text: &Text,
    names: &HashMap<CompactString, ServiceKey>,
) -> Result<Vec<Vec<ServiceKey>>, Broken> {
    for (name, service) in &text.services {
        for (place, needed) in service.depends_on.iter().enumerate() {
            if !names.contains_key(needed) {
                let path = crate::path!["services", name.as_str(), "depends_on", place];
                return Err((path, format!("`{needed}` is no service of this text")));
            }
        }
    }
    text.services
        .keys()
        .map(|name| {
            let mut needs = Vec::new();
            let mut open = vec![name];
            while let Some(current) = open.pop() {
                for needed in &text.services[current].depends_on {
                    if needed == name {
                        let path = crate::path!["services", name.as_str(), "depends_on"];
                        return Err((path, format!("`{name}` depends on itself through a cycle")));
                    }
                    if !needs.contains(&names[needed]) {
                        needs.push(names[needed]);
                        open.push(needed);
                    }
                }
            }
            Ok(needs)
        })
        .collect()
}

fn check_services(
    text: &Text,
    classes: &HashMap<CompactString, ClassKey>,
    needs: Vec<Vec<ServiceKey>>,
) -> Result<Vec<Service>, Broken> {
    let mut services = Vec::new();
    for ((name, service), needs) in text.services.iter().zip(needs) {
        let at = |field: &str| crate::path!["services", name.as_str(), field];
        let default_class = find_class(classes, &service.default_class, at("default_class"))?;
        if service.slots == 0 {
            return Err((at("slots"), "an endpoint needs at least one slot".to_owned()));
        }
        if (service.max_queue as usize) < text.classes.len() {
            let sentence = "the queue needs at least one place for each class";
            return Err((at("max_queue"), sentence.to_owned()));
        }
        if service.endpoints.least > service.endpoints.most {
            return Err((at("endpoints"), "`least` is greater than `most`".to_owned()));
        }
        let text = service.clone();
        services.push(Service { name: name.clone(), text, default_class, needs });
    }
    Ok(services)
}

fn check_accounts(
    text: &Text,
    classes: &HashMap<CompactString, ClassKey>,
) -> Result<Vec<Account>, Broken> {
    let mut accounts = Vec::new();
    for (name, account) in &text.accounts {
        let at = |field: &str| crate::path!["accounts", name.as_str(), field];
        if account.share == 0 {
            return Err((at("share"), "the share is zero".to_owned()));
        }
        let default_class = account
            .default_class
            .as_ref()
            .map(|class| find_class(classes, class, at("default_class")))
            .transpose()?;
        accounts.push(Account {
            name: name.clone(),
            share: account.share,
            default_class,
            max_concurrent: account.max_concurrent,
        });
    }
    Ok(accounts)
}

fn check_billing(billing: Billing) -> Result<(), Broken> {
    if billing.window_s == 0 {
        return Err((crate::path!["billing", "window_s"], "the window is zero".to_owned()));
    }
    Ok(())
}

fn find_class(
    classes: &HashMap<CompactString, ClassKey>,
    name: &CompactString,
    path: jsonc::Path,
) -> Result<ClassKey, Broken> {
    classes.get(name).copied().ok_or_else(|| (path, format!("`{name}` is no class of this text")))
}
