//! A plain service that counts how often each call was executed, by idempotency key and by request id.
//! `/record` shows the counts, so that tests can detect calls that ran twice.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde_json::json;

use crate::serve;

#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Duration of a call in milliseconds
    #[arg(long, default_value_t = 5)]
    call_ms: u64,
}

#[derive(Debug, Default)]
struct Record {
    /// Executions by idempotency key.
    keys: HashMap<String, u32>,
    /// Executions by request id.
    runs: HashMap<String, u32>,
    /// Whether any call contained a client key.
    key_seen: bool,
    calls: u64,
}

#[derive(Clone)]
struct Shared {
    options: Options,
    record: Arc<Mutex<Record>>,
}

pub async fn run(options: Options) -> anyhow::Result<()> {
    let listener = serve::bind(options.listen)?;
    let shared = Shared { options, record: Arc::default() };
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .state(web::types::PayloadConfig::new(4 << 20))
            .route("/record", web::get().to(record))
            .default_service(web::route().to(call))
    })
    .workers(1)
    .listen(listener)?
    .run()
    .await?;
    Ok(())
}

async fn record(shared: web::types::State<Shared>) -> HttpResponse {
    let record = shared.record.lock().expect("no holder of this lock panics");
    HttpResponse::Ok().json(&json!({
        "keys": record.keys,
        "runs": record.runs,
        "key_seen": record.key_seen,
        "calls": record.calls,
    }))
}

async fn call(
    request: HttpRequest,
    body: String,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    let number = {
        let mut record = shared.record.lock().expect("no holder of this lock panics");
        record.calls += 1;
        record.key_seen |= serve::request_contains_key(&request, &body);
        if let Some(id) = serve::header(&request, "x-request-id") {
            *record.runs.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = serve::header(&request, "idempotency-key") {
            *record.keys.entry(key.to_owned()).or_default() += 1;
        }
        record.calls
    };
    tokio::time::sleep(Duration::from_millis(shared.options.call_ms)).await;
    HttpResponse::Ok().json(&json!({
        "number": number,
        "method": request.method().as_str(),
        "path": request.uri().to_string(),
        "body": body,
    }))
}
