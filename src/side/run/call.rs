//! The call of a run to its endpoint: claim if needed, send, read the answer to its end.

use std::rc::Rc;
use std::time::Duration;

use ntex::client;
use ntex::http::error::PayloadError;
use ntex::http::{Method, header};
use ntex::time::Millis;
use ntex::util::Bytes;
use tokio::time;

use super::{Run, Side};
use crate::{answer, claims, error, openai, queue, sse, trace, usage, wire};

/// How long an endpoint may be silent in the middle of an answer.
const SILENCE_MS: u64 = 30_000;
/// Longest answer of a call that may not be repeated; it is kept whole until its claim is settled.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// How often an unsettled claim is tried again, and the longest pause between tries.
const SETTLE_TRIES: u32 = 40;
const SETTLE_PAUSE_MS: u64 = 250;
const SETTLE_LONGEST_MS: u64 = 15_000;

/// Runs a started job to its end.
pub(super) async fn run(side: Rc<Side>, run: Rc<Run>, mut started: queue::Started) {
    let begin_ms = side.now_ms();
    let queue_ms = begin_ms - run.arrived_ms;
    let mut counter = sse::Counter::default();
    let outcome = call(&side, &run, &mut started, &mut counter).await;
    let output_tokens = u64::from(counter.tokens());
    account(&side, &run, &outcome, started, begin_ms, output_tokens);
    let ending = match outcome {
        Ok(()) => answer::Ending::Complete { tokens: counter.tokens(), queue_ms: queue_ms as u32 },
        Err(refusal) => answer::Ending::Refused(refusal),
    };
    side.finish(&run, ending);
    if let Some(endpoint) = side.endpoint(run.submit.endpoint) {
        endpoint.running.set(endpoint.running.get() - 1);
        side.pump(endpoint);
    }
}

/// Books what the run used.
fn account(
    side: &Side,
    run: &Run,
    outcome: &Result<(), error::Refusal>,
    started: queue::Started,
    begin_ms: u64,
    output_tokens: u64,
) {
    let Some(endpoint) = side.endpoint(run.submit.endpoint) else {
        return;
    };
    let prompt_tokens = u64::from(run.submit.prompt_tokens);
    // After a change of configuration the queue is another one, and the charge went with the old.
    if endpoint.version() == started.version() {
        endpoint.queue.borrow_mut().finish(started, prompt_tokens + output_tokens);
    }
    if outcome.is_ok() {
        let service_ms = side.now_ms() - begin_ms;
        endpoint.latency.borrow_mut().finished(service_ms, output_tokens);
    }
    if !run.sent.get() {
        return;
    }
    let line = usage::Line { account: run.account().clone(), service: run.submit.service.clone() };
    let figures = usage::Figures { requests: 1, prompt_tokens, output_tokens };
    side.hub.count(&line, figures);
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
    // The key may have been withdrawn, or the deadline passed, while the store was asked.
    if let Some(refusal) = run.stopped.borrow().clone() {
        settle_soon(side, Unsettled::Release(claim));
        return Err(error::Refusal { ran: error::Ran::No, ..refusal });
    }
    let outcome = exchange(side, run, started, counter).await;
    match &outcome {
        Ok(()) => {
            let state = claims::State::Done(saved(&run.answer.borrow()));
            if !claims::record_outcome(&side.platform, &mut claim, state.clone()).await {
                settle_soon(side, Unsettled::Settle(claim, state));
            }
        }
        Err(refusal) if refusal.ran == error::Ran::No => {
            if !claims::release(&side.platform, &claim).await {
                settle_soon(side, Unsettled::Release(claim));
            }
        }
        Err(_) => settle_soon(side, Unsettled::Settle(claim, claims::State::Unknown)),
    }
    outcome
}

/// Claims a call that may not be repeated; `None` when its answer was found instead.
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
                settle_soon(side, Unsettled::Release(claim));
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
        answer.head.as_ref().map_or((502, Vec::new()), |top| (top.status, top.headers.clone()));
    let short = answer.held_bytes() <= claims::MAX_ANSWER_BYTES;
    let body = short.then(|| answer.piece(0, claims::MAX_ANSWER_BYTES).to_vec());
    claims::SavedAnswer { status, headers, body }
}

/// What the store has still to be told of a claim.
enum Unsettled {
    Release(claims::Claim),
    Settle(claims::Claim, claims::State),
}

/// Tells the store later, for as long as the store may be down; the caller does not wait.
fn settle_soon(side: &Rc<Side>, unsettled: Unsettled) {
    let side = Rc::clone(side);
    tokio::task::spawn_local(async move {
        let mut unsettled = unsettled;
        for attempt in 0..SETTLE_TRIES {
            let settled = match &mut unsettled {
                Unsettled::Release(claim) => claims::release(&side.platform, claim).await,
                Unsettled::Settle(claim, state) => {
                    claims::record_outcome(&side.platform, claim, state.clone()).await
                }
            };
            if settled {
                return;
            }
            let most_ms = (SETTLE_PAUSE_MS << attempt.min(10)).min(SETTLE_LONGEST_MS);
            let pause_ms = rand::random_range(most_ms / 2..=most_ms);
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
        slog::error!(side.log, "a claim stays unsettled; an operator resolves it");
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
    // An endpoint may close a kept connection at the moment the next call goes out on it, and then
    // nobody can tell whether the call was read. A call that may not be repeated would end with its
    // outcome unknown; so it never goes out on a used connection.
    let mut request = if run.submit.repeatable {
        side.http.request(method, url)
    } else {
        side.http_once.request(method, url).force_close()
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

/// Sends the call; a repeatable one a second time if the connection broke before any answer, for
/// then the connection was most likely one that the endpoint had just closed.
async fn send(
    side: &Side,
    run: &Run,
    context: trace::Context,
) -> Result<client::ClientResponse, error::Refusal> {
    let mut again = run.submit.repeatable;
    loop {
        let request = request(side, run, context)?;
        // From here on bytes may have reached the endpoint, unless connecting itself failed.
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
            _ if again => again = false,
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
        let read = time::timeout(Duration::from_millis(SILENCE_MS), payload.recv());
        let piece = match read.await {
            Ok(Some(Ok(piece))) => piece,
            Ok(None) => break,
            Ok(Some(Err(error))) => return Err(cut_short(&error)),
            Err(_) => {
                let refusal = error::Refusal::unknown(error::Kind::EndpointFailed);
                return Err(refusal.detail("The endpoint fell silent."));
            }
        };
        if first {
            first = false;
            first_token(side, run, sent_ms);
        }
        take_piece(side, run, started, counter, &piece, is_stream)?;
    }
    if !is_stream {
        count_whole(run, counter);
    }
    if is_stream && !counter.is_done() {
        // An engine that dies closes its connection like one that is done. Without its closing
        // event the answer is not whole, and saying so is better than a shortened answer.
        let refusal = error::Refusal::unknown(error::Kind::EndpointFailed);
        return Err(refusal.detail("The endpoint ended its answer early."));
    }
    Ok(())
}

/// Takes the tokens of an answer that did not come as a stream from what it says of itself.
fn count_whole(run: &Run, counter: &mut sse::Counter) {
    let answer = run.answer.borrow();
    if let Some(tokens) = openai::output_tokens(answer.piece(0, answer.held_bytes())) {
        counter.set_tokens(tokens);
    }
}

fn cut_short(error: &PayloadError) -> error::Refusal {
    error::Refusal::unknown(error::Kind::EndpointFailed)
        .detail(format!("The endpoint's answer broke off ({error})."))
}

fn first_token(side: &Side, run: &Run, sent_ms: u64) {
    if let Some(endpoint) = side.endpoint(run.submit.endpoint) {
        let now_ms = side.now_ms();
        let after_ms = now_ms - sent_ms;
        endpoint.latency.borrow_mut().first_token(after_ms, now_ms);
    }
}

fn take_piece(
    side: &Side,
    run: &Run,
    started: &mut queue::Started,
    counter: &mut sse::Counter,
    piece: &[u8],
    is_stream: bool,
) -> Result<(), error::Refusal> {
    let mut answer = run.answer.borrow_mut();
    answer.push(piece);
    let held = answer.held_bytes();
    drop(answer);
    if !run.submit.repeatable {
        // Told to the caller only once the claim is settled or on its way: see `call`.
        if held > MAX_WHOLE_BYTES {
            let refusal = error::Refusal::unknown(error::Kind::EndpointFailed);
            return Err(refusal.detail("The answer is too long."));
        }
        return Ok(());
    }
    if is_stream {
        counter.push(piece);
        let tokens = u64::from(run.submit.prompt_tokens) + u64::from(counter.tokens());
        if let Some(endpoint) = side.endpoint(run.submit.endpoint)
            && endpoint.version() == started.version()
        {
            endpoint.queue.borrow_mut().progress(started, tokens);
        }
    }
    run.flush();
    Ok(())
}

fn is_event_stream(response: &client::ClientResponse) -> bool {
    response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 8] = [
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
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(wire::Header { name: name.as_str().into(), value })
        })
        .collect()
}
