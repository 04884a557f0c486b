//! The platform: object API with versions, conditional writes and watches; endpoint interface by
//! zone; usage interface; instance list with a lag. It can be told to fail.

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
    /// How long the instance list lags
    #[arg(long, default_value_t = 1000)]
    lag_ms: u64,
    /// Orders with a fencing number older than the newest seen are refused
    #[arg(long)]
    checks_fence: bool,
}

/// How the platform is told to fail.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Faults {
    /// All calls of the object API answer 503.
    down: bool,
    /// All calls hang for this long before they are served.
    delay_ms: u64,
    /// This many next writes take effect and get no proper answer.
    lose_answers: u32,
    /// Reads and watches show the objects as of this revision; zero: as they are.
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
    objects: BTreeMap<String, Vec<(u64, Option<String>)>>,
    faults: Faults,
    counts: Counts,
    instances: VecDeque<(Instant, u64, BTreeMap<String, String>)>,
    instances_now: BTreeMap<String, String>,
    instances_revision: u64,
    zones: BTreeMap<String, Zone>,
    reports: Vec<serde_json::Value>,
}

#[derive(Debug, Default)]
struct Zone {
    newest_epoch: u64,
    orders: Vec<serde_json::Value>,
    endpoints: BTreeMap<String, (String, String)>,
    next: u64,
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
    fn at(&self, key: &str, as_of: u64) -> Option<(u64, &String)> {
        let versions = self.objects.get(key)?;
        let seen = versions.iter().rev().find(|(version, _)| as_of == 0 || *version <= as_of)?;
        seen.1.as_ref().map(|value| (seen.0, value))
    }

    fn listing(&self, prefix: &str, after: u64) -> Listing {
        let as_of = self.faults.read_as_of;
        let objects = self
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| {
                let (version, value) = self.at(key, as_of)?;
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

    fn write(&mut self, key: &str, value: Option<String>, if_version: u64) -> Result<u64, u64> {
        let current = self.at(key, 0).map_or(0, |(version, _)| version);
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

    /// Waits or refuses as told; the answer to give instead, if any.
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
            // As from a gateway that lost its upstream: the write stands, the answer does not come.
            return HttpResponse::GatewayTimeout().finish();
        }
        match outcome {
            Ok(version) => HttpResponse::Ok().json(&json!({"version": version})),
            Err(version) => HttpResponse::Conflict().json(&json!({"version": version})),
        }
    }
}

type App_ = web::types::State<Shared>;

fn key_of(request: &HttpRequest) -> String {
    request.path().trim_start_matches("/objects/").to_owned()
}

fn query<T: std::str::FromStr>(request: &HttpRequest, name: &str) -> Option<T> {
    let query = request.uri().query()?;
    let pair =
        query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    pair?.1.parse().ok()
}

async fn get(request: HttpRequest, shared: App_) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    state.counts.reads += 1;
    let key = key_of(&request);
    match state.at(&key, state.faults.read_as_of) {
        Some((version, value)) => {
            HttpResponse::Ok().json(&json!({"key": key, "version": version, "value": value}))
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put(request: HttpRequest, body: String, shared: App_) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let if_version = query(&request, "if_version").unwrap_or(0);
    let outcome = {
        let mut state = shared.lock();
        state.counts.writes += 1;
        state.write(&key_of(&request), Some(body), if_version)
    };
    shared.answer_write(outcome)
}

async fn delete(request: HttpRequest, shared: App_) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let if_version = query(&request, "if_version").unwrap_or(0);
    let outcome = {
        let mut state = shared.lock();
        state.counts.writes += 1;
        state.write(&key_of(&request), None, if_version)
    };
    shared.answer_write(outcome)
}

async fn list(request: HttpRequest, shared: App_) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    state.counts.lists += 1;
    let prefix: String = query(&request, "prefix").unwrap_or_default();
    HttpResponse::Ok().json(&state.listing(&prefix, 0))
}

async fn watch(request: HttpRequest, shared: App_) -> HttpResponse {
    let prefix: String = query(&request, "prefix").unwrap_or_default();
    let after = query(&request, "after").unwrap_or(0);
    let wait = Duration::from_millis(query(&request, "wait_ms").unwrap_or(1000));
    let end = Instant::now() + wait;
    shared.lock().counts.watches += 1;
    loop {
        if let Some(answer) = shared.admit().await {
            return answer;
        }
        let changed = shared.changed.notified();
        let listing = shared.lock().listing(&prefix, after);
        let left = end.saturating_duration_since(Instant::now());
        if !listing.objects.is_empty() || left.is_zero() {
            return HttpResponse::Ok().json(&listing);
        }
        let _ = tokio::time::timeout(left.min(Duration::from_millis(200)), changed).await;
    }
}

async fn instances(shared: App_) -> HttpResponse {
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
    /// Absent: it is taken off the list.
    standing: Option<String>,
}

async fn set_instance(set: web::types::Json<SetInstance>, shared: App_) -> HttpResponse {
    let mut state = shared.lock();
    match &set.standing {
        Some(standing) => state.instances_now.insert(set.id.clone(), standing.clone()),
        None => state.instances_now.remove(&set.id),
    };
    state.instances_revision += 1;
    let entry = (Instant::now(), state.instances_revision, state.instances_now.clone());
    state.instances.push_back(entry);
    HttpResponse::Ok().finish()
}

async fn endpoints(zone: web::types::Path<String>, shared: App_) -> HttpResponse {
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
    shared: App_,
) -> HttpResponse {
    let mut state = shared.lock();
    let zone = state.zones.entry(zone.into_inner()).or_default();
    zone.endpoints.insert(set.id.clone(), (set.service.clone(), set.standing.clone()));
    HttpResponse::Ok().finish()
}

async fn order(
    zone: web::types::Path<String>,
    order: web::types::Json<serde_json::Value>,
    shared: App_,
) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    let zone = state.zones.entry(zone.into_inner()).or_default();
    let epoch = order["epoch"].as_u64().unwrap_or(0);
    let stale = epoch < zone.newest_epoch;
    let accepted = !(shared.checks_fence && stale);
    let known = zone.orders.iter().any(|known| known["order"]["nonce"] == order["nonce"]);
    zone.orders.push(json!({"order": &*order, "accepted": accepted, "stale": stale}));
    if !accepted {
        return HttpResponse::Conflict().finish();
    }
    zone.newest_epoch = zone.newest_epoch.max(epoch);
    if !known {
        obey(zone, &order);
    }
    HttpResponse::Ok().json(&json!({}))
}

fn obey(zone: &mut Zone, order: &serde_json::Value) {
    match order["action"].as_str() {
        Some("start") => {
            zone.next += 1;
            let id = format!("ordered-{}", zone.next);
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

async fn report(body: web::types::Json<serde_json::Value>, shared: App_) -> HttpResponse {
    if let Some(answer) = shared.admit().await {
        return answer;
    }
    let mut state = shared.lock();
    state.reports.push(body.clone());
    HttpResponse::Ok().json(&json!({}))
}

async fn set_faults(faults: web::types::Json<Faults>, shared: App_) -> HttpResponse {
    shared.lock().faults = *faults;
    HttpResponse::Ok().finish()
}

async fn record(shared: App_) -> HttpResponse {
    let state = shared.lock();
    let orders: BTreeMap<_, _> =
        state.zones.iter().map(|(name, zone)| (name, &zone.orders)).collect();
    let stored = state.objects.values().flatten().filter_map(|(_, value)| value.as_deref());
    let key_seen = stored.into_iter().any(serve::holds_key);
    HttpResponse::Ok().json(&json!({
        "revision": state.revision,
        "counts": state.counts,
        "orders": orders,
        "reports": state.reports,
        "key_seen": key_seen,
    }))
}
