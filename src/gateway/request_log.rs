//! Log lines about requests: each decision with its inputs and their age, and the outcome.
//! `docs/OPERATIONS.md` lists them.

use std::cell::Cell;
use std::thread;

use compact_str::CompactString;

use super::attempt::Failure;
use super::job::Job;
use super::policy::{choose, limits, quarantine};
use super::request::{self, Request, Response};
use super::sent_request::Evidence;
use super::{Gateway, directory, metrics};
use crate::error;

/// Host and path of a request, for the log line about its refusal.
pub(super) struct RequestedPath {
    host: CompactString,
    path: CompactString,
}

impl RequestedPath {
    pub(super) fn of(request: &Request) -> Self {
        Self { host: request.host.clone(), path: request.path().into() }
    }
}

/// Logs that the caller disconnected before the response, or that a panic ended the request, when its future is
/// dropped.
pub(super) struct DisconnectLog<'a> {
    gateway: &'a Gateway,
    id: &'a str,
    begin_ms: u64,
    is_answered: Cell<bool>,
}

impl<'a> DisconnectLog<'a> {
    pub(super) fn start(gateway: &'a Gateway, id: &'a str, begin_ms: u64) -> Self {
        Self { gateway, id, begin_ms, is_answered: Cell::new(false) }
    }

    /// Records that the response, or at least its head, is ready.
    pub(super) fn mark_answered(&self) {
        self.is_answered.set(true);
    }
}

impl Drop for DisconnectLog<'_> {
    fn drop(&mut self) {
        if self.is_answered.get() {
            return;
        }
        let log = &self.gateway.log;
        let took_ms = self.gateway.now_ms() - self.begin_ms;
        if thread::panicking() {
            slog::error!(log, "request ended by a panic"; "request" => self.id, "took_ms" => took_ms);
        } else {
            slog::info!(log, "caller left"; "request" => self.id, "took_ms" => took_ms);
        }
    }
}

/// Logs that an endpoint has announced that it is leaving.
pub(super) fn log_endpoint_leaving(
    log: &slog::Logger,
    endpoint: &directory::Endpoint,
    source: &'static str,
) {
    slog::info!(log, "endpoint leaves"; "endpoint" => endpoint.id.as_str(),
        "started" => endpoint.started_unix_ms, "listed_leaving" => endpoint.is_leaving,
        "source" => source);
}

/// Logs that an endpoint has set, changed or lifted its rate limit.
pub(super) fn log_endpoint_limit(
    log: &slog::Logger,
    endpoint: &str,
    change: limits::Change,
    source: &'static str,
) {
    slog::info!(log, "endpoint limit"; "endpoint" => endpoint,
        "per_s" => change.now.map(limits::Rate::per_s),
        "before_per_s" => change.before.map(limits::Rate::per_s), "source" => source);
}

/// Logs that part of a load report of an endpoint was dropped.
pub(super) fn log_malformed_load(log: &slog::Logger, endpoint: &str, header: &str) {
    slog::warn!(log, "malformed load report"; "endpoint" => endpoint, "header" => header);
}

/// Logs requests and prompt parts that came into quarantine or were released.
pub(super) fn log_quarantine(
    log: &slog::Logger,
    changes: &[quarantine::Change],
    source: &'static str,
) {
    for change in changes {
        match (change.key, change.is_quarantined) {
            (quarantine::Key::Request(fingerprint), true) => {
                slog::warn!(log, "request in quarantine";
                    "fingerprint" => fingerprint.to_string(), "crashes" => change.crashes,
                    "source" => source);
            }
            (quarantine::Key::Request(fingerprint), false) => {
                slog::info!(log, "request released"; "fingerprint" => fingerprint.to_string(),
                    "crashes" => change.crashes, "source" => source);
            }
            (quarantine::Key::Part(id), true) => {
                slog::warn!(log, "prompt part in quarantine"; "part" => format!("{id:016x}"),
                    "crashes" => change.crashes, "source" => source);
            }
            (quarantine::Key::Part(id), false) => {
                slog::info!(log, "prompt part released"; "part" => format!("{id:016x}"),
                    "crashes" => change.crashes, "source" => source);
            }
        }
    }
}

impl Gateway {
    /// Logs the requests that are still at endpoints of an earlier list and no longer in this one.
    pub(super) fn log_requests_at_removed_endpoints(
        &self,
        before: &directory::Directory,
        listed: &directory::Directory,
    ) {
        let open_sends = self.open_sends.borrow();
        let removed = before.endpoints().iter().filter(|one| listed.find(one.key).is_none());
        for endpoint in removed {
            let open = open_sends.iter().filter(|(_, send)| send.endpoint == endpoint.key);
            let oldest_ms = open.clone().map(|(_, send)| send.sent_ms).min();
            slog::info!(self.log, "requests at a removed endpoint";
                "endpoint" => endpoint.id.as_str(), "open" => open.count(),
                "oldest_ms" => oldest_ms.map(|sent_ms| self.now_ms() - sent_ms),
                "quiet_ms" => self.quiet_ms(endpoint.key));
        }
    }

    /// Version of the active configuration; zero if there is none.
    fn config_version(&self) -> u64 {
        self.shared.snapshot.load().table.as_ref().map_or(0, |table| table.version())
    }

    /// Records a request that could not be read and was refused before it had a route.
    pub fn log_unreadable_request(&self, id: Option<&str>, refusal: &error::Refusal) {
        metrics::refused(refusal.kind.answer().code);
        slog::info!(self.log, "unreadable request refused"; "request" => id, "status" => refusal.kind.answer().status,
            "kind" => refusal.kind.answer().code, "detail" => refusal.detail.as_str());
    }

    /// Logs the response to a request.
    pub(super) fn log_response(
        &self,
        id: &str,
        requested: &RequestedPath,
        response: &Response,
        took_ms: u64,
    ) {
        match response {
            Response::Refused(refusal) => {
                slog::info!(self.log, "refused"; "request" => id, "took_ms" => took_ms,
                    "status" => refusal.kind.answer().status,
                    "kind" => refusal.kind.answer().code, "ran" => refusal.ran.to_string(),
                    "retry_after_ms" => refusal.retry_after_ms, "host" => requested.host.as_str(),
                    "path" => requested.path.as_str(), "version" => self.config_version(),
                    "detail" => refusal.detail.as_str());
            }
            Response::Complete { head, .. } | Response::Stream { head, .. } => {
                slog::debug!(self.log, "answered"; "request" => id, "took_ms" => took_ms,
                    "status" => head.status);
            }
        }
    }

    /// Logs that admission control refused a request.
    pub(super) fn log_turned_away(&self, job: &Job, choice: &choose::Choice<'_>) {
        let cause = if choice.room.admits(job.priority) { "no_free_engine" } else { "memory" };
        metrics::engine_memory(&job.service().name, choice.room, job.priority);
        let (load_age_ms, details_age_ms) = self.load_ages_ms();
        slog::info!(self.log, "turned away"; "request" => job.request.id.as_str(),
            "account" => job.account.as_deref(), "route" => job.route().name.as_str(),
            "version" => job.table.version(), "priority" => job.priority,
            "free_share" => choice.free_share, "first_ms" => choice.first_ms as u64,
            "duration_percent" => choice.duration_percent(),
            "duration_age_ms" => choice.duration_age_ms,
            "cause" => cause, "memory_tokens" => choice.work.memory_tokens,
            "load_age_ms" => load_age_ms, "details_age_ms" => details_age_ms);
    }

    /// Logs a send with the inputs of the choice of its endpoint.
    pub(super) fn log_choice(&self, job: &Job, choice: &choose::Choice<'_>) {
        let limit = self.shared.limits().rate(choice.endpoint.key);
        let service = &job.service().name;
        metrics::engine_memory(service, choice.room, job.priority);
        if let Some(gaps) = choice.gaps {
            metrics::gap_forecast(service, gaps.longest_ms);
        }
        if let Some(balance) = &choice.balance {
            metrics::choice(service, balance.imbalance, balance.estimate.age_ms);
        }
        let (load_age_ms, details_age_ms) = self.load_ages_ms();
        slog::debug!(self.log, "sent"; "request" => job.request.id.as_str(),
            "account" => job.account.as_deref(), "route" => job.route().name.as_str(),
            "version" => job.table.version(), "endpoint" => choice.endpoint.id.as_str(),
            "endpoint_version" => choice.endpoint.version.as_str(),
            "after_event" => job.request.last_event_id, "resumes" => job.request.resumes.as_deref(),
            "priority" => job.priority, "rank" => job.rank().position,
            "attempt" => job.attempts, "cost_ms" => choice.cost_ms as u64,
            "next" => choice.runner_up.map(|next| next.endpoint.id.as_str()),
            "next_cost_ms" => choice.runner_up.map(|next| next.cost_ms as u64),
            "first_ms" => choice.first_ms as u64, "unread_tokens" => choice.unread_tokens,
            "ahead_tokens" => choice.work.unread_tokens, "running" => choice.work.requests,
            "load_age_ms" => load_age_ms, "details_age_ms" => details_age_ms,
            "list_age_ms" => self.shared.directory_age_ms(),
            "duration_percent" => choice.duration_percent(),
            "duration_age_ms" => choice.duration_age_ms,
            "gap_ms" => choice.gaps.map(|gaps| gaps.longest_ms as u64),
            "gap_cost_ms" => choice.gaps.map(|gaps| gaps.cost_ms as u64),
            "streams" => choice.work.streams.iter().map(|count| u32::from(*count)).sum::<u32>(),
            "memory_tokens" => choice.work.memory_tokens, "left_out" => choice.room.left_out(),
            "report_age_ms" => choice.balance.map(|one| one.estimate.age_ms),
            "assumed_requests" => choice.balance.map(|one| one.estimate.assumed_requests),
            "limit_per_s" => limit.map(limits::Rate::per_s),
            "left_ms" => job.left_ms(self.now_ms()), "output_tokens" => job.request.output_tokens(),
            "run_ms" => job.kind.is_stream()
                .then(|| self.expected_run_ms(service, &job.request)).flatten(),
            "stopping_ms" => self.shared.stop.stopping_ms());
    }

    /// Ages of the load of other entries and of its details.
    fn load_ages_ms(&self) -> (u64, Option<u64>) {
        let (load_table, now_ms) = (self.shared.load_table(), self.now_ms());
        (load_table.age_ms(now_ms), load_table.details_age_ms(now_ms))
    }

    /// Logs and counts a failed send.
    pub(super) fn log_failure(&self, job: &Job, endpoint: &directory::Endpoint, failure: &Failure) {
        let (outcome, detail) = match failure {
            Failure::NotSent(error) => ("not_sent", error.to_string()),
            Failure::NotRun { status, .. } => ("not_run", status.to_string()),
            Failure::WrongEndpoint => ("wrong_endpoint", String::new()),
            Failure::NoLongerEligible => ("closed", String::new()),
            Failure::Unknown { error, .. } => ("unknown", error.to_string()),
        };
        let evidence = match failure {
            Failure::Unknown { evidence, .. } => Some(*evidence),
            _ => None,
        };
        let retry_after_ms = match failure {
            Failure::NotRun { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        };
        metrics::send_outcome(&job.service().name, outcome);
        let prompt = job.request.prompt.as_ref().filter(|_| evidence.is_some());
        slog::info!(self.log, "send failed"; "request" => job.request.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "outcome" => outcome, "detail" => detail,
            "retry_after_ms" => retry_after_ms,
            "attempt" => job.attempts, "waited_ms" => self.now_ms() - job.arrived_ms,
            "sent_ms_ago" => evidence.map(|one| one.sent_ms_ago),
            "unacked_bytes" => evidence.and_then(|one| one.unacked_bytes),
            "reused" => evidence.map(|one| one.was_reused),
            "quiet_ms" => evidence.and_then(|one| one.quiet_ms),
            "list_age_ms" => self.shared.directory_age_ms(),
            "fingerprint" => evidence.map(|_| job.fingerprint().to_string()),
            "parts" => prompt.map(request::Prompt::shared_part_ids));
    }

    /// Logs a send whose caller disconnected before the endpoint responded.
    pub(super) fn log_abandoned(
        &self,
        job: &Job,
        endpoint: &directory::Endpoint,
        evidence: Evidence,
    ) {
        metrics::send_outcome(&job.service().name, "abandoned");
        slog::info!(self.log, "send abandoned"; "request" => job.request.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "sent_ms_ago" => evidence.sent_ms_ago,
            "unacked_bytes" => evidence.unacked_bytes, "reused" => evidence.was_reused,
            "quiet_ms" => evidence.quiet_ms);
    }
}
