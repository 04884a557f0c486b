//! The platform: an object API with versions, conditional writes and watches, an endpoint interface per
//! zone, a usage interface, and an instance list that lags. Tests inject faults through `/control/faults`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use briarwinch::store::{Listing, Object};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::serve;

#[derive(Debug, clap::Args)]
pub struct Options {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Delay in milliseconds before a change shows in the instance list
    #[arg(long, default_value_t = 1000)]
    lag_ms: u64,
    /// Refuse orders whose fencing token is older than the newest one seen
    #[arg(long)]
    checks_fence: bool,
}

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Faults {
    /// All calls but those to `/control` and `/record` are answered with 503.
    down: bool,
    /// Delay before such a call is served.
    delay_ms: u64,
    /// Number of subsequent writes that take effect but are answered with 504.
    lose_answers: u32,
    /// Reads, lists and watches show the objects as of this revision; 0 shows the current ones.
    read_as_of: u64,
}

#[derive(Debug, Default, Serialize)]
struct Counts {
    reads: u64,
    writes: u64,
    watches: u64,
    lists: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Versions of each object, oldest first; a deletion is a version without a value.
    objects: BTreeMap<String, Vec<(u64, Option<String>)>>,
    faults: Faults,
    counts: Counts,
    /// Instance lists with the time and revision of their change, oldest first; each is shown after the lag.
    instances: VecDeque<(Instant, u64, BTreeMap<String, String>)>,
    /// The instance list without the lag.
    current_instances: BTreeMap<String, String>,
    instances_revision: u64,
    zones: BTreeMap<String, Zone>,
    reports: Vec<serde_json::Value>,
}

#[derive(Debug, Default)]
struct Zone {
    newest_epoch: u64,
    orders: Vec<serde_json::Value>,
    /// Service and standing of each endpoint.
    endpoints: BTreeMap<String, (String, String)>,
    /// Number of endpoints started by orders; their ids are numbered by it.
    endpoints_started: u64,
}

#[derive(Clone)]
struct Shared {
    state: Arc<Mutex<State>>,
    changed: Arc<tokio::sync::Notify>,
    lag: Duration,
    checks_fence: bool,
}

pub async fn run(options: Options) -> anyhow::Result<()> {
    let listener = serve::bind(options.listen)?;
    let shared = Shared {
        state: Arc::default(),
        changed: Arc::default(),
        lag: Duration::from_millis(options.lag_ms),
        checks_fence: options.checks_fence,
    };
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .state(web::types::PayloadConfig::new(4 << 20))
            .route("/objects/{key}*", web::get().to(get))
            .route("/objects/{key}*", web::put().to(put))
            .route("/objects/{key}*", web::delete().to(delete))
            .route("/list", web::get().to(list))
            .route("/watch", web::get().to(watch))
            .route("/instances", web::get().to(instances))
            .route("/endpoints/{zone}", web::get().to(endpoints))
            .route("/endpoints/{zone}/orders", web::post().to(order))
            .route("/usage", web::post().to(report))
            .route("/control/faults", web::post().to(set_faults))
            .route("/control/instances", web::post().to(set_instance))
            .route("/control/endpoints/{zone}", web::post().to(set_endpoint))
            .route("/record", web::get().to(record))
    })
    .workers(2)
    .listen(listener)?
    .run()
    .await?;
    Ok(())
}

impl State {
    /// The version and value of an object as of a revision; 0 means the newest.
    fn object_at(&self, key: &str, as_of: u64) -> Option<(u64, &String)> {
        let versions = self.objects.get(key)?;
        let newest = versions.iter().rev().find(|(version, _)| as_of == 0 || *version <= as_of)?;
        newest.1.as_ref().map(|value| (newest.0, value))
    }

    fn listing(&self, prefix: &str, after: u64) -> Listing {
        let as_of = self.faults.read_as_of;
        let objects = self
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| {
                let (version, value) = self.object_at(key, as_of)?;
                (version > after).then(|| Object {
                    key: key.as_str().into(),
                    version,
                    value: value.clone(),
                })
            })
            .collect();
        let revision = if as_of == 0 { self.revision } else { as_of };
        Listing { revision, objects }
    }

    /// Writes or deletes an object if its version is `if_version` (0: it does not exist). Returns the new
    /// version, or the current one on a conflict.
    fn write(&mut self, key: &str, value: Option<String>, if_version: u64) -> Result<u64, u64> {
        let current = self.object_at(key, 0).map_or(0, |(version, _)| version);
        if current != if_version {
            return Err(current);
        }
        self.revision += 1;
        let versions = self.objects.entry(key.to_owned()).or_default();
        versions.push((self.revision, value));
        if versions.len() > 64 {
            versions.remove(0);
        }
        Ok(self.revision)
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Applies the injected delay and outage. Returns the answer to send if the call must not be served.
    async fn admit(&self) -> Option<HttpResponse> {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        faults.down.then(|| HttpResponse::ServiceUnavailable().finish())
    }

    fn answer_write(&self, outcome: Result<u64, u64>) -> HttpResponse {
        self.changed.notify_waiters();
        let mut state = self.lock();
        if state.faults.lose_answers > 0 && outcome.is_ok() {
            state.faults.lose_answers -= 1;
            // Like a gateway that lost its upstream: the write took effect, but its outcome is not reported.
            return HttpResponse::GatewayTimeout().finish();
        }
        match outcome {
            Ok(version) => HttpResponse::Ok().json(&json!({"version": version})),
            Err(version) => HttpResponse::Conflict().json(&json!({"version": version})),
        }
    }
}

type SharedState = web::types::State<Shared>;

fn object_key(request: &HttpRequest) -> String {
    decoded(request.path().trim_start_matches("/objects/"))
}

fn query_value<T: std::str::FromStr>(request: &HttpRequest, name: &str) -> Option<T> {
    let query = request.uri().query()?;
    let pair =
        query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    decoded(pair?.1).parse().ok()
}

fn decoded(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}

async fn get(request: HttpRequest, shared: SharedState) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    state.counts.reads += 1;
    let key = object_key(&request);
    match state.object_at(&key, state.faults.read_as_of) {
        Some((version, value)) => {
            HttpResponse::Ok().json(&json!({"key": key, "version": version, "value": value}))
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put(request: HttpRequest, body: String, shared: SharedState) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let if_version = query_value(&request, "if_version").unwrap_or(0);
    let outcome = {
        let mut state = shared.lock();
        state.counts.writes += 1;
        state.write(&object_key(&request), Some(body), if_version)
    };
    shared.answer_write(outcome)
}

async fn delete(request: HttpRequest, shared: SharedState) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let if_version = query_value(&request, "if_version").unwrap_or(0);
    let outcome = {
        let mut state = shared.lock();
        state.counts.writes += 1;
        state.write(&object_key(&request), None, if_version)
    };
    shared.answer_write(outcome)
}

async fn list(request: HttpRequest, shared: SharedState) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    state.counts.lists += 1;
    let prefix: String = query_value(&request, "prefix").unwrap_or_default();
    HttpResponse::Ok().json(&state.listing(&prefix, 0))
}

async fn watch(request: HttpRequest, shared: SharedState) -> HttpResponse {
    let prefix: String = query_value(&request, "prefix").unwrap_or_default();
    let after = query_value(&request, "after").unwrap_or(0);
    let wait = Duration::from_millis(query_value(&request, "wait_ms").unwrap_or(1000));
    let end = Instant::now() + wait;
    shared.lock().counts.watches += 1;
    loop {
        if let Some(answer) = shared.admit().await {
            return answer;
        }
        let changed = shared.changed.notified();
        let listing = shared.lock().listing(&prefix, after);
        let remaining = end.saturating_duration_since(Instant::now());
        if !listing.objects.is_empty() || remaining.is_zero() {
            return HttpResponse::Ok().json(&listing);
        }
        let _ = tokio::time::timeout(remaining.min(Duration::from_millis(200)), changed).await;
    }
}

async fn instances(shared: SharedState) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    let lag = shared.lag;
    while state.instances.len() > 1 && state.instances[1].0.elapsed() >= lag {
        state.instances.pop_front();
    }
    let visible = state.instances.front().filter(|(since, ..)| since.elapsed() >= lag);
    let (revision, list) = match visible {
        Some((_, revision, list)) => (*revision, list.clone()),
        None => (0, BTreeMap::new()),
    };
    let list: Vec<_> =
        list.iter().map(|(id, standing)| json!({"id": id, "standing": standing})).collect();
    HttpResponse::Ok().json(&json!({"revision": revision, "instances": list}))
}

#[derive(Deserialize)]
struct SetInstance {
    id: String,
    /// If absent, the instance is removed from the list.
    standing: Option<String>,
}

async fn set_instance(set: web::types::Json<SetInstance>, shared: SharedState) -> HttpResponse {
    let mut state = shared.lock();
    match &set.standing {
        Some(standing) => state.current_instances.insert(set.id.clone(), standing.clone()),
        None => state.current_instances.remove(&set.id),
    };
    state.instances_revision += 1;
    let entry = (Instant::now(), state.instances_revision, state.current_instances.clone());
    state.instances.push_back(entry);
    HttpResponse::Ok().finish()
}

async fn endpoints(zone: web::types::Path<String>, shared: SharedState) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let state = shared.lock();
    let list: Vec<_> = state
        .zones
        .get(zone.as_str())
        .into_iter()
        .flat_map(|zone| &zone.endpoints)
        .map(
            |(id, (service, standing))| json!({"id": id, "service": service, "standing": standing}),
        )
        .collect();
    HttpResponse::Ok().json(&json!({"endpoints": list}))
}

#[derive(Deserialize)]
struct SetEndpoint {
    id: String,
    service: String,
    standing: String,
}

async fn set_endpoint(
    zone: web::types::Path<String>,
    set: web::types::Json<SetEndpoint>,
    shared: SharedState,
) -> HttpResponse {
    let mut state = shared.lock();
    let zone = state.zones.entry(zone.into_inner()).or_default();
    zone.endpoints.insert(set.id.clone(), (set.service.clone(), set.standing.clone()));
    HttpResponse::Ok().finish()
}

async fn order(
    zone: web::types::Path<String>,
    order: web::types::Json<serde_json::Value>,
    shared: SharedState,
) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    let zone = state.zones.entry(zone.into_inner()).or_default();
    let epoch = order["epoch"].as_u64().unwrap_or(0);
    let stale = epoch < zone.newest_epoch;
    let accepted = !(shared.checks_fence && stale);
    let repeated = zone.orders.iter().any(|earlier| earlier["order"]["nonce"] == order["nonce"]);
    zone.orders.push(json!({"order": &*order, "accepted": accepted, "stale": stale}));
    if !accepted {
        return HttpResponse::Conflict().finish();
    }
    zone.newest_epoch = zone.newest_epoch.max(epoch);
    if !repeated {
        apply_order(zone, &order);
    }
    HttpResponse::Ok().json(&json!({}))
}

/// Carries out an accepted order: starts an endpoint or marks one as leaving.
fn apply_order(zone: &mut Zone, order: &serde_json::Value) {
    match order["action"].as_str() {
        Some("start") => {
            zone.endpoints_started += 1;
            let id = format!("ordered-{}", zone.endpoints_started);
            let service = order["service"].as_str().unwrap_or_default().to_owned();
            zone.endpoints.insert(id, (service, "starting".to_owned()));
        }
        Some("stop") => {
            let id = order["endpoint"].as_str().unwrap_or_default();
            if let Some((_, standing)) = zone.endpoints.get_mut(id) {
                *standing = "leaving".to_owned();
            }
        }
        _ => {}
    }
}

async fn report(body: web::types::Json<serde_json::Value>, shared: SharedState) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    state.reports.push(body.clone());
    HttpResponse::Ok().json(&json!({}))
}

async fn set_faults(faults: web::types::Json<Faults>, shared: SharedState) -> HttpResponse {
    shared.lock().faults = *faults;
    HttpResponse::Ok().finish()
}

async fn record(shared: SharedState) -> HttpResponse {
    let state = shared.lock();
    let orders: BTreeMap<_, _> =
        state.zones.iter().map(|(name, zone)| (name, &zone.orders)).collect();
    let stored_values = state.objects.values().flatten().filter_map(|(_, value)| value.as_deref());
    let key_seen = stored_values.into_iter().any(serve::contains_key);
    HttpResponse::Ok().json(&json!({
        "revision": state.revision,
        "counts": state.counts,
        "orders": orders,
        "reports": state.reports,
        "key_seen": key_seen,
    }))
}
