//! A request's way: route, client account, endpoint, answer.
//!
//! What may run more than once goes on to another endpoint when the first fails, within the route's
//! attempts and the retry budget; what may run once is sent once, and its outcome is told as it is.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use tokio::time;

use super::attempt::{Failure, Running};
use super::job::{Active, Job};
use super::policy::choose;
use super::request::{Answer, Request};
use super::{Gateway, events_body, http1, lines, measures, shared};
use crate::error;

/// Longest answer that is gathered before it is sent, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// Sends that no endpoint has seen, before a request is given up: more than it takes to leave two lost
/// zones.
const MAX_UNSENT: u32 = 6;
/// Pause before endpoints are looked for again when there is none.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
/// Part of the latency target for which a request is held while there is no endpoint: below an
/// eighth, so that the caller can still be in time elsewhere.
const HOLD_PART: f64 = 0.12;
/// When a caller of the most urgent rank comes back after a refusal; each later rank waits as much
/// longer. A queue of a second drains in three of these.
const COME_BACK_RANK_MS: f64 = 300.0;
/// When a caller of an entry that has just started and knows no configuration comes back.
const STARTING_MS: std::ops::Range<u32> = 600..1_800;
/// When a caller that was sent away by a stopping entry comes back: at once, since it then reaches
/// another.
const COME_BACK_MS: u32 = 50;

impl Gateway {
    /// Serves a request of a caller.
    pub async fn serve(self: &Rc<Self>, request: Request) -> Answer {
        let id = request.id.clone();
        let begin_ms = self.now_ms();
        let caller = lines::Caller::wait(self, &id, begin_ms);
        let asked = lines::Asked::of(&request);
        let (answer, service) = match self.admit(request) {
            Ok(job) => {
                let service = job.service().name.clone();
                (self.carry(job).await, service)
            }
            Err(refusal) => {
                measures::refused(refusal.kind.answer().code);
                (Answer::Refused(refusal), CompactString::default())
            }
        };
        caller.is_answered();
        let took_ms = self.now_ms() - begin_ms;
        if !service.is_empty() {
            measures::answered(&service, answer.outcome(), took_ms);
        }
        self.log_answer(&id, &asked, &answer, took_ms);
        answer
    }

    /// Finds route and account, or says why not.
    fn admit(&self, request: Request) -> Result<Job, error::Refusal> {
        let refuse = error::Refusal::not_run;
        let arrived_ms = self.now_ms();
        self.shared.last_request_ms.store(arrived_ms, Ordering::Release);
        if self.shared.is_admission_closed() {
            return Err(refuse(error::Kind::Draining).retry_after_ms(COME_BACK_MS));
        }
        let snapshot = self.shared.snapshot.load();
        let table = snapshot.table.clone().ok_or_else(|| {
            let wait_ms = rand::rng().random_range(STARTING_MS);
            refuse(error::Kind::NotReady).retry_after_ms(wait_ms)
        })?;
        let key = table
            .find(&request.host, request.path())
            .ok_or_else(|| refuse(error::Kind::UnknownPath))?;
        let route = table.route(key);
        let account = if route.is_public || !table.has_accounts() {
            None
        } else {
            let sent = request.key.as_deref().ok_or_else(|| refuse(error::Kind::MissingKey))?;
            Some(table.account_of(sent).ok_or_else(|| refuse(error::Kind::InvalidKey))?)
        };
        if request.body.len() > table.max_body_bytes() {
            return Err(refuse(error::Kind::BodyTooLarge));
        }
        let service = table
            .draw_service(route, rand::rng().random())
            .ok_or_else(|| refuse(error::Kind::UnknownService))?;
        if route.kind.is_stream() {
            let output_tokens =
                request.prompt.as_ref().map_or(0, |prompt| prompt.max_output_tokens);
            let run_ms =
                self.shared.engine_timing(&table.service(service).name).run_ms(output_tokens);
            if self.shared.delays_stop(run_ms) {
                return Err(refuse(error::Kind::Draining).retry_after_ms(COME_BACK_MS));
            }
        }
        let wait_ms = request.deadline_ms.unwrap_or(u32::MAX).min(route.timeout_ms);
        let kind = route.kind;
        let priority = account.and_then(|one| one.priority).unwrap_or(route.priority);
        let account = account.map(|one| one.name.clone());
        self.budgets.borrow_mut().request(&table.service(service).name, arrived_ms);
        Ok(Job {
            request,
            route: key,
            service,
            kind,
            account,
            priority,
            arrived_ms,
            end_ms: arrived_ms + u64::from(wait_ms),
            tried: Vec::new(),
            refused_zones: Vec::new(),
            attempts: 0,
            has_arrived: false,
            may_have_run: false,
            is_counted: false,
            uncounted: None,
            _active: Active::begin(&self.shared),
            table,
        })
    }

    /// Sends the request until an endpoint answers, or nothing is left to try.
    async fn carry(self: &Rc<Self>, mut job: Job) -> Answer {
        loop {
            let running = match self.run(&mut job).await {
                Ok(running) => running,
                Err(refusal) => return Answer::Refused(refusal),
            };
            if job.kind.is_stream() && (200..300).contains(&running.head.status) {
                return match events_body::open(self, job, running).await {
                    Ok((head, body)) => Answer::Stream { head, body },
                    Err(refusal) => Answer::Refused(refusal),
                };
            }
            match self.whole(&mut job, running).await {
                Ok(Some((head, body))) => return Answer::Whole { head, body },
                Ok(None) => {}
                Err(refusal) => return Answer::Refused(refusal),
            }
        }
    }

    /// Sends the request to one endpoint after another until one begins to answer.
    pub(super) async fn run(self: &Rc<Self>, job: &mut Job) -> Result<Running, error::Refusal> {
        let mut unsent = 0;
        let hold_ms = (f64::from(job.route().target_ms) * HOLD_PART) as u64;
        loop {
            let now_ms = self.now_ms();
            if job.left_ms(now_ms) == 0 {
                return Err(self.given_up(job, error::Kind::DeadlineExceeded));
            }
            let snapshot = self.shared.snapshot.load_full();
            let Some(choice) = self.choose(&snapshot, job) else {
                if now_ms > job.arrived_ms + hold_ms {
                    return Err(self.given_up(job, error::Kind::NoEndpoint));
                }
                time::sleep(LOOK_AGAIN).await;
                continue;
            };
            let is_first = !job.has_arrived && unsent == 0;
            if is_first
                && job.request.prompt.is_some()
                && !self.shared.gate.passes(
                    job.priority,
                    job.route().priority,
                    choice.free_share,
                    now_ms,
                )
            {
                self.log_turned_away(job, &choice);
                self.shared.rejections().note(&job.service().name, now_ms);
                return Err(self.given_up(job, error::Kind::TooLate));
            }
            if job.has_arrived && !self.may_retry(job) {
                return Err(self.given_up(job, error::Kind::EndpointFailed));
            }
            job.tried.push(choice.endpoint.key);
            job.attempts += 1;
            let patience = job.patience(choice.first_ms, now_ms);
            self.log_choice(job, &choice);
            if !job.kind.is_stream() && job.account.is_some() && !job.is_counted {
                job.uncounted = Some(self.shared.begin_pending_count());
            }
            let failure = match self.attempt(job, &choice, patience).await {
                Ok(running) => {
                    job.has_arrived = true;
                    measures::sent(&job.service().name, "answered");
                    return Ok(running);
                }
                Err(failure) => failure,
            };
            job.has_arrived |= failure.arrived();
            self.log_failure(job, &choice, &failure);
            match failure {
                Failure::NotSent(_) => {
                    job.uncounted = None;
                    job.attempts -= 1;
                    job.refused_zones.push(choice.endpoint.zone.clone());
                    unsent += 1;
                    if unsent > MAX_UNSENT {
                        return Err(self.given_up(job, error::Kind::NoEndpoint));
                    }
                }
                Failure::Closed => {
                    // It may take this request later, once it is warm or taken back.
                    job.tried.pop();
                    job.uncounted = None;
                    job.attempts -= 1;
                }
                Failure::WrongEndpoint => {
                    // It ran nowhere, so it does not count against the route's attempts.
                    job.attempts -= 1;
                    job.uncounted = None;
                    self.misdirected(choice.endpoint);
                }
                Failure::NotRun { .. } => job.uncounted = None,
                Failure::Unknown(_) => {
                    job.may_have_run = true;
                    // A stream begins with its first event, and none came.
                    if !job.kind.is_stream() {
                        self.count(job, now_ms);
                    }
                    let took_ms = self.now_ms() - now_ms;
                    self.health.borrow_mut().ended(choice.endpoint.key, false, took_ms, now_ms);
                    if !job.kind.is_repeatable() {
                        let is_over = job.left_ms(self.now_ms()) == 0;
                        let over = error::Kind::DeadlineExceeded;
                        let kind = if is_over { over } else { error::Kind::LinkLost };
                        return Err(self.given_up(job, kind));
                    }
                }
            }
        }
    }

    /// Takes a retry out of the route's attempts and the shared budget.
    fn may_retry(&self, job: &Job) -> bool {
        let now_ms = self.now_ms();
        let sharers = self.shared.retry_budget_divisor.load(Ordering::Relaxed);
        job.has_attempt_left(now_ms)
            && self.budgets.borrow_mut().spend(&job.service().name, sharers, now_ms)
    }

    fn choose<'a>(&self, snapshot: &'a shared::Snapshot, job: &Job) -> Option<choose::Choice<'a>> {
        let service = job.service();
        let now_ms = self.now_ms();
        let eligibility = self.eligibility(snapshot, now_ms);
        let fresh = snapshot
            .accepting(&service.name, job.moving_key(), now_ms)
            .filter(|one| !job.tried.contains(&one.key) && eligibility.takes(one));
        let book = self.shared.load_table();
        let homes = self.shared.prefix_locations();
        let health = self.health.borrow();
        let pauses = self.pauses.borrow();
        let known = choose::Known {
            book: &book,
            homes: &homes,
            health: &health,
            pauses: &pauses,
            pause_ms: job.route().pause_ms,
            zone: &self.shared.settings.zone,
            now_ms,
            target_ms: f64::from(job.route().target_ms),
            patience_ms: job.stream_patience_ms() as f64,
            refused_zones: &job.refused_zones,
            reading: &self.shared.engine_timing(&service.name),
        };
        choose::choose(
            fresh,
            service.engine.as_ref(),
            job.request.prompt.as_ref(),
            &known,
            &mut rand::rng(),
        )
    }

    /// Reads a whole answer. `None`: the endpoint failed and another may try.
    async fn whole(
        self: &Rc<Self>,
        job: &mut Job,
        mut running: Running,
    ) -> Result<Option<(http1::Head, bytes::Bytes)>, error::Refusal> {
        self.count(job, running.sent_ms);
        let left = Duration::from_millis(job.left_ms(self.now_ms()));
        let read = time::timeout(left, running.connection.rest(MAX_WHOLE_BYTES)).await;
        let now_ms = self.now_ms();
        let took_ms = now_ms - running.sent_ms;
        let is_failure = running.head.status >= 500;
        let body = match read {
            Err(_) => {
                job.may_have_run = true;
                return Err(self.given_up(job, error::Kind::DeadlineExceeded));
            }
            Ok(Err(_)) => None,
            Ok(Ok(_)) if !running.facts.is_signed => None,
            Ok(Ok(body)) => Some(body),
        };
        let is_good = body.is_some() && !is_failure;
        self.health.borrow_mut().ended(running.endpoint.key, is_good, took_ms, now_ms);
        if !is_good {
            job.may_have_run = true;
            slog::info!(self.log, "endpoint failed"; "request" => job.request.id.as_str(),
                "endpoint" => running.endpoint.id.as_str(), "status" => running.head.status,
                "whole" => body.is_some(), "attempt" => job.attempts);
        }
        match body {
            Some(body) if is_good => {
                self.pool.borrow_mut().give(running.endpoint.addr, running.connection, now_ms);
                Ok(Some((running.head, body)))
            }
            Some(body) => {
                self.pool.borrow_mut().give(running.endpoint.addr, running.connection, now_ms);
                if job.kind.is_repeatable() && self.can_retry(job) {
                    return Ok(None);
                }
                Ok(Some((running.head, body)))
            }
            None if job.kind.is_repeatable() && self.can_retry(job) => Ok(None),
            None => Err(self.given_up(job, error::Kind::EndpointFailed)),
        }
    }

    /// Whether there are an endpoint, an attempt and a part of the budget for one more send. Else the
    /// failure that an endpoint gave is the caller's answer.
    fn can_retry(&self, job: &Job) -> bool {
        let now_ms = self.now_ms();
        let sharers = self.shared.retry_budget_divisor.load(Ordering::Relaxed);
        let snapshot = self.shared.snapshot.load();
        job.has_attempt_left(now_ms)
            && self.budgets.borrow_mut().has_room(&job.service().name, sharers, now_ms)
            && self.choose(&snapshot, job).is_some()
    }

    /// Counts a request that began to run, once, for its account's bill.
    pub(super) fn count(&self, job: &mut Job, began_ms: u64) {
        if let Some(account) = job.account.as_deref().filter(|_| !job.is_counted) {
            self.shared.count(account, self.now_ms().saturating_sub(began_ms));
            job.is_counted = true;
        }
        job.uncounted = None;
    }

    /// The final answer of a request that is given up.
    pub(super) fn given_up(&self, job: &Job, kind: error::Kind) -> error::Refusal {
        if job.may_have_run {
            let kind = match kind {
                error::Kind::DeadlineExceeded => kind,
                _ => error::Kind::EndpointFailed,
            };
            return error::Refusal::unknown(kind);
        }
        // It ran nowhere, so the caller may come back; in a while, spread out, the urgent first.
        let rank = f64::from(job.priority.min(4)) + 1.0;
        let wait_ms = COME_BACK_RANK_MS * rank * rand::rng().random_range(0.5..1.5);
        let kind = match kind {
            error::Kind::TooLate => kind,
            _ => error::Kind::NoEndpoint,
        };
        // Before an endpoint takes requests again the caller would come back in vain.
        let wait_ms = wait_ms as u64 + self.backoff_ms(job);
        error::Refusal::not_run(kind).retry_after_ms(u32::try_from(wait_ms).unwrap_or(u32::MAX))
    }
}
