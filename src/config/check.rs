//! Validation of the configuration. Each rule reports the path of the offending value and a message.

use std::collections::HashMap;

use compact_str::CompactString;

use super::{
    Account, AccountKey, Billing, Class, ClassKey, Config, ConfigSpec, MAX_GUARANTEED_PPM, Service,
    ServiceKey, ServiceKind,
};
use crate::jsonc;

const MAX_NAME_CHARS: usize = 64;

/// The first rule that is violated: path of the value and message.
pub(super) type Violation = (jsonc::Path, String);

fn index<'a, K>(
    names: impl Iterator<Item = &'a CompactString>,
    key: impl Fn(usize) -> K,
) -> HashMap<CompactString, K> {
    names.enumerate().map(|(at, name)| (name.clone(), key(at))).collect()
}

fn check_names(spec: &ConfigSpec) -> Result<(), Violation> {
    let groups = [
        ("classes", spec.classes.keys().collect::<Vec<_>>()),
        ("services", spec.services.keys().collect()),
        ("accounts", spec.accounts.keys().collect()),
    ];
    for (group, names) in groups {
        if names.len() >= usize::from(u16::MAX) {
            return Err((crate::path![group], format!("too many {group}")));
        }
        for name in names {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            if name.is_empty()
                || name.chars().count() > MAX_NAME_CHARS
                || !name.chars().all(is_allowed)
            {
                let message = format!(
                    "`{name}` is not a valid name: use 1 to {MAX_NAME_CHARS} letters, digits, `-`, `_` or `.`"
                );
                return Err((crate::path![group, name.as_str()], message));
            }
        }
    }
    Ok(())
}

fn check_classes(spec: &ConfigSpec) -> Result<(), Violation> {
    if spec.classes.is_empty() {
        return Err((crate::path!["classes"], "at least one class is needed".to_owned()));
    }
    let mut guaranteed_ppm = 0_u64;
    for (name, class) in &spec.classes {
        let at = |field: &str| crate::path!["classes", name.as_str(), field];
        if class.latency_target_ms == 0 {
            return Err((at("latency_target_ms"), "the latency target is zero".to_owned()));
        }
        if class.guaranteed_ppm == 0 {
            let message = "a class without a guaranteed share could wait forever";
            return Err((at("guaranteed_ppm"), message.to_owned()));
        }
        guaranteed_ppm = guaranteed_ppm.saturating_add(class.guaranteed_ppm);
        if guaranteed_ppm > MAX_GUARANTEED_PPM {
            let message = format!(
                "the guaranteed shares add up to {guaranteed_ppm} ppm, over the limit of {MAX_GUARANTEED_PPM}"
            );
            return Err((at("guaranteed_ppm"), message));
        }
    }
    Ok(())
}

fn check_models(
    spec: &ConfigSpec,
    names: &HashMap<CompactString, ServiceKey>,
) -> Result<HashMap<CompactString, ServiceKey>, Violation> {
    let mut models = HashMap::new();
    for (name, service) in &spec.services {
        let at = crate::path!["services", name.as_str(), "models"];
        let is_engine = service.kind == ServiceKind::Engine;
        if is_engine == service.models.is_empty() {
            let message = if is_engine {
                format!("the engine service `{name}` lists no models")
            } else {
                format!("the plain service `{name}` must not list models")
            };
            return Err((at, message));
        }
        for (index, model) in service.models.iter().enumerate() {
            if models.insert(model.clone(), names[name]).is_some() {
                let path = crate::path!["services", name.as_str(), "models", index];
                return Err((path, format!("the model `{model}` is listed twice")));
            }
        }
    }
    Ok(models)
}

/// Returns the transitive dependencies of each service, in the order of the services; rejects unknown
/// names and cycles.
fn check_dependencies(
    spec: &ConfigSpec,
    names: &HashMap<CompactString, ServiceKey>,
) -> Result<Vec<Vec<ServiceKey>>, Violation> {
    for (name, service) in &spec.services {
        for (index, needed) in service.depends_on.iter().enumerate() {
            if !names.contains_key(needed) {
                let path = crate::path!["services", name.as_str(), "depends_on", index];
                return Err((
                    path,
                    format!("the service `{needed}` is not defined in this configuration"),
                ));
            }
        }
    }
    spec.services
        .keys()
        .map(|name| {
            let mut needs = Vec::new();
            let mut pending = vec![name];
            while let Some(current) = pending.pop() {
                for needed in &spec.services[current].depends_on {
                    if needed == name {
                        let path = crate::path!["services", name.as_str(), "depends_on"];
                        return Err((
                            path,
                            format!("the service `{name}` depends on itself through a cycle"),
                        ));
                    }
                    if !needs.contains(&names[needed]) {
                        needs.push(names[needed]);
                        pending.push(needed);
                    }
                }
            }
            Ok(needs)
        })
        .collect()
}

fn check_services(
    spec: &ConfigSpec,
    classes: &HashMap<CompactString, ClassKey>,
    needs: Vec<Vec<ServiceKey>>,
) -> Result<Vec<Service>, Violation> {
    let mut services = Vec::new();
    for ((name, service), needs) in spec.services.iter().zip(needs) {
        let at = |field: &str| crate::path!["services", name.as_str(), field];
        let default_class = find_class(classes, &service.default_class, at("default_class"))?;
        if service.slots == 0 {
            return Err((at("slots"), "an endpoint needs at least one slot".to_owned()));
        }
        if (service.max_queue as usize) < spec.classes.len() {
            let message = "the queue needs at least one place for each class";
            return Err((at("max_queue"), message.to_owned()));
        }
        if service.endpoints.least > service.endpoints.most {
            return Err((at("endpoints"), "`least` is greater than `most`".to_owned()));
        }
        let spec = service.clone();
        services.push(Service { name: name.clone(), spec, default_class, needs });
    }
    Ok(services)
}

fn check_accounts(
    spec: &ConfigSpec,
    classes: &HashMap<CompactString, ClassKey>,
) -> Result<Vec<Account>, Violation> {
    let mut accounts = Vec::new();
    for (name, account) in &spec.accounts {
        let at = |field: &str| crate::path!["accounts", name.as_str(), field];
        if account.share == 0 {
            return Err((at("share"), "the share is zero".to_owned()));
        }
        if account.tokens_per_s == Some(0) {
            return Err((
                at("tokens_per_s"),
                "a rate of zero tokens per second would refuse every request".to_owned(),
            ));
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
            tokens_per_s: account.tokens_per_s,
        });
    }
    Ok(accounts)
}

fn check_billing(billing: Billing) -> Result<(), Violation> {
    if billing.window_s == 0 {
        return Err((crate::path!["billing", "window_s"], "the window is zero".to_owned()));
    }
    Ok(())
}

fn find_class(
    classes: &HashMap<CompactString, ClassKey>,
    name: &CompactString,
    path: jsonc::Path,
) -> Result<ClassKey, Violation> {
    classes
        .get(name)
        .copied()
        .ok_or_else(|| (path, format!("the class `{name}` is not defined in this configuration")))
}

/// Validates a configuration and builds its indexed model.
pub(super) fn build(spec: ConfigSpec) -> Result<Config, Violation> {
    check_names(&spec)?;
    check_classes(&spec)?;
    let class_names = index(spec.classes.keys(), |at| ClassKey(at as u16));
    let service_names = index(spec.services.keys(), |at| ServiceKey(at as u16));
    let account_names = index(spec.accounts.keys(), |at| AccountKey(at as u32));
    let model_names = check_models(&spec, &service_names)?;
    let needs = check_dependencies(&spec, &service_names)?;
    let services = check_services(&spec, &class_names, needs)?;
    let accounts = check_accounts(&spec, &class_names)?;
    check_billing(spec.billing)?;
    let classes = spec.classes.into_iter().map(|(name, spec)| Class { name, spec }).collect();
    Ok(Config {
        classes,
        services,
        accounts,
        billing: spec.billing,
        class_names,
        service_names,
        account_names,
        model_names,
    })
}
