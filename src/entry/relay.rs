//! Finds an endpoint for a request and carries its answer back; tries another where that is safe.

use std::collections::HashSet;
use std::rc::Rc;

use ntex::web::HttpResponse;

use super::reader::{Next, Reader};
use super::{Worker, asks, intake, respond};
use crate::{error, explain, membership, placement, trace, wire};

/// Endpoints asked at most when looking for one that holds an answer already.
const MAX_HOLDERS_ASKED: usize = 64;
/// Times a request is asked for at most, each with so many times the patience of the one before.
const ASK_ROUNDS: u32 = 4;
/// How long an ask with an idempotency key waits for endpoints that may hold the answer: longer than an
/// instance stalls on a busy day.
const HOLDER_MS: u64 = 500;
const ASK_PATIENCE: u64 = 4;
/// Tries at most, whatever the retry budget holds.
const MAX_TRIES: usize = 4;

/// Serves a request to its end.
pub(super) async fn relay(
    worker: &Rc<Worker>,
    request: intake::Request,
    active: intake::Active,
    mut story: explain::RequestRecord,
    span: trace::Span,
) -> HttpResponse {
    let begin_ms = request.arrived_ms;
    worker.budget.borrow_mut().earn();
    let opened = open(worker, &request, &mut story).await;
    match opened {
        Ok((reader, head)) => {
            let parts = respond::Parts { request, active, story, span };
            respond::answer(worker, parts, reader, head).await
        }
        Err(refusal) => {
            span.end(&worker.common.spans, &story.request);
            respond::refuse(worker, &refusal, story, begin_ms)
        }
    }
}

/// Gets the head of the answer from some endpoint.
async fn open(
    worker: &Rc<Worker>,
    request: &intake::Request,
    story: &mut explain::RequestRecord,
) -> Result<(Reader, wire::Head), error::Refusal> {
    check_dependencies(worker, request)?;
    let mut tried: HashSet<placement::Target> = HashSet::new();
    let mut last: Option<error::Refusal> = None;
    for _ in 0..MAX_TRIES {
        if last.is_some() && !worker.budget.borrow_mut().spend() {
            metrics::counter!("briarwinch_retries_denied_total").increment(1);
            break;
        }
        let mut attempt = explain::Attempt::default();
        let Some(target) = choose(worker, request, &tried, &mut attempt).await else {
            attempt.outcome = "no endpoint answered".into();
            story.attempts.push(attempt);
            break;
        };
        tried.insert(target);
        let outcome = try_one(worker, request, target).await;
        match outcome {
            Ok(opened) => {
                attempt.outcome = "answered".into();
                story.attempts.push(attempt);
                return Ok(opened);
            }
            Err(refusal) => {
                attempt.outcome = refusal.kind.answer().code.into();
                story.attempts.push(attempt);
                if refusal.kind == error::Kind::LinkLost {
                    worker.silent.borrow_mut().record_timeout(target, worker.now_ms());
                }
                let again = refusal.may_try_other(request.repeatable);
                last = Some(keep_unknown(last, refusal));
                if !again || worker.now_ms() >= request.deadline_at_ms {
                    break;
                }
                metrics::counter!("briarwinch_retries_total").increment(1);
            }
        }
    }
    Err(last.unwrap_or_else(|| error::Refusal::not_run(error::Kind::NoEndpoint)))
}

/// A later refusal of a retried request, which says "not run" only if no try may have run.
fn keep_unknown(before: Option<error::Refusal>, mut refusal: error::Refusal) -> error::Refusal {
    if before.is_some_and(|before| before.ran == error::Ran::Unknown) {
        refusal.ran = error::Ran::Unknown;
    }
    refusal
}

fn check_dependencies(worker: &Worker, request: &intake::Request) -> Result<(), error::Refusal> {
    let Some(in_force) = &request.snapshot.config else {
        return Ok(());
    };
    let Some(service) = in_force.model.service(&request.service) else {
        return Ok(());
    };
    let region = &worker.common.settings.daemon.region;
    for needed in &in_force.model.service_at(service).needs {
        let name = &in_force.model.service_at(*needed).name;
        if request.snapshot.places(region, name).is_empty() {
            return Err(error::Refusal::not_run(error::Kind::DependencyDown)
                .detail(format!("(`{name}`)"))
                .retry_after_ms(5_000));
        }
    }
    Ok(())
}

async fn try_one(
    worker: &Rc<Worker>,
    request: &intake::Request,
    target: placement::Target,
) -> Result<(Reader, wire::Head), error::Refusal> {
    let mut reader = Reader::submit(worker, target, submit(worker, request, target)).await?;
    match reader.next().await {
        Some(Ok(Next::Top(head))) => Ok((reader, head)),
        Some(Err(refusal)) => Err(refusal),
        Some(Ok(Next::Piece(_) | Next::End(_))) | None => {
            Err(error::Refusal::unknown(error::Kind::Internal).detail("The answer has no head."))
        }
    }
}

fn submit(worker: &Worker, request: &intake::Request, target: placement::Target) -> wire::Submit {
    let now_ms = worker.now_ms();
    let left = |at_ms: u64| u32::try_from(at_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
    wire::Submit {
        stream: wire::StreamId { slot: 0, generation: 0 },
        endpoint: target.endpoint,
        request: request.id.clone(),
        service: request.service.clone(),
        class: request.class.clone(),
        account: request.account.clone(),
        key: request.key.clone(),
        key_revision: request.key_revision,
        deadline_ms: left(request.deadline_at_ms),
        target_ms: left(request.target_at_ms),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        prefix: request.prefix,
        idempotency: request.idempotency,
        request_digest: request.request_digest,
        repeatable: request.repeatable,
        take_up: false,
        from_offset: 0,
        trace: request.trace,
        credit_bytes: 0,
        call: request.call.clone(),
    }
}

/// Asks a few endpoints and takes the earliest offer.
async fn choose(
    worker: &Worker,
    request: &intake::Request,
    tried: &HashSet<placement::Target>,
    attempt: &mut explain::Attempt,
) -> Option<placement::Target> {
    let daemon = &worker.common.settings.daemon;
    let snapshot = worker.snapshot();
    let places = snapshot.places(&daemon.region, &request.service);
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
        Some(_) => worker.common.settings.ask_ms.max(HOLDER_MS),
        None => worker.common.settings.ask_ms,
    };
    for round in 0..ASK_ROUNDS {
        // Asks are lost and sides stall for a moment. Nothing has been sent yet, so asking again,
        // with more patience and the silent ones too, costs only time; a refusal would cost the
        // caller its answer.
        let asked = pick(worker, request, places, tried, round == 0);
        let offers = worker.ask(&asked, &ask, limit_ms).await;
        attempt.asked.extend(asked.iter().map(|place| asked_line(place, &offers)));
        best = choose_best(&asked, &offers, &daemon.zone);
        if best.is_some() || asked.is_empty() && round > 0 {
            break;
        }
        limit_ms *= ASK_PATIENCE;
    }
    span.end(&worker.common.spans, &request.id);
    let best = best?;
    attempt.chosen = Some(best.id.clone());
    Some(placement::Target::of(best))
}

fn pick<'a>(
    worker: &Worker,
    request: &intake::Request,
    places: &'a [membership::Place],
    tried: &HashSet<placement::Target>,
    without_silent: bool,
) -> Vec<&'a membership::Place> {
    let now_ms = worker.now_ms();
    let silent = worker.silent.borrow();
    let avoid = |target| {
        tried.contains(&target) || (without_silent && silent.is_backed_off(target, now_ms))
    };
    // With an idempotency key the answer may be held somewhere already: all are asked.
    let width = match request.idempotency {
        Some(_) => MAX_HOLDERS_ASKED,
        None => worker.common.settings.ask_width,
    };
    let zone = &worker.common.settings.daemon.zone;
    placement::pick(places, zone, request.prefix, width, avoid, &mut rand::rng())
}

fn choose_best<'a>(
    asked: &[&'a membership::Place],
    offers: &[asks::Answered],
    own_zone: &str,
) -> Option<&'a membership::Place> {
    let cost = |answered: &asks::Answered| {
        let place = asked.iter().find(|place| placement::Target::of(place) == answered.target)?;
        if answered.offer.holds_answer {
            return Some((0, *place));
        }
        let same_zone = place.zone == own_zone;
        (!answered.offer.leaving)
            .then(|| (1 + placement::cost_ms(&answered.offer, same_zone), *place))
    };
    offers.iter().filter_map(cost).min_by_key(|(cost_ms, _)| *cost_ms).map(|(_, place)| place)
}

fn asked_line(place: &membership::Place, offers: &[asks::Answered]) -> explain::Candidate {
    let target = placement::Target::of(place);
    let offer = offers.iter().find(|answered| answered.target == target);
    explain::Candidate {
        endpoint: place.id.clone(),
        zone: place.zone.clone(),
        first_token_ms: offer.map(|answered| answered.offer.first_token_ms),
        knows_prefix: offer.is_some_and(|answered| answered.offer.knows_prefix),
    }
}
