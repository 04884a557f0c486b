//! Selects an endpoint for a request and relays its answer; retries at another endpoint where that is safe.

use std::collections::HashSet;
use std::rc::Rc;

use ntex::web::HttpResponse;

use super::reader::{Next, Reader};
use super::{Worker, asks, intake, respond};
use crate::{drain, error, explain, membership, placement, trace, wire};

/// Maximum number of endpoints asked to find one that already holds the answer.
const MAX_HOLDERS_ASKED: usize = 64;
/// Maximum number of rounds of asks for a request.
const ASK_ROUNDS: u32 = 4;
/// Minimum time limit of an ask with an idempotency key, whose answer an endpoint may already hold.
/// Longer than an instance stalls under heavy load.
const HOLDER_ASK_MS: u64 = 500;
/// Factor by which the time limit of asks grows from one round to the next.
const ASK_LIMIT_FACTOR: u64 = 4;
/// Maximum number of attempts for a request, even when the retry budget allows more.
const MAX_ATTEMPTS: usize = 4;

/// Serves an admitted request with an answer or a refusal.
pub(super) async fn relay(
    worker: &Rc<Worker>,
    request: intake::Request,
    active: intake::Active,
    mut record: explain::RequestRecord,
    span: trace::Span,
) -> HttpResponse {
    let begin_ms = request.arrived_ms;
    worker.retry_budget.borrow_mut().earn();
    let opening = open(worker, &request, &mut record);
    let opened = worker.common.stop.until(drain::Phase::FinalAnswers, opening).await;
    match opened.unwrap_or_else(|| Err(interrupt(&request))) {
        Ok((reader, head)) => {
            let context = respond::AnswerContext { request, active, record, span };
            respond::answer(worker, context, reader, head).await
        }
        Err(refusal) => {
            span.end(&worker.common.spans, &record.request);
            respond::refuse(worker, &refusal, record, begin_ms)
        }
    }
}

/// The refusal of a request that has no answer when this process is about to exit.
fn interrupt(request: &intake::Request) -> error::Refusal {
    if request.may_have_run.get() {
        return error::Refusal::unknown(error::Kind::Interrupted);
    }
    drain::refusal()
}

/// Submits the request to one endpoint after another until one returns the head of an answer.
async fn open(
    worker: &Rc<Worker>,
    request: &intake::Request,
    record: &mut explain::RequestRecord,
) -> Result<(Reader, wire::Head), error::Refusal> {
    check_dependencies(worker, request)?;
    let mut tried: HashSet<placement::Target> = HashSet::new();
    let mut last_refusal: Option<error::Refusal> = None;
    for _ in 0..MAX_ATTEMPTS {
        if last_refusal.is_some() && !worker.retry_budget.borrow_mut().spend() {
            metrics::counter!("briarwinch_retries_denied_total").increment(1);
            break;
        }
        let mut attempt = explain::Attempt::default();
        let Some(target) = select_endpoint(worker, request, &tried, &mut attempt).await else {
            attempt.outcome = "no endpoint answered".into();
            record.attempts.push(attempt);
            break;
        };
        tried.insert(target);
        let may_have_run = request.may_have_run.replace(true);
        let outcome = attempt_at(worker, request, target).await;
        match outcome {
            Ok(opened) => {
                attempt.outcome = "answered".into();
                record.attempts.push(attempt);
                return Ok(opened);
            }
            Err(refusal) => {
                attempt.outcome = refusal.kind.answer().code.into();
                record.attempts.push(attempt);
                if refusal.kind == error::Kind::LinkLost {
                    worker.backoffs.borrow_mut().record_timeout(target, worker.now_ms());
                }
                request.may_have_run.set(may_have_run || refusal.ran == error::Ran::Unknown);
                let may_retry = refusal.may_try_other(request.repeatable);
                last_refusal = Some(merge_refusals(request, refusal));
                if !may_retry || worker.now_ms() >= request.deadline_at_ms {
                    break;
                }
                metrics::counter!("briarwinch_retries_total").increment(1);
            }
        }
    }
    Err(last_refusal.unwrap_or_else(|| error::Refusal::not_run(error::Kind::NoEndpoint)))
}

/// Returns the later refusal of a retried request. It says "not run" only if no attempt may have run.
fn merge_refusals(request: &intake::Request, mut refusal: error::Refusal) -> error::Refusal {
    if request.may_have_run.get() {
        refusal.ran = error::Ran::Unknown;
    }
    refusal
}

fn check_dependencies(worker: &Worker, request: &intake::Request) -> Result<(), error::Refusal> {
    let Some(active_config) = &request.snapshot.config else {
        return Ok(());
    };
    let Some(service) = active_config.model.service(&request.service) else {
        return Ok(());
    };
    let region = &worker.common.settings.daemon.region;
    for needed in &active_config.model.service_at(service).needs {
        let name = &active_config.model.service_at(*needed).name;
        if request.snapshot.endpoints(region, name).is_empty() {
            return Err(error::Refusal::not_run(error::Kind::DependencyDown)
                .detail(format!("(`{name}`)"))
                .retry_after_ms(5_000));
        }
    }
    Ok(())
}

async fn attempt_at(
    worker: &Rc<Worker>,
    request: &intake::Request,
    target: placement::Target,
) -> Result<(Reader, wire::Head), error::Refusal> {
    let mut reader = Reader::submit(worker, target, submit(worker, request, target)).await?;
    match reader.next().await {
        Some(Ok(Next::Head(head))) => Ok((reader, head)),
        Some(Err(refusal)) => Err(refusal),
        Some(Ok(Next::Chunk(_) | Next::End(_))) | None => {
            Err(error::Refusal::unknown(error::Kind::Internal).detail("The answer has no head."))
        }
    }
}

fn submit(worker: &Worker, request: &intake::Request, target: placement::Target) -> wire::Submit {
    let now_ms = worker.now_ms();
    let remaining_ms = |at_ms: u64| u32::try_from(at_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
    wire::Submit {
        stream: wire::StreamId { slot: 0, generation: 0 },
        endpoint: target.endpoint,
        request: request.id.clone(),
        service: request.service.clone(),
        class: request.class.clone(),
        account: request.account.clone(),
        key: request.key.clone(),
        key_revision: request.key_revision,
        deadline_ms: remaining_ms(request.deadline_at_ms),
        target_ms: remaining_ms(request.target_at_ms),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        prefix: request.prefix,
        idempotency: request.idempotency,
        request_digest: request.request_digest,
        repeatable: request.repeatable,
        resume: false,
        from_offset: 0,
        trace: request.trace,
        credit_bytes: 0,
        call: request.call.clone(),
    }
}

/// Asks candidate endpoints and selects the best offer.
async fn select_endpoint(
    worker: &Worker,
    request: &intake::Request,
    tried: &HashSet<placement::Target>,
    attempt: &mut explain::Attempt,
) -> Option<placement::Target> {
    let daemon = &worker.common.settings.daemon;
    let snapshot = worker.snapshot();
    let locations = snapshot.endpoints(&daemon.region, &request.service);
    let span = trace::Span::start("ask", request.trace);
    let ask = wire::Ask {
        nonce: 0,
        endpoint: wire::EndpointIndex(0),
        service: request.service.clone(),
        class: request.class.clone(),
        account: request.account.clone(),
        prompt_tokens: request.prompt_tokens,
        prefix: request.prefix,
        idempotency: request.idempotency,
    };
    let mut best = None;
    let mut limit_ms = match request.idempotency {
        Some(_) => worker.common.settings.ask_ms.max(HOLDER_ASK_MS),
        None => worker.common.settings.ask_ms,
    };
    for round in 0..ASK_ROUNDS {
        // Asks can be lost, and sides can stall briefly. The request has not been submitted yet, so
        // another round with a longer limit, which includes endpoints in backoff, costs only time,
        // whereas a refusal would fail the caller's request.
        let asked = candidates(worker, request, locations, tried, round == 0);
        let offers = worker.ask(&asked, &ask, limit_ms).await;
        attempt.asked.extend(asked.iter().map(|location| describe_ask(location, &offers)));
        best = best_offer(&asked, &offers, &daemon.zone);
        if best.is_some() || asked.is_empty() && round > 0 {
            break;
        }
        limit_ms *= ASK_LIMIT_FACTOR;
    }
    span.end(&worker.common.spans, &request.id);
    let best = best?;
    attempt.chosen = Some(best.id.clone());
    Some(placement::Target::of(best))
}

fn candidates<'a>(
    worker: &Worker,
    request: &intake::Request,
    locations: &'a [membership::EndpointLocation],
    tried: &HashSet<placement::Target>,
    skip_backed_off: bool,
) -> Vec<&'a membership::EndpointLocation> {
    let now_ms = worker.now_ms();
    let backoffs = worker.backoffs.borrow();
    let avoid = |target| {
        tried.contains(&target) || (skip_backed_off && backoffs.is_backed_off(target, now_ms))
    };
    // With an idempotency key any endpoint may already hold the answer, so all are asked.
    let width = match request.idempotency {
        Some(_) => MAX_HOLDERS_ASKED,
        None => worker.common.settings.ask_width,
    };
    let zone = &worker.common.settings.daemon.zone;
    placement::pick(locations, zone, request.prefix, width, avoid, &mut rand::rng())
}

fn best_offer<'a>(
    asked: &[&'a membership::EndpointLocation],
    offers: &[asks::ReceivedOffer],
    own_zone: &str,
) -> Option<&'a membership::EndpointLocation> {
    let cost = |received: &asks::ReceivedOffer| {
        let location =
            asked.iter().find(|location| placement::Target::of(location) == received.target)?;
        if received.offer.holds_answer {
            return Some((0, *location));
        }
        let same_zone = location.zone == own_zone;
        (!received.offer.leaving)
            .then(|| (1 + placement::cost_ms(&received.offer, same_zone), *location))
    };
    offers.iter().filter_map(cost).min_by_key(|(cost_ms, _)| *cost_ms).map(|(_, location)| location)
}

fn describe_ask(
    location: &membership::EndpointLocation,
    offers: &[asks::ReceivedOffer],
) -> explain::Candidate {
    let target = placement::Target::of(location);
    let offer = offers.iter().find(|received| received.target == target);
    explain::Candidate {
        endpoint: location.id.clone(),
        zone: location.zone.clone(),
        first_token_ms: offer.map(|received| received.offer.first_token_ms),
        knows_prefix: offer.is_some_and(|received| received.offer.knows_prefix),
    }
}
