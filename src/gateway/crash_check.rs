//! Finds out whether an endpoint's process has ended when requests are lost with its connections, and records what
//! was under way there.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::{task, time};

use super::job::{Billed, Job};
use super::policy::quarantine::{self, Key, Loss};
use super::{Gateway, directory, http1, pool, request_log, shared};
use crate::error;

/// Time between a loss and the check: other losses with the same endpoint are found meanwhile.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a request waits for the end of a check.
const CHECK_POLL: Duration = Duration::from_millis(10);
/// Time within which something that holds the port of an ended endpoint closes a new connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);
/// How long an endpoint may still be at work on a request that this entry no longer waits for.
const ABANDONED_MS: u64 = 2_000;
/// Maximum number of such requests that are kept of an endpoint.
const MAX_ABANDONED: usize = 64;

/// Requests that were lost with the connections of an endpoint.
#[derive(Debug)]
pub(super) struct Losses {
    /// When the first of them was lost.
    at_ms: u64,
    /// Number of requests.
    requests: usize,
    /// Whether one of the connections had carried data of the endpoint. An endpoint that accepts no more
    /// connections closes new ones too, but it keeps these.
    has_proven_connection: bool,
    /// Keys of the requests, with the longest time for which the endpoint had been answering one of them.
    answered_ms: HashMap<Key, u64>,
    unbilled: Vec<UnbilledStream>,
}

/// A stream that was lost before its first event. It has run if its endpoint is alive, since then only the response
/// was lost.
#[derive(Debug)]
struct UnbilledStream {
    account: CompactString,
    lost_ms: u64,
    billed: Rc<Cell<Billed>>,
    /// Keeps the billing window open until the endpoint has been checked.
    _pending: shared::PendingCount,
}

impl Losses {
    fn new(at_ms: u64) -> Self {
        Self {
            at_ms,
            requests: 0,
            has_proven_connection: false,
            answered_ms: HashMap::new(),
            unbilled: Vec::new(),
        }
    }

    fn add(&mut self, loss: Loss) {
        let answered_ms = self.answered_ms.entry(loss.key).or_default();
        *answered_ms = loss.answered_ms.max(*answered_ms);
    }

    fn into_losses(self) -> impl Iterator<Item = Loss> {
        let losses = self.answered_ms.into_iter();
        losses.map(|(key, answered_ms)| Loss { key, answered_ms })
    }
}

/// A request that this entry no longer waits for, while the endpoint may still be at work on it.
#[derive(Debug)]
pub(super) struct Abandoned {
    at_ms: u64,
    losses: Vec<Loss>,
}

/// What a new connection tells about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum Outcome {
    #[display("alive")]
    Alive,
    /// It closes new connections and may keep others.
    #[display("closes")]
    Closes,
    #[display("ended")]
    Ended,
    /// The path to the endpoint may have failed, which says nothing about the requests.
    #[display("unreachable")]
    Unreachable,
}

/// Returns the ids of the parts that other prompts may have as well.
fn shared_parts(job: &Job) -> impl Iterator<Item = u64> {
    job.request.prompt.iter().flat_map(|prompt| prompt.shared_parts()).map(|part| part.id)
}

/// Returns what a crash may be blamed on: the request, and the parts that it shares with others.
fn keys(job: &Job) -> impl Iterator<Item = Key> {
    std::iter::once(Key::Request(job.fingerprint())).chain(shared_parts(job).map(Key::Part))
}

fn is_refused(error: &http1::Error) -> bool {
    matches!(error, http1::Error::Connect(error)
        if error.kind() == io::ErrorKind::ConnectionRefused)
}

impl Gateway {
    /// Records that a request was lost with its connection, after its endpoint had been answering for this time.
    /// `is_proven_connection` tells whether it, or an idle one lost with it, had carried data of the endpoint.
    pub(super) fn record_lost_request(
        self: &Rc<Self>,
        job: &Job,
        endpoint: &directory::Endpoint,
        error: &http1::Error,
        is_proven_connection: bool,
        answered_ms: u64,
    ) {
        match error {
            http1::Error::Broken(_) | http1::Error::Closed => {}
            http1::Error::TimedOut => {
                return self.record_abandoned_request(job, endpoint, answered_ms);
            }
            http1::Error::Connect(_) | http1::Error::Unsent(_) | http1::Error::Malformed => return,
        }
        self.lost_connections_ms.borrow_mut().insert(endpoint.key, self.now_ms());
        let mut checks = self.crash_checks.borrow_mut();
        if !checks.contains_key(&endpoint.key) {
            task::spawn_local(Rc::clone(self).check_crash(endpoint.clone()));
        }
        let losses = checks.entry(endpoint.key).or_insert_with(|| Losses::new(self.now_ms()));
        losses.requests += 1;
        losses.has_proven_connection |= is_proven_connection;
        keys(job).for_each(|key| losses.add(Loss { key, answered_ms }));
        losses.unbilled.extend(self.unbilled_stream(job));
    }

    /// Returns what is needed to bill a stream that may have run without an event. Other requests are billed when
    /// their outcome becomes unknown.
    fn unbilled_stream(&self, job: &Job) -> Option<UnbilledStream> {
        let is_unbilled = job.kind.is_stream() && job.billed.get() == Billed::No;
        let account = job.account.clone().filter(|_| is_unbilled)?;
        Some(UnbilledStream {
            account,
            lost_ms: self.now_ms(),
            billed: Rc::clone(&job.billed),
            _pending: self.shared.begin_pending_count(),
        })
    }

    /// Bills streams that have run, unless another endpoint has begun them since.
    fn bill_streams(&self, streams: &[UnbilledStream]) {
        for stream in streams.iter().filter(|stream| stream.billed.get() == Billed::No) {
            self.shared.count(&stream.account, self.now_ms().saturating_sub(stream.lost_ms));
            stream.billed.set(Billed::Began);
        }
    }

    /// Records that this entry no longer waits for an endpoint that may still be at work on a request.
    pub(super) fn record_abandoned_request(
        &self,
        job: &Job,
        endpoint: &directory::Endpoint,
        answered_ms: u64,
    ) {
        let losses: Vec<Loss> = keys(job).map(|key| Loss { key, answered_ms }).collect();
        self.record_unanswered(endpoint, &losses);
        let mut abandoned = self.abandoned.borrow_mut();
        let abandoned = abandoned.entry(endpoint.key).or_default();
        abandoned.push_back(Abandoned { at_ms: self.now_ms(), losses });
        if abandoned.len() > MAX_ABANDONED {
            abandoned.pop_front();
        }
    }

    /// Records that a connection to an endpoint was not established. If it was refused, the endpoint has ended,
    /// maybe on a request that this entry did not wait for.
    pub(super) fn record_failed_connect(
        &self,
        endpoint: &directory::Endpoint,
        error: &http1::Error,
    ) {
        if !is_refused(error) {
            return;
        }
        self.lost_connections_ms.borrow_mut().insert(endpoint.key, self.now_ms());
        if self.crash_checks.borrow().contains_key(&endpoint.key) {
            return;
        }
        let last_ms = {
            let abandoned = self.abandoned.borrow();
            abandoned.get(&endpoint.key).and_then(VecDeque::back).map(|one| one.at_ms)
        };
        if let Some(last_ms) = last_ms
            && self.now_ms() <= last_ms + ABANDONED_MS
        {
            self.record_crash(endpoint, Losses::new(last_ms));
        }
    }

    /// Drops what endpoints are no longer at work on.
    pub(super) fn sweep_abandoned(&self, now_ms: u64) {
        self.abandoned.borrow_mut().retain(|_, abandoned| {
            abandoned.retain(|one| now_ms <= one.at_ms + ABANDONED_MS);
            !abandoned.is_empty()
        });
    }

    /// Finds out by a new connection whether the endpoint has ended, or only the lost connections have failed.
    async fn check_crash(self: Rc<Self>, endpoint: directory::Endpoint) {
        time::sleep(CHECK_DELAY).await;
        let connected = pool::connect(endpoint.addr, self.shared.settings.leave_ms).await;
        let is_closed = match &connected {
            Ok(connection) => connection.is_closed_within(CLOSE_TIMEOUT).await,
            Err(_) => false,
        };
        let Some(losses) = self.crash_checks.borrow_mut().remove(&endpoint.key) else {
            return;
        };
        let outcome = match &connected {
            Ok(_) if is_closed && self.has_lost_all(&losses, endpoint.key) => Outcome::Ended,
            Ok(_) if is_closed => Outcome::Closes,
            Ok(_) => Outcome::Alive,
            Err(error) if is_refused(error) => Outcome::Ended,
            Err(_) => Outcome::Unreachable,
        };
        slog::info!(self.log, "endpoint checked"; "endpoint" => endpoint.id.as_str(),
            "outcome" => outcome.to_string(), "lost" => losses.requests,
            "checked_after_ms" => self.now_ms() - losses.at_ms);
        match outcome {
            Outcome::Alive => {
                self.bill_streams(&losses.unbilled);
                if let Ok(connection) = connected {
                    self.pool.borrow_mut().put(endpoint.addr, connection, self.now_ms());
                }
            }
            Outcome::Closes | Outcome::Ended | Outcome::Unreachable => {
                self.mark_unreachable(&endpoint);
            }
        }
        if outcome == Outcome::Ended {
            self.record_crash(&endpoint, losses);
        } else {
            // What answers may be the next process.
            let losses: Vec<Loss> = losses.into_losses().collect();
            self.record_unanswered(&endpoint, &losses);
        }
    }

    /// Whether no connection to the endpoint from before the losses is left.
    fn has_lost_all(&self, losses: &Losses, endpoint: directory::EndpointKey) -> bool {
        let open_sends = self.open_sends.borrow();
        let mut open = open_sends.iter().filter(|(_, send)| send.endpoint == endpoint);
        losses.has_proven_connection && !open.any(|(_, send)| send.sent_ms < losses.at_ms)
    }

    fn record_crash(&self, endpoint: &directory::Endpoint, mut losses: Losses) {
        self.record_known_end(endpoint);
        let abandoned = self.abandoned.borrow_mut().remove(&endpoint.key).unwrap_or_default();
        let at_ms = losses.at_ms;
        let is_recent = |one: &Abandoned| one.at_ms <= at_ms && at_ms <= one.at_ms + ABANDONED_MS;
        let recent = abandoned.into_iter().filter(is_recent);
        recent.flat_map(|one| one.losses).for_each(|loss| losses.add(loss));
        self.record_crash_losses(endpoint.key, losses.into_losses(), at_ms);
    }

    /// Records what was under way at an endpoint whose process ended at this time.
    pub(super) fn record_crash_losses(
        &self,
        endpoint: directory::EndpointKey,
        losses: impl Iterator<Item = Loss>,
        at_ms: u64,
    ) {
        let changes = self.shared.quarantine().record_crash(endpoint, losses, at_ms);
        self.announce_quarantine(&changes);
    }

    /// Waits for the check of an endpoint with which a request was lost, if the request may have been the cause.
    /// It would end the next endpoint otherwise before this crash is known.
    pub(super) async fn await_crash_check(&self, job: &Job, endpoint: directory::EndpointKey) {
        let may_be_cause = {
            let quarantine = self.shared.quarantine();
            quarantine.has_unproven_part(shared_parts(job), self.now_ms())
                || (quarantine.has_suspects()
                    && quarantine.is_suspected(Key::Request(job.fingerprint())))
        };
        if !may_be_cause {
            return;
        }
        while self.crash_checks.borrow().contains_key(&endpoint) {
            time::sleep(CHECK_POLL).await;
        }
    }

    /// Records that an endpoint has answered a request completely.
    pub(super) fn record_success(&self, job: &Job) {
        self.record_answer(job, quarantine::Quarantine::record_success);
    }

    /// Records that an endpoint has been answering a request for this time.
    pub(super) fn record_progress(&self, job: &Job, answered_ms: u64) {
        self.record_answer(job, |quarantine, keys, now_ms| {
            quarantine.record_progress(keys, answered_ms, now_ms)
        });
    }

    /// Records an answer for the keys of a request. A fingerprint is needed only while something is suspected.
    fn record_answer(
        &self,
        job: &Job,
        record: impl FnOnce(&mut quarantine::Quarantine, Vec<Key>, u64) -> Vec<quarantine::Change>,
    ) {
        let now_ms = self.now_ms();
        let changes = {
            let mut quarantine = self.shared.quarantine();
            let keys = if quarantine.has_suspects() {
                keys(job).collect()
            } else {
                shared_parts(job).map(Key::Part).collect()
            };
            record(&mut quarantine, keys, now_ms)
        };
        self.announce_quarantine(&changes);
    }

    fn announce_quarantine(&self, changes: &[quarantine::Change]) {
        if !changes.is_empty() {
            request_log::log_quarantine(&self.log, changes, "own");
            self.shared.urgent_update.notify_one();
        }
    }

    /// The refusal of a request that is in quarantine, or has a part that is.
    pub(super) fn check_quarantine(&self, job: &Job) -> Result<(), error::Refusal> {
        let held = {
            let mut quarantine = self.shared.quarantine();
            if quarantine.is_empty() {
                return Ok(());
            }
            match quarantine.admit(keys(job), self.now_ms()) {
                Ok(()) => return Ok(()),
                Err(held) => held,
            }
        };
        if job.may_have_run {
            return Err(self.final_refusal(job, error::Kind::EndpointFailed));
        }
        let kind = match held.key {
            Key::Request(_) => error::Kind::RequestQuarantined,
            Key::Part(_) => error::Kind::PromptQuarantined,
        };
        let wait_ms = u32::try_from(held.wait_ms).unwrap_or(u32::MAX);
        Err(error::Refusal::not_run(kind).retry_after_ms(wait_ms))
    }
}
