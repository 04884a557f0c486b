//! The call of a run to its endpoint: claims it if it may not be repeated, sends it and reads the answer.

use std::rc::Rc;
use std::time::Duration;

use ntex::client;
use ntex::http::error::PayloadError;
use ntex::http::{Method, header};
use ntex::time::Millis;
use ntex::util::Bytes;
use tokio::time;

use super::{Run, Side};
use crate::gateway::framing;
use crate::{answer, claims, error, openai, queue, sse, trace, usage, wire};

/// Maximum time between two chunks of an answer, also before the first one.
const READ_TIMEOUT_MS: u64 = 30_000;
/// Maximum length of an answer to a call that may not be repeated. It is buffered until the outcome of its
/// claim is stored.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Attempts to update a claim in the store, and the initial and the maximum backoff between
/// them.
const CLAIM_UPDATE_ATTEMPTS: u32 = 40;
const CLAIM_UPDATE_BACKOFF_MS: u64 = 250;
const CLAIM_UPDATE_MAX_BACKOFF_MS: u64 = 15_000;

/// Executes a started job until its answer has ended.
pub(super) async fn run(side: Rc<Side>, run: Rc<Run>, mut started: queue::Started) {
    let started_ms = side.now_ms();
    let queue_ms = started_ms - run.arrived_ms;
    let mut counter = sse::Counter::default();
    let outcome = call(&side, &run, &mut started, &mut counter).await;
    let output_tokens = u64::from(counter.tokens());
    record_usage(&side, &run, &outcome, started, started_ms, output_tokens);
    let ending = match outcome {
        Ok(()) => answer::Ending::Complete { tokens: counter.tokens(), queue_ms: queue_ms as u32 },
        Err(refusal) => answer::Ending::Refused(refusal),
    };
    side.finish(&run, ending);
    if let Some(endpoint) = side.endpoint(run.submit.endpoint) {
        endpoint.running.set(endpoint.running.get() - 1);
        side.start_queued(endpoint);
    }
}

/// Records the usage and latency of a run.
fn record_usage(
    side: &Side,
    run: &Run,
    outcome: &Result<(), error::Refusal>,
    started: queue::Started,
    started_ms: u64,
    output_tokens: u64,
) {
    let Some(endpoint) = side.endpoint(run.submit.endpoint) else {
        return;
    };
    let prompt_tokens = u64::from(run.submit.prompt_tokens);
    // A change of configuration replaces the queue and with it the charge for this job.
    if endpoint.config_version() == started.version() {
        endpoint.queue.borrow_mut().finish(started, prompt_tokens + output_tokens);
    }
    if outcome.is_ok() {
        let service_ms = side.now_ms() - started_ms;
        endpoint.latency.borrow_mut().finished(service_ms, output_tokens);
    }
    if !run.sent.get() {
        return;
    }
    let line = usage::Line { account: run.account().clone(), service: run.submit.service.clone() };
    let figures = usage::Figures { requests: 1, prompt_tokens, output_tokens };
    side.hub.count_usage(&line, figures);
    metrics::counter!("briarwinch_output_tokens_total").increment(output_tokens);
    metrics::counter!("briarwinch_runs_total").increment(1);
}

async fn call(
    side: &Rc<Side>,
    run: &Rc<Run>,
    started: &mut queue::Started,
    counter: &mut sse::Counter,
) -> Result<(), error::Refusal> {
    if run.submit.repeatable {
        return exchange(side, run, started, counter).await;
    }
    let span = trace::Span::start("claim", run.submit.trace);
    let claimed = claim(side, run).await;
    span.end(&side.spans, &run.submit.request);
    let Some(mut claim) = claimed? else {
        return Ok(());
    };
    // The key may have been withdrawn, or the deadline may have passed, during the call to the store.
    if let Some(refusal) = run.stopped.borrow().clone() {
        update_in_background(side, PendingUpdate::Release(claim));
        return Err(error::Refusal { ran: error::Ran::No, ..refusal });
    }
    let outcome = exchange(side, run, started, counter).await;
    match &outcome {
        Ok(()) => {
            let state = claims::State::Done(saved(&run.answer.borrow()));
            if !claims::record_outcome(&side.platform, &mut claim, state.clone()).await {
                update_in_background(side, PendingUpdate::Outcome(claim, state));
            }
        }
        Err(refusal) if refusal.ran == error::Ran::No => {
            if !claims::release(&side.platform, &claim).await {
                update_in_background(side, PendingUpdate::Release(claim));
            }
        }
        Err(_) => update_in_background(side, PendingUpdate::Outcome(claim, claims::State::Unknown)),
    }
    outcome
}

/// Claims a call that may not be repeated; returns `None` when an earlier run's answer is replayed instead.
async fn claim(side: &Rc<Side>, run: &Rc<Run>) -> Result<Option<claims::Claim>, error::Refusal> {
    let digest = run
        .submit
        .idempotency
        .ok_or_else(|| error::Refusal::not_run(error::Kind::IdempotencyKeyRequired))?;
    let key = claims::key(&side.settings.daemon.region, &run.submit.service, &digest);
    let record = claims::Record {
        state: claims::State::Running,
        nonce: rand::random(),
        request_digest: run.submit.request_digest,
        holder: side.holder(),
    };
    let outcome = claims::claim(&side.platform, key, record, |holder| side.is_alive(holder)).await;
    match outcome {
        claims::Outcome::Claimed(claim) => Ok(Some(claim)),
        claims::Outcome::Replay(saved) => {
            replay(run, saved)?;
            Ok(None)
        }
        claims::Outcome::Refuse { refusal, unconfirmed } => {
            if let Some(claim) = unconfirmed {
                update_in_background(side, PendingUpdate::Release(claim));
            }
            Err(refusal)
        }
    }
}

fn replay(run: &Run, saved: claims::SavedAnswer) -> Result<(), error::Refusal> {
    let Some(body) = saved.body else {
        let refusal = error::Refusal::unknown(error::Kind::ClaimUnresolved);
        return Err(refusal.detail("It ran; its answer was too long to be kept."));
    };
    let mut answer = run.answer.borrow_mut();
    answer.replayed = true;
    answer.head = Some(answer::AnswerHead { status: saved.status, headers: saved.headers });
    answer.push(&body);
    Ok(())
}

fn saved(answer: &answer::Answer) -> claims::SavedAnswer {
    let (status, headers) =
        answer.head.as_ref().map_or((502, Vec::new()), |head| (head.status, head.headers.clone()));
    let short = answer.held_bytes() <= claims::MAX_ANSWER_BYTES;
    let body = short.then(|| answer.piece(0, claims::MAX_ANSWER_BYTES).to_vec());
    claims::SavedAnswer { status, headers, body }
}

/// An update of a claim that the store has not confirmed yet.
enum PendingUpdate {
    Release(claims::Claim),
    Outcome(claims::Claim, claims::State),
}

/// Retries the update of a claim in the background while the store is unavailable, so that the caller does
/// not wait for it.
fn update_in_background(side: &Rc<Side>, update: PendingUpdate) {
    let side = Rc::clone(side);
    tokio::task::spawn_local(async move {
        let mut update = update;
        for attempt in 0..CLAIM_UPDATE_ATTEMPTS {
            let confirmed = match &mut update {
                PendingUpdate::Release(claim) => claims::release(&side.platform, claim).await,
                PendingUpdate::Outcome(claim, state) => {
                    claims::record_outcome(&side.platform, claim, state.clone()).await
                }
            };
            if confirmed {
                return;
            }
            let max_ms =
                (CLAIM_UPDATE_BACKOFF_MS << attempt.min(10)).min(CLAIM_UPDATE_MAX_BACKOFF_MS);
            let backoff_ms = rand::random_range(max_ms / 2..=max_ms);
            time::sleep(Duration::from_millis(backoff_ms)).await;
        }
        slog::error!(
            side.log,
            "store did not accept the update of a claim; an operator has to resolve the claim"
        );
    });
}

/// Sends the call and reads its answer into the run.
async fn exchange(
    side: &Rc<Side>,
    run: &Rc<Run>,
    started: &mut queue::Started,
    counter: &mut sse::Counter,
) -> Result<(), error::Refusal> {
    let span = trace::Span::start("endpoint", run.submit.trace);
    let outcome = tokio::select! {
        biased;
        refusal = stopped(run) => Err(refusal),
        outcome = send_and_read(side, run, started, counter, span.context) => outcome,
    };
    span.end(&side.spans, &run.submit.request);
    outcome
}

async fn stopped(run: &Run) -> error::Refusal {
    loop {
        if let Some(refusal) = run.stopped.borrow().clone() {
            if run.sent.get() {
                return refusal;
            }
            return error::Refusal { ran: error::Ran::No, ..refusal };
        }
        run.wake.notified().await;
    }
}

fn request(
    side: &Side,
    run: &Run,
    context: trace::Context,
) -> Result<client::ClientRequest, error::Refusal> {
    let call = &run.submit.call;
    let endpoint = side
        .endpoint(run.submit.endpoint)
        .ok_or_else(|| error::Refusal::not_run(error::Kind::NoEndpoint))?;
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|_| error::Refusal::not_run(error::Kind::InvalidRequest))?;
    let url = format!("{}{}", endpoint.url, call.path);
    // An endpoint may close a kept connection at the moment when the next call is sent on it, and then it
    // is unknown whether the call was read. A call that may not be repeated would end with an unknown
    // outcome, so it is never sent on a used connection.
    let mut request = if run.submit.repeatable {
        side.http.request(method, url)
    } else {
        side.http_no_reuse.request(method, url).force_close()
    }
    .no_decompress();
    for field in &call.headers {
        request = request.header(field.name.as_str(), field.value.as_str());
    }
    let left_ms = run.deadline_ms.saturating_sub(side.now_ms()).max(1);
    Ok(request
        .set_header("x-request-id", run.submit.request.as_str())
        .set_header("x-priority", run.submit.class.as_str())
        .set_header("traceparent", context.header())
        .timeout(Millis(u32::try_from(left_ms).unwrap_or(u32::MAX))))
}

/// Sends the call. A repeatable call is sent a second time if the connection broke before any answer,
/// because then the endpoint had most likely just closed a kept connection.
async fn send(
    side: &Side,
    run: &Run,
    context: trace::Context,
) -> Result<client::ClientResponse, error::Refusal> {
    let mut may_retry = run.submit.repeatable;
    loop {
        let request = request(side, run, context)?;
        // From here on bytes may have reached the endpoint, unless the connection attempt fails.
        run.sent.set(true);
        let body = Bytes::from(run.submit.call.body.clone());
        let error = match request.send_body(body).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        match error {
            client::error::ClientError::Connect(_) => {
                run.sent.set(false);
                return Err(error::Refusal::not_run(error::Kind::EndpointFailed));
            }
            client::error::ClientError::Timeout => {
                return Err(error::Refusal::unknown(error::Kind::DeadlineExceeded));
            }
            _ if may_retry => may_retry = false,
            other => {
                return Err(error::Refusal::unknown(error::Kind::EndpointFailed)
                    .detail(format!("({other})")));
            }
        }
    }
}

async fn send_and_read(
    side: &Rc<Side>,
    run: &Rc<Run>,
    started: &mut queue::Started,
    counter: &mut sse::Counter,
    context: trace::Context,
) -> Result<(), error::Refusal> {
    let sent_ms = side.now_ms();
    let response = send(side, run, context).await?;
    if !is_valid(&response) {
        let refusal = error::Refusal::unknown(error::Kind::EndpointFailed);
        return Err(refusal.detail("The endpoint's answer is malformed."));
    }
    let is_stream = is_event_stream(&response);
    run.answer.borrow_mut().head = Some(answer::AnswerHead {
        status: response.status().as_u16(),
        headers: headers(&response),
    });
    if run.submit.repeatable {
        run.flush();
    }
    let mut payload = response.take_payload();
    let mut first = true;
    loop {
        while run.submit.repeatable && run.is_behind() {
            run.wake.notified().await;
        }
        let read = time::timeout(Duration::from_millis(READ_TIMEOUT_MS), payload.recv());
        let chunk = match read.await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(None) => break,
            Ok(Some(Err(error))) => return Err(truncated(&error)),
            Err(_) => {
                let refusal = error::Refusal::unknown(error::Kind::EndpointFailed);
                return Err(refusal.detail("The endpoint fell silent."));
            }
        };
        if first {
            first = false;
            record_first_token(side, run, sent_ms);
        }
        append_chunk(side, run, started, counter, &chunk, is_stream)?;
    }
    if !is_stream {
        count_reported_tokens(run, counter);
    }
    if is_stream && !counter.is_done() {
        // A dying engine closes its connection just like one that has finished. Without the closing event
        // the answer is incomplete, and an error is better than a truncated answer.
        let refusal = error::Refusal::unknown(error::Kind::EndpointFailed);
        return Err(refusal.detail("The endpoint ended its answer early."));
    }
    Ok(())
}

/// Takes the number of output tokens from the usage that a non-streamed answer reports.
fn count_reported_tokens(run: &Run, counter: &mut sse::Counter) {
    let answer = run.answer.borrow();
    if let Some(tokens) = openai::output_tokens(answer.piece(0, answer.held_bytes())) {
        counter.set_tokens(tokens);
    }
}

fn truncated(error: &PayloadError) -> error::Refusal {
    error::Refusal::unknown(error::Kind::EndpointFailed)
        .detail(format!("The endpoint's answer broke off ({error})."))
}

fn record_first_token(side: &Side, run: &Run, sent_ms: u64) {
    if let Some(endpoint) = side.endpoint(run.submit.endpoint) {
        let now_ms = side.now_ms();
        let after_ms = now_ms - sent_ms;
        endpoint.latency.borrow_mut().first_token(after_ms, now_ms);
    }
}

fn append_chunk(
    side: &Side,
    run: &Run,
    started: &mut queue::Started,
    counter: &mut sse::Counter,
    chunk: &[u8],
    is_stream: bool,
) -> Result<(), error::Refusal> {
    let mut answer = run.answer.borrow_mut();
    answer.push(chunk);
    let held = answer.held_bytes();
    drop(answer);
    if !run.submit.repeatable {
        // The caller gets the answer only after the outcome of the claim was stored or is being stored in
        // the background, see `call`.
        if held > MAX_BUFFERED_BYTES {
            let refusal = error::Refusal::unknown(error::Kind::EndpointFailed);
            return Err(refusal.detail("The answer is too long."));
        }
        return Ok(());
    }
    if is_stream {
        counter.push(chunk);
        let tokens = u64::from(run.submit.prompt_tokens) + u64::from(counter.tokens());
        if let Some(endpoint) = side.endpoint(run.submit.endpoint)
            && endpoint.config_version() == started.version()
        {
            endpoint.queue.borrow_mut().progress(started, tokens);
        }
    }
    run.flush();
    Ok(())
}

/// Whether the status and the framing of a response are those of the protocol. The client takes more than that.
fn is_valid(response: &client::ClientResponse) -> bool {
    let values = |name| response.headers().get_all(name).map(|value| value.as_bytes());
    framing::is_valid_response(
        response.status().as_u16(),
        values(header::CONTENT_LENGTH),
        values(header::TRANSFER_ENCODING),
    )
}

fn is_event_stream(response: &client::ClientResponse) -> bool {
    response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn headers(response: &client::ClientResponse) -> Vec<wire::Header> {
    response
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(wire::Header { name: name.as_str().into(), value })
        })
        .collect()
}
