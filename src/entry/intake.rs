//! Admission of an HTTP request: checks key and limits, reads the body and resolves service and class.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use ntex::http::{Method, header};
use ntex::web::{self, HttpRequest, HttpResponse};
use xxhash_rust::xxh3;

use super::{Worker, relay, respond};
use crate::caller_connections::ActiveRequest;
use crate::{
    admission, body, body_allowance, clock, config, drain, error, explain, gossip, head_timer,
    keys, openai, trace, wire,
};

/// Header that selects the class of a request.
pub(super) const CLASS_HEADER: &str = "briarwinch-class";
/// Header with the time that the caller waits, in ms.
const DEADLINE_HEADER: &str = "briarwinch-deadline-ms";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const SERVICES_PATH: &str = "/services/";
const DEFAULT_DEADLINE_MS: u32 = 600_000;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Request headers that are not forwarded to the endpoint.
const STRIPPED_HEADERS: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "traceparent",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// An admitted request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: CompactString,
    pub(super) snapshot: Arc<gossip::Snapshot>,
    pub(super) service: CompactString,
    pub(super) class: CompactString,
    pub(super) account: CompactString,
    pub(super) key: CompactString,
    pub(super) key_revision: u64,
    pub(super) arrived_ms: u64,
    pub(super) deadline_at_ms: u64,
    pub(super) target_at_ms: u64,
    /// This thread's share of the account's token rate, if the account has a limit.
    pub(super) tokens_per_s: Option<f64>,
    pub(super) prompt_tokens: u32,
    pub(super) max_tokens: u32,
    pub(super) prefix: u64,
    pub(super) idempotency: Option<wire::IdempotencyDigest>,
    pub(super) request_digest: [u8; 16],
    pub(super) repeatable: bool,
    /// Whether an endpoint may have run it.
    pub(super) may_have_run: Cell<bool>,
    pub(super) trace: trace::Context,
    pub(super) call: wire::Call,
    /// Memory that the body of the call takes.
    _body_reservation: Option<body_allowance::Reservation>,
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct Active {
    worker: Rc<Worker>,
    account: CompactString,
}

impl Active {
    /// Returns `None` when the account has reached its concurrency limit on this thread.
    fn begin(worker: &Rc<Worker>, account: &CompactString, max_concurrent: u32) -> Option<Self> {
        let mut active_by_account = worker.active_by_account.borrow_mut();
        let count = active_by_account.entry(account.clone()).or_default();
        if *count >= max_concurrent {
            return None;
        }
        *count += 1;
        worker.common.stop.active.fetch_add(1, Ordering::AcqRel);
        Some(Self { worker: Rc::clone(worker), account: account.clone() })
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.worker.common.stop.active.fetch_sub(1, Ordering::AcqRel);
        let mut active_by_account = self.worker.active_by_account.borrow_mut();
        if let Some(count) = active_by_account.get_mut(&self.account) {
            *count -= 1;
            if *count == 0 {
                active_by_account.remove(&self.account);
            }
        }
    }
}

/// Handles an HTTP request of a caller.
pub(super) async fn handle(
    http: HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<Rc<Worker>>,
) -> HttpResponse {
    let worker: &Rc<Worker> = &worker;
    head_timer::stop(&http);
    let active = ActiveRequest::begin(&http);
    worker.common.stop.record_arrival(clock::boot_ms());
    let mut response = match answer_locally(worker, &http) {
        Some(response) => response,
        None => serve(worker, &http, payload).await,
    };
    if worker.common.stop.is_draining() {
        // On a kept connection the caller's next request could reach the process after it has
        // exited, and the caller would see the connection break.
        response.head_mut().set_connection_type(ntex::http::ConnectionType::Close);
    }
    match active {
        Some(active) => active.until_written(response),
        None => response,
    }
}

/// Serves a request from an endpoint. One that is not admitted when a stop comes to its final answers did not run.
async fn serve(
    worker: &Rc<Worker>,
    http: &HttpRequest,
    payload: web::types::Payload,
) -> HttpResponse {
    let id = CompactString::from(trace::request_id());
    let parent = text_header(http, "traceparent").and_then(trace::Context::parse);
    let span = trace::Span::start("entry", parent.unwrap_or_else(trace::Context::root));
    let mut record = explain::RequestRecord {
        request: id.clone(),
        trace_id: format!("{:032x}", span.context.trace),
        ..Default::default()
    };
    let begin_ms = worker.now_ms();
    let admission = admit(worker, http, payload, id, span.context, &mut record);
    let admitted = worker.common.stop.until(drain::Phase::FinalAnswers, admission).await;
    match admitted.unwrap_or_else(|| Err(drain::refusal())) {
        Ok((request, active)) => {
            // Boxed so that a request takes no memory for this while its body arrives.
            Box::pin(relay::relay(worker, request, active, record, span)).await
        }
        Err(refusal) => {
            span.end(&worker.common.spans, &record.request);
            respond::refuse(worker, &refusal, record, begin_ms)
        }
    }
}

/// Answers `/v1/models`, which needs no endpoint; returns `None` for other requests.
fn answer_locally(worker: &Worker, http: &HttpRequest) -> Option<HttpResponse> {
    if http.path() != "/v1/models" || *http.method() != Method::GET {
        return None;
    }
    let snapshot = worker.snapshot();
    if let Err(refusal) = check_key(&snapshot, http) {
        return Some(respond::refusal_response(&refusal, ""));
    }
    let config = &snapshot.config.as_ref()?.model;
    let data = config.services.iter().flat_map(|service| {
        service.spec.models.iter().map(|model| openai::Model {
            id: model,
            object: "model",
            owned_by: &service.name,
        })
    });
    Some(HttpResponse::Ok().json(&openai::Models { object: "list", data: data.collect() }))
}

fn text_header<'a>(http: &'a HttpRequest, name: &str) -> Option<&'a str> {
    http.headers().get(name)?.to_str().ok()
}

fn bearer(http: &HttpRequest) -> Option<&str> {
    text_header(http, "authorization")?.strip_prefix("Bearer ").map(str::trim)
}

fn check_key<'a>(
    snapshot: &'a gossip::Snapshot,
    http: &HttpRequest,
) -> Result<&'a keys::Versioned, error::Refusal> {
    let text = bearer(http).ok_or_else(|| error::Refusal::not_run(error::Kind::MissingKey))?;
    if snapshot.config.is_none() {
        return Err(error::Refusal::not_run(error::Kind::NotReady));
    }
    snapshot.keys.check(text)
}

/// Checks a request against its account's limits, reads its body and resolves its service and class.
async fn admit(
    worker: &Rc<Worker>,
    http: &HttpRequest,
    payload: web::types::Payload,
    id: CompactString,
    trace: trace::Context,
    record: &mut explain::RequestRecord,
) -> Result<(Request, Active), error::Refusal> {
    let arrived_ms = worker.now_ms();
    let snapshot = worker.snapshot();
    let refuse = error::Refusal::not_run;
    let key = check_key(&snapshot, http)?;
    record.key = key.record.id.clone();
    record.account = key.record.account.clone();
    let active_config = snapshot.config.as_ref().ok_or_else(|| refuse(error::Kind::NotReady))?;
    record.config_version = active_config.version;
    let config = &active_config.model;
    let account =
        config.account(&key.record.account).map(|key| config.account_at(key)).ok_or_else(|| {
            refuse(error::Kind::InvalidKey).detail("Its account is no longer served.")
        })?;
    let max_concurrent = account.max_concurrent.div_ceil(worker.common.settings.workers as u32);
    let active = Active::begin(worker, &account.name, max_concurrent)
        .ok_or_else(|| refuse(error::Kind::AccountLimit).retry_after_ms(1_000))?;
    let tokens_per_s = account.tokens_per_s.map(|rate_per_s| {
        admission::thread_rate_per_s(rate_per_s, snapshot.entries, worker.common.settings.workers)
    });
    if let Some(rate_per_s) = tokens_per_s {
        let admitted =
            worker.token_budgets.borrow_mut().admit(&account.name, rate_per_s, arrived_ms);
        admitted.map_err(|wait_ms| refuse(error::Kind::AccountLimit).retry_after_ms(wait_ms))?;
    }
    let settings = &worker.common.settings;
    let limit = Duration::from_millis(settings.request_arrival_ms);
    let limits = body::Limits {
        allowance: &worker.common.body_allowance,
        account: xxh3::xxh3_64(account.name.as_bytes()),
        max_bytes: settings.max_body_bytes,
        arrival: limit,
        wait: limit,
    };
    let body = match body::is_declared(http) {
        true => Some(body::read(http, payload, limits).await?),
        false => None,
    };
    let (body, body_reservation) = body.map(|one| (one.bytes, one.reservation)).unzip();
    let body = body.unwrap_or_default();
    check_key_not_forwarded(http, &body)?;
    let destination = resolve_destination(config, http, &body)?;
    let service = config.service_at(destination.service);
    record.service = service.name.clone();
    let class_key = resolve_class(config, http, account, service)?;
    let class = config.class_at(class_key);
    record.class = class.name.clone();
    worker.check_time_left(&service.name, class.spec.latency_target_ms)?;
    let is_safe = matches!(*http.method(), Method::GET | Method::HEAD | Method::OPTIONS);
    let repeatable = service.spec.repeatable || is_safe;
    let idempotency = idempotency_digest(worker, http, &account.name, &service.name)?;
    if !repeatable && idempotency.is_none() {
        return Err(refuse(error::Kind::IdempotencyKeyRequired));
    }
    let digest = request_digest(worker, http, &destination.path, &body);
    let deadline_ms = text_header(http, DEADLINE_HEADER)
        .map_or(Ok(DEFAULT_DEADLINE_MS), str::parse)
        .map_err(|_| refuse(error::Kind::InvalidRequest).detail("The deadline is no number."))?;
    let request = Request {
        id,
        service: service.name.clone(),
        class: class.name.clone(),
        account: account.name.clone(),
        key: key.record.id.clone(),
        key_revision: key.revision,
        arrived_ms,
        deadline_at_ms: arrived_ms + u64::from(deadline_ms),
        target_at_ms: arrived_ms + u64::from(class.spec.latency_target_ms),
        tokens_per_s,
        prompt_tokens: destination.prompt_tokens,
        max_tokens: destination.max_tokens,
        prefix: destination.prefix,
        idempotency,
        request_digest: digest,
        repeatable,
        may_have_run: Cell::new(false),
        trace,
        _body_reservation: body_reservation,
        call: wire::Call {
            method: http.method().as_str().into(),
            path: destination.path,
            headers: forwarded_headers(http),
            body,
        },
        snapshot: Arc::clone(&snapshot),
    };
    Ok((request, active))
}

/// Refuses a request that carries its key in a place that is forwarded to the endpoint.
fn check_key_not_forwarded(http: &HttpRequest, body: &[u8]) -> Result<(), error::Refusal> {
    let Some(key) = bearer(http) else {
        return Ok(());
    };
    let in_uri = http.uri().to_string().contains(key);
    let in_body = body.windows(key.len()).any(|window| window == key.as_bytes());
    let in_header = http.headers().iter().any(|(name, value)| {
        *name != header::AUTHORIZATION && value.to_str().is_ok_and(|text| text.contains(key))
    });
    if in_uri || in_body || in_header {
        return Err(error::Refusal::not_run(error::Kind::KeyInRequest));
    }
    Ok(())
}

/// The service that a request is for and its size, taken from path and body.
struct Destination {
    service: config::ServiceKey,
    path: String,
    prompt_tokens: u32,
    max_tokens: u32,
    prefix: u64,
}

fn resolve_destination(
    config: &config::Config,
    http: &HttpRequest,
    body: &[u8],
) -> Result<Destination, error::Refusal> {
    let refuse = error::Refusal::not_run;
    let path = http.path();
    if matches!(path, "/v1/chat/completions" | "/v1/completions") {
        if *http.method() != Method::POST {
            return Err(refuse(error::Kind::InvalidRequest).detail("The method is POST."));
        }
        let completion = openai::parse(body)
            .map_err(|detail| refuse(error::Kind::InvalidRequest).detail(detail))?;
        let service = config.model(&completion.model).ok_or_else(|| {
            refuse(error::Kind::UnknownModel).detail(format!("(`{}`)", completion.model))
        })?;
        return Ok(Destination {
            service,
            path: path.to_owned(),
            prompt_tokens: completion.prompt_tokens,
            max_tokens: completion.max_tokens,
            prefix: completion.prefix,
        });
    }
    let rest = path.strip_prefix(SERVICES_PATH).ok_or_else(|| refuse(error::Kind::UnknownPath))?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service = config
        .service(name)
        .filter(|key| config.service_at(*key).spec.kind == config::ServiceKind::Plain)
        .ok_or_else(|| refuse(error::Kind::UnknownService).detail(format!("(`{name}`)")))?;
    let query = http.uri().query().map_or(String::new(), |query| format!("?{query}"));
    Ok(Destination {
        service,
        path: format!("/{rest}{query}"),
        prompt_tokens: 1,
        max_tokens: 1,
        prefix: 0,
    })
}

fn resolve_class(
    config: &config::Config,
    http: &HttpRequest,
    account: &config::Account,
    service: &config::Service,
) -> Result<config::ClassKey, error::Refusal> {
    match text_header(http, CLASS_HEADER) {
        Some(name) => config.class(name).ok_or_else(|| {
            error::Refusal::not_run(error::Kind::UnknownClass).detail(format!("(`{name}`)"))
        }),
        None => Ok(account.default_class.unwrap_or(service.default_class)),
    }
}

fn idempotency_digest(
    worker: &Worker,
    http: &HttpRequest,
    account: &str,
    service: &str,
) -> Result<Option<wire::IdempotencyDigest>, error::Refusal> {
    let Some(key) = text_header(http, IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(error::Refusal::not_run(error::Kind::InvalidRequest)
            .detail("An idempotency key has 1 to 200 bytes."));
    }
    // The account is part of the digest, so that equal keys of two accounts never collide.
    let parts = [account.as_bytes(), service.as_bytes(), key.as_bytes()];
    Ok(Some(worker.common.secret.pseudonym(&parts)))
}

fn request_digest(worker: &Worker, http: &HttpRequest, path: &str, body: &[u8]) -> [u8; 16] {
    worker.common.secret.pseudonym(&[http.method().as_str().as_bytes(), path.as_bytes(), body])
}

fn forwarded_headers(http: &HttpRequest) -> Vec<wire::Header> {
    http.headers()
        .iter()
        .filter(|(name, _)| !STRIPPED_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !name.as_str().starts_with("briarwinch-"))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(wire::Header { name: name.as_str().into(), value })
        })
        .collect()
}
