//! The admin listener of every daemon: readiness, metrics, status and explanations of requests.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use metrics_exporter_prometheus::PrometheusHandle;
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};

use crate::{duties, explain, hub, settings};

/// The response of `/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub daemon: CompactString,
    pub zone: CompactString,
    pub ready: bool,
    pub draining: bool,
    pub store_up: bool,
    pub config_version: u64,
    /// Version of a newer configuration that was rejected, with the error.
    pub config_refused: Option<String>,
    pub keys_revision: u64,
    pub keys: usize,
    pub roster_revision: u64,
    pub members: Vec<MemberLine>,
    pub duties: Vec<duties::Status>,
    /// Control traffic sent since the start of the daemon.
    pub control_bytes_out: u64,
    pub store_calls: u64,
}

/// A daemon in `/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberLine {
    pub id: CompactString,
    pub role: String,
    pub region: CompactString,
    pub zone: CompactString,
    pub state: String,
    pub admin_addr: String,
    pub endpoints: Vec<EndpointLine>,
}

/// An endpoint in `/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointLine {
    pub id: CompactString,
    pub service: CompactString,
    /// Why the endpoint receives no requests; empty if it does.
    pub out_because: String,
}

#[derive(Clone)]
struct State {
    hub: Arc<hub::Hub>,
    history: Option<Arc<explain::RequestHistory>>,
    metrics: PrometheusHandle,
    id: CompactString,
    zone: CompactString,
}

/// Starts the listener on its own thread, which runs until the process ends.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn(
    settings: &settings::Daemon,
    hub: Arc<hub::Hub>,
    history: Option<Arc<explain::RequestHistory>>,
    metrics: PrometheusHandle,
    listener: std::net::TcpListener,
) -> anyhow::Result<()> {
    let state =
        State { hub, history, metrics, id: settings.id.clone(), zone: settings.zone.clone() };
    std::thread::Builder::new().name("admin".to_owned()).spawn(move || {
        let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
        runner.block_on(async move {
            let server = HttpServer::new(async move || {
                App::new()
                    .state(state.clone())
                    .route("/ready", web::get().to(ready))
                    .route("/metrics", web::get().to(metrics_text))
                    .route("/status", web::get().to(status))
                    .route("/explain/{request}", web::get().to(explain_request))
            })
            .workers(1)
            .disable_signals()
            .listen(listener);
            if let Ok(server) = server {
                let _ = server.run().await;
            }
        });
    })?;
    Ok(())
}

async fn ready(state: web::types::State<State>) -> HttpResponse {
    let ready = state.hub.ready.load(Ordering::Acquire);
    let draining = state.hub.draining.load(Ordering::Acquire);
    if ready && !draining {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body(if draining { "draining\n" } else { "starting\n" })
    }
}

async fn metrics_text(state: web::types::State<State>) -> HttpResponse {
    state.metrics.run_upkeep();
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(state.metrics.render())
}

async fn explain_request(
    state: web::types::State<State>,
    request: web::types::Path<String>,
) -> HttpResponse {
    let record = state.history.as_ref().and_then(|history| history.find(&request));
    match record {
        Some(record) => HttpResponse::Ok().json(&record),
        None => HttpResponse::NotFound().json(&serde_json::json!({"error": "not remembered here"})),
    }
}

async fn status(state: web::types::State<State>) -> HttpResponse {
    match read_status(&state) {
        Some(status) => HttpResponse::Ok().json(&status),
        None => HttpResponse::InternalServerError().finish(),
    }
}

fn read_status(state: &State) -> Option<Status> {
    let hub = &state.hub;
    let shared = hub.shared.lock().ok()?.clone();
    let snapshot = hub.snapshot.load();
    let members = shared.fleet.iter().map(|member| MemberLine {
        id: member.id.clone(),
        role: member.role.to_string(),
        region: member.region.clone(),
        zone: member.zone.clone(),
        state: member.state.to_string(),
        admin_addr: member.admin_addr.to_string(),
        endpoints: member
            .endpoints
            .iter()
            .map(|endpoint| EndpointLine {
                id: endpoint.id.clone(),
                service: endpoint.service.clone(),
                out_because: out_because(&snapshot.leaving, member, &endpoint.id),
            })
            .collect(),
    });
    Some(Status {
        daemon: state.id.clone(),
        zone: state.zone.clone(),
        ready: hub.ready.load(Ordering::Acquire),
        draining: hub.draining.load(Ordering::Acquire),
        store_up: hub.store_up.load(Ordering::Relaxed),
        config_version: snapshot.config_version(),
        config_refused: shared
            .rejected_config
            .as_ref()
            .map(|rejected| format!("version {}: {}", rejected.version, rejected.error)),
        keys_revision: shared.keys.revision(),
        keys: shared.keys.len(),
        roster_revision: shared.roster.revision,
        members: members.collect(),
        duties: hub.duties.lock().map(|duties| duties.clone()).unwrap_or_default(),
        control_bytes_out: hub.bytes_out.load(Ordering::Relaxed),
        store_calls: hub.store_calls.load(Ordering::Relaxed),
    })
}

fn out_because(
    leaving: &std::collections::HashSet<CompactString>,
    member: &crate::membership::Member,
    endpoint: &CompactString,
) -> String {
    if leaving.contains(endpoint) || leaving.contains(&member.id) {
        "the platform says it is leaving".to_owned()
    } else if member.state != crate::membership::State::Ready {
        format!("its daemon is {}", member.state)
    } else {
        String::new()
    }
}
