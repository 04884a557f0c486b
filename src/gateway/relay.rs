//! Forwarding of an admitted request: chooses an endpoint and relays the response.
//!
//! A request that may run more than once is retried at another endpoint when the first fails, within
//! the route's attempt limit and the retry budget. A request that may run only once is sent once, and
//! its outcome is reported to the caller as it is.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use tokio::time;

use super::attempt::{Failure, OpenResponse};
use super::eligibility::Eligibility;
use super::job::{Billed, Job};
use super::policy::{choose, gap_forecast};
use super::request::{Request, Response};
use super::sent_request::SentRequest;
use super::whole_response::Answer;
use super::{Gateway, directory, event_stream, http1, metrics, overlap, request_log, shared};
use crate::{drain, error};

/// Maximum number of failed connects per request. It is more than it takes to move away from two failed
/// zones.
const MAX_FAILED_CONNECTS: u32 = 6;
/// Interval between two searches for an eligible endpoint while there is none.
const NO_ENDPOINT_POLL: Duration = Duration::from_millis(25);
/// Fraction of the latency target for which a request waits for an eligible endpoint. It is below an
/// eighth, so that the caller can still meet the target elsewhere.
const HOLD_RATIO: f64 = 0.12;
/// Retry delay after a refusal for callers of the most urgent priority. Each lower priority adds the
/// same amount. A queue of one second drains within three of these delays.
const RETRY_AFTER_STEP_MS: f64 = 300.0;

/// Response of an endpoint to a forwarded request.
enum Forwarded {
    Complete(http1::Head, bytes::Bytes),
    /// A stream of which only the head has been read.
    Stream(Box<OpenResponse>),
}

impl Gateway {
    /// Serves a request of a caller and logs its outcome.
    pub async fn serve(self: &Rc<Self>, request: Request) -> Response {
        let id = request.id.clone();
        let begin_ms = self.now_ms();
        let disconnect_log = request_log::DisconnectLog::start(self, &id, begin_ms);
        let requested = request_log::RequestedPath::of(&request);
        let (response, service) = match self.admit(request) {
            Ok(job) => {
                let service = job.service().name.clone();
                (self.forward_until_exit(job).await, service)
            }
            Err(refusal) => {
                metrics::refused(refusal.kind.answer().code);
                (Response::Refused(refusal), CompactString::default())
            }
        };
        disconnect_log.mark_answered();
        let took_ms = self.now_ms() - begin_ms;
        if !service.is_empty() {
            metrics::answered(&service, response.outcome(), took_ms);
        }
        self.log_response(&id, &requested, &response, took_ms);
        response
    }

    /// Refuses a request whose body is not read, and logs it like those that are served.
    pub fn refuse(&self, request: &Request, refusal: error::Refusal) -> Response {
        metrics::refused(refusal.kind.answer().code);
        let requested = request_log::RequestedPath::of(request);
        let response = Response::Refused(refusal);
        self.log_response(&request.id, &requested, &response, 0);
        response
    }

    /// Forwards a request. One that has no answer shortly before the exit of this process gets a final
    /// refusal.
    async fn forward_until_exit(self: &Rc<Self>, mut job: Job) -> Response {
        let forwarding = self.forward(&mut job);
        let response = self.shared.stop.until(drain::Phase::FinalAnswers, forwarding).await;
        let response = response.unwrap_or_else(|| Err(self.interrupt(&mut job)));
        let opened = match response {
            Ok(Forwarded::Complete(head, body)) => return Response::Complete { head, body },
            Ok(Forwarded::Stream(response)) => event_stream::open(self, job, *response).await,
            Err(refusal) => Err(refusal),
        };
        match opened {
            Ok((head, body)) => Response::Stream { head, body },
            Err(refusal) => Response::Refused(refusal),
        }
    }

    /// Forwards the request until an endpoint answers it. The answer of one that failed is used if no other answers.
    async fn forward(self: &Rc<Self>, job: &mut Job) -> Result<Forwarded, error::Refusal> {
        let mut failed = None;
        match (self.forward_in_turn(job, &mut failed).await, failed) {
            (Err(_), Some((head, body))) => Ok(Forwarded::Complete(head, body)),
            (forwarded, _) => forwarded,
        }
    }

    /// Sends the request until an endpoint responds or no attempt is left. `failed` is the last whole answer of an
    /// endpoint that failed.
    async fn forward_in_turn(
        self: &Rc<Self>,
        job: &mut Job,
        failed: &mut Option<(http1::Head, bytes::Bytes)>,
    ) -> Result<Forwarded, error::Refusal> {
        self.pin_version(job).await?;
        self.await_place(job).await?;
        loop {
            let response = self.send(job).await?;
            if job.kind.is_stream() && response.is_success() {
                if response.info.is_signed {
                    return Ok(Forwarded::Stream(Box::new(response)));
                }
                self.record_failed_response(job, &response, false);
                if job.kind.is_repeatable() && self.can_retry(job) {
                    continue;
                }
                return Err(self.final_refusal(job, error::Kind::EndpointFailed));
            }
            match self.read_complete(job, response).await? {
                Answer::Final(head, body) => return Ok(Forwarded::Complete(head, body)),
                Answer::Failed(answer) => *failed = answer.or(failed.take()),
            }
        }
    }

    /// The refusal of a request that has no answer when this process is about to exit.
    pub(super) fn interrupt(&self, job: &mut Job) -> error::Refusal {
        let sent_ms = job.at_endpoint_since_ms.get();
        if !job.may_have_run && sent_ms.is_none() {
            return drain::refusal();
        }
        // A stream is billed from its first event on, and none has arrived.
        if !job.kind.is_stream() {
            self.bill_as(job, sent_ms.unwrap_or(job.arrived_ms), Billed::OutcomeUnknown);
        }
        error::Refusal::unknown(error::Kind::Interrupted)
    }

    /// Sends the request until an endpoint starts to respond. One that was given up while it was silent is waited for
    /// again if no other has taken the request.
    pub(super) async fn send(
        self: &Rc<Self>,
        job: &mut Job,
    ) -> Result<OpenResponse, error::Refusal> {
        let mut silent = None;
        match (self.send_in_turn(job, &mut silent).await, silent) {
            (Err(refusal), Some(silent)) => self.wait_on(job, *silent).await.ok_or(refusal),
            (Ok(response), Some(silent)) if response.head.status >= 500 && !self.can_retry(job) => {
                Ok(self.wait_on(job, *silent).await.unwrap_or(response))
            }
            (sent, _) => sent,
        }
    }

    /// Sends the request to one endpoint after another until one starts to respond. `silent` is the request at the
    /// last one, if it was silent and no other may have begun to work on the request since.
    async fn send_in_turn(
        self: &Rc<Self>,
        job: &mut Job,
        silent: &mut Option<Box<SentRequest>>,
    ) -> Result<OpenResponse, error::Refusal> {
        let mut failed_connects = 0;
        let hold_ms = (f64::from(job.route().latency_target_ms) * HOLD_RATIO) as u64;
        loop {
            let now_ms = self.now_ms();
            if job.left_ms(now_ms) == 0 {
                return Err(self.final_refusal(job, error::Kind::DeadlineExceeded));
            }
            self.check_quarantine(job)?;
            let snapshot = self.shared.snapshot.load_full();
            let Some(choice) = self.choose_endpoint(&snapshot, job) else {
                let has_responded =
                    silent.as_ref().is_some_and(|one| one.connection.has_unread_bytes());
                let hold_ms = match self.awaits_silent_endpoint(&snapshot, job) {
                    true => hold_ms.max(job.silent_hold_ms()),
                    false => hold_ms,
                };
                if now_ms > job.arrived_ms + hold_ms || has_responded {
                    return Err(self.final_refusal(job, error::Kind::NoEndpoint));
                }
                time::sleep(NO_ENDPOINT_POLL).await;
                continue;
            };
            // A stream that has begun is worth more than the memory of the least urgent run there.
            if job.version.is_none() && !choice.room.admits(job.priority) {
                self.log_turned_away(job, &choice);
                self.shared.rejections().record(&job.service().name, now_ms);
                return Err(self.final_refusal(job, error::Kind::TooLate));
            }
            let is_first = !job.reached_endpoint && failed_connects == 0;
            // A stream that has begun is worth more than a new one, and has fewer endpoints to go on at.
            if is_first
                && job.version.is_none()
                && job.request.prompt.is_some()
                && !self.shared.admission.admit(
                    job.priority,
                    job.route().priority,
                    choice.free_share,
                    now_ms,
                )
            {
                self.log_turned_away(job, &choice);
                self.shared.rejections().record(&job.service().name, now_ms);
                return Err(self.final_refusal(job, error::Kind::TooLate));
            }
            if job.reached_endpoint && !self.take_retry(job) {
                return Err(self.final_refusal(job, error::Kind::EndpointFailed));
            }
            job.tried_endpoints.push(choice.endpoint.key);
            job.attempts += 1;
            let timeout = job.response_timeout(choice.first_ms, now_ms);
            self.log_choice(job, &choice);
            if !job.kind.is_stream() && job.account.is_some() && job.billed.get() == Billed::No {
                job.pending_count = Some(self.shared.begin_pending_count());
            }
            let sent_ms = Rc::clone(&job.at_endpoint_since_ms);
            let attempt = self.attempt(job, &choice, timeout);
            let result = overlap::send_beside(
                silent,
                &sent_ms,
                || self.now_ms(),
                |one| one.connection.has_unread_bytes(),
                attempt,
            )
            .await;
            if !matches!(result, Some(Ok(_))) {
                job.at_endpoint_since_ms.set(None);
            }
            let Some(result) = result else {
                // The silent endpoint has responded: `send` goes on with that response.
                return Err(self.final_refusal(job, error::Kind::EndpointFailed));
            };
            let failure = match result {
                Ok(response) => {
                    job.reached_endpoint = true;
                    metrics::send_outcome(&job.service().name, "answered");
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            job.reached_endpoint |= failure.reached_endpoint();
            self.log_failure(job, choice.endpoint, &failure);
            match failure {
                Failure::NotSent(_) => {
                    job.pending_count = None;
                    job.attempts -= 1;
                    job.unreachable_zones.push(choice.endpoint.zone.clone());
                    failed_connects += 1;
                    if failed_connects > MAX_FAILED_CONNECTS {
                        return Err(self.final_refusal(job, error::Kind::NoEndpoint));
                    }
                }
                Failure::NoLongerEligible => {
                    // The endpoint may take this request later, once it has warmed up or its zone is back in
                    // service.
                    job.tried_endpoints.pop();
                    job.pending_count = None;
                    job.attempts -= 1;
                }
                Failure::WrongEndpoint => {
                    // The request did not run, so it does not count against the route's attempts.
                    job.attempts -= 1;
                    job.pending_count = None;
                    self.mark_misdirected(choice.endpoint);
                }
                Failure::NotRun { .. } => job.pending_count = None,
                Failure::Unknown { error, evidence, silent: sent } => {
                    job.may_have_run = true;
                    if matches!(error, http1::Error::TimedOut) {
                        *silent = sent;
                        job.lost_sends += 1;
                    }
                    let is_proven = evidence.has_lost_proven_connection();
                    self.record_lost_request(job, choice.endpoint, &error, is_proven, 0);
                    // A stream is billed once its endpoint proves to be alive, see `record_lost_request`.
                    if !job.kind.is_stream() {
                        self.bill_as(job, now_ms, Billed::OutcomeUnknown);
                    }
                    let took_ms = self.now_ms() - now_ms;
                    self.record_response_time(choice.endpoint, false, took_ms, now_ms);
                    if !job.kind.is_repeatable() {
                        let is_expired = job.left_ms(self.now_ms()) == 0;
                        let expired = error::Kind::DeadlineExceeded;
                        let kind = if is_expired { expired } else { error::Kind::LinkLost };
                        return Err(self.final_refusal(job, kind));
                    }
                    self.await_crash_check(job, choice.endpoint.key).await;
                }
            }
        }
    }

    /// Whether a retry is allowed; takes it from the shared retry budget.
    fn take_retry(&self, job: &Job) -> bool {
        let now_ms = self.now_ms();
        let divisor = self.shared.retry_budget_divisor.load(Ordering::Relaxed);
        job.has_attempt_left(now_ms)
            && self.budgets.borrow_mut().try_spend(&job.service().name, divisor, now_ms)
    }

    /// Returns the eligible endpoints that have not been tried.
    fn candidates<'a>(
        &self,
        snapshot: &'a shared::Snapshot,
        job: &Job,
        eligibility: &Eligibility<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a directory::Endpoint> {
        let accepting = snapshot.accepting(&job.service().name, job.evacuation_key(), now_ms);
        accepting.filter(move |endpoint| {
            !job.tried_endpoints.contains(&endpoint.key)
                && job.version.is_none_or(|version| {
                    endpoint.version_key() == version && !self.may_have_restarted(endpoint.key)
                })
                && eligibility.allows(endpoint)
        })
    }

    /// Whether an endpoint would be chosen if it did not stand still.
    fn awaits_silent_endpoint(&self, snapshot: &shared::Snapshot, job: &Job) -> bool {
        let now_ms = self.now_ms();
        let eligibility = self.eligibility(snapshot, now_ms);
        let health = self.health.borrow();
        self.candidates(snapshot, job, &eligibility, now_ms)
            .any(|endpoint| health.is_stalled(endpoint.key, now_ms))
    }

    /// Chooses an endpoint among the eligible ones that have not been tried.
    fn choose_endpoint<'a>(
        &self,
        snapshot: &'a shared::Snapshot,
        job: &Job,
    ) -> Option<choose::Choice<'a>> {
        let service = job.service();
        let now_ms = self.now_ms();
        let eligibility = self.eligibility(snapshot, now_ms);
        let candidates = self.candidates(snapshot, job, &eligibility, now_ms);
        let load_table = self.shared.load_table();
        let prefix_index = self.shared.prefix_index();
        let health = self.health.borrow();
        let event_gaps = self.event_gaps.borrow();
        let work_durations = self.shared.work_durations();
        let prefill_model = self.shared.prefill_model(&service.name);
        let engine = service.engine.as_ref();
        let gap_forecast = engine
            .filter(|_| work_durations.is_reported(now_ms))
            .and_then(|engine| gap_forecast::Forecast::of(engine, &prefill_model));
        let inputs = choose::Inputs {
            work_durations: &work_durations,
            gap_forecast,
            overload_control: self.shared.settings.overload_control,
            load_table: &load_table,
            prefix_index: &prefix_index,
            health: &health,
            event_gaps: &event_gaps,
            gap_limit_ms: job.route().gap_target_ms,
            zone: &self.shared.settings.zone,
            now_ms,
            latency_target_ms: f64::from(job.route().latency_target_ms),
            max_wait_ms: job.stream_timeout_ms() as f64,
            unreachable_zones: &job.unreachable_zones,
            prefill_model: &prefill_model,
        };
        choose::choose(candidates, engine, job.request.prompt.as_ref(), &inputs, &mut rand::rng())
    }

    /// Whether an eligible endpoint has not been tried.
    fn has_other_endpoint(&self, job: &Job) -> bool {
        let snapshot = self.shared.snapshot.load();
        let choice = self.choose_endpoint(&snapshot, job);
        choice.is_some_and(|choice| job.version.is_some() || choice.room.admits(job.priority))
    }

    /// Whether an endpoint, an attempt and budget are left for a retry. Otherwise the caller gets the
    /// failure that the endpoint returned.
    pub(super) fn can_retry(&self, job: &Job) -> bool {
        let now_ms = self.now_ms();
        let divisor = self.shared.retry_budget_divisor.load(Ordering::Relaxed);
        job.has_attempt_left(now_ms)
            && self.budgets.borrow_mut().has_room(&job.service().name, divisor, now_ms)
            && self.has_other_endpoint(job)
    }

    /// Counts a request that has started to run for its account's bill, at most once.
    pub(super) fn bill(&self, job: &mut Job, began_ms: u64) {
        self.bill_as(job, began_ms, Billed::Began);
    }

    /// Counts a request for its account's bill, at most once. Whatever becomes known last of its outcome does
    /// not make a run unknown that has begun.
    fn bill_as(&self, job: &mut Job, began_ms: u64, billed: Billed) {
        if let Some(account) = job.account.as_deref() {
            if job.billed.get() == Billed::No {
                self.shared.count(account, self.now_ms().saturating_sub(began_ms));
            }
            job.billed.set(job.billed.get().max(billed));
        }
        job.pending_count = None;
    }

    /// The refusal that ends a request without a response of an endpoint.
    pub(super) fn final_refusal(&self, job: &Job, kind: error::Kind) -> error::Refusal {
        if job.may_have_run {
            let kind = match kind {
                error::Kind::DeadlineExceeded => kind,
                _ => error::Kind::EndpointFailed,
            };
            return error::Refusal::unknown(kind);
        }
        // The request did not run, so the caller may retry. Delays have jitter and grow with the priority
        // number, so that urgent requests return first.
        let rank = f64::from(job.priority.min(4)) + 1.0;
        let wait_ms = RETRY_AFTER_STEP_MS * rank * rand::rng().random_range(0.5..1.5);
        let kind = match kind {
            error::Kind::TooLate | error::Kind::StreamUnknown => kind,
            _ => error::Kind::NoEndpoint,
        };
        // While all endpoints are in backoff a retry would fail, so this time is added.
        let wait_ms = wait_ms as u64 + self.min_backoff_ms(job);
        error::Refusal::not_run(kind).retry_after_ms(u32::try_from(wait_ms).unwrap_or(u32::MAX))
    }
}
