//! The log lines about a request: what was decided, by what inputs of what age, and what came of it.
//! `docs/OPERATIONS.md` lists them.

use std::cell::Cell;

use compact_str::CompactString;

use super::attempt::Failure;
use super::job::Job;
use super::policy::{choose, limits};
use super::request::{Answer, Request};
use super::{Gateway, directory, measures};
use crate::error;

/// What a request asked for, for the line that says why it was refused.
pub(super) struct Asked {
    host: CompactString,
    path: CompactString,
}

impl Asked {
    pub(super) fn of(request: &Request) -> Self {
        Self { host: request.host.clone(), path: request.path().into() }
    }
}

/// Says so when the caller leaves before it is answered: its request's future is dropped then.
pub(super) struct Caller<'a> {
    gateway: &'a Gateway,
    id: &'a str,
    begin_ms: u64,
    is_answered: Cell<bool>,
}

impl<'a> Caller<'a> {
    pub(super) fn wait(gateway: &'a Gateway, id: &'a str, begin_ms: u64) -> Self {
        Self { gateway, id, begin_ms, is_answered: Cell::new(false) }
    }

    /// It has its answer, or the head of it.
    pub(super) fn is_answered(&self) {
        self.is_answered.set(true);
    }
}

impl Drop for Caller<'_> {
    fn drop(&mut self) {
        if !self.is_answered.get() {
            let took_ms = self.gateway.now_ms() - self.begin_ms;
            slog::info!(self.gateway.log, "caller left"; "request" => self.id, "took_ms" => took_ms);
        }
    }
}

/// An endpoint says itself that it leaves.
pub(super) fn endpoint_leaves(
    log: &slog::Logger,
    endpoint: &directory::Endpoint,
    source: &'static str,
) {
    slog::info!(log, "endpoint leaves"; "endpoint" => endpoint.id.as_str(),
        "started" => endpoint.started_unix_ms, "listed_leaving" => endpoint.is_leaving,
        "source" => source);
}

/// An endpoint has named a limit, another one, or none any more.
pub(super) fn endpoint_limit(
    log: &slog::Logger,
    endpoint: &str,
    change: limits::Change,
    source: &'static str,
) {
    slog::info!(log, "endpoint limit"; "endpoint" => endpoint,
        "per_s" => change.now.map(limits::Rate::per_s),
        "before_per_s" => change.before.map(limits::Rate::per_s), "source" => source);
}

impl Gateway {
    /// Version of the configuration in force; zero: none.
    fn config_version(&self) -> u64 {
        self.shared.snapshot.load().table.as_ref().map_or(0, |table| table.version())
    }

    /// Notes a request that could not be read, and was refused before it had a route.
    pub fn refused_unread(&self, refusal: &error::Refusal) {
        measures::refused(refusal.kind.answer().code);
        slog::info!(self.log, "refused unread"; "status" => refusal.kind.answer().status,
            "kind" => refusal.kind.answer().code, "detail" => refusal.detail.as_str());
    }

    /// The answer that a request got.
    pub(super) fn log_answer(&self, id: &str, asked: &Asked, answer: &Answer, took_ms: u64) {
        match answer {
            Answer::Refused(refusal) => {
                slog::info!(self.log, "refused"; "request" => id, "took_ms" => took_ms,
                    "status" => refusal.kind.answer().status,
                    "kind" => refusal.kind.answer().code, "ran" => refusal.ran.to_string(),
                    "retry_after_ms" => refusal.retry_after_ms, "host" => asked.host.as_str(),
                    "path" => asked.path.as_str(), "version" => self.config_version(),
                    "detail" => refusal.detail.as_str());
            }
            Answer::Whole { head, .. } | Answer::Stream { head, .. } => {
                slog::debug!(self.log, "answered"; "request" => id, "took_ms" => took_ms,
                    "status" => head.status);
            }
        }
    }

    pub(super) fn log_turned_away(&self, job: &Job, choice: &choose::Choice<'_>) {
        slog::info!(self.log, "turned away"; "request" => job.request.id.as_str(),
            "account" => job.account.as_deref(), "route" => job.route().name.as_str(),
            "version" => job.table.version(), "priority" => job.priority,
            "free_share" => choice.free_share, "first_ms" => choice.first_ms as u64,
            "load_age_ms" => self.shared.load_table().age_ms(self.now_ms()));
    }

    pub(super) fn log_choice(&self, job: &Job, choice: &choose::Choice<'_>) {
        let limit = self.shared.limits().of(choice.endpoint.key);
        slog::debug!(self.log, "sent"; "request" => job.request.id.as_str(),
            "account" => job.account.as_deref(), "route" => job.route().name.as_str(),
            "version" => job.table.version(), "endpoint" => choice.endpoint.id.as_str(),
            "priority" => job.priority, "rank" => job.rank().place,
            "attempt" => job.attempts, "cost_ms" => choice.cost_ms as u64,
            "first_ms" => choice.first_ms as u64, "unread_tokens" => choice.unread_tokens,
            "ahead_tokens" => choice.work.unread_tokens, "running" => choice.work.requests,
            "load_age_ms" => self.shared.load_table().age_ms(self.now_ms()),
            "limit_per_s" => limit.map(limits::Rate::per_s),
            "left_ms" => job.left_ms(self.now_ms()));
    }

    pub(super) fn log_failure(&self, job: &Job, choice: &choose::Choice<'_>, failure: &Failure) {
        let (what, detail) = match failure {
            Failure::NotSent(error) => ("not_sent", error.to_string()),
            Failure::NotRun { status, .. } => ("not_run", status.to_string()),
            Failure::WrongEndpoint => ("wrong_endpoint", String::new()),
            Failure::Closed => ("closed", String::new()),
            Failure::Unknown(error) => ("unknown", error.to_string()),
        };
        let retry_after_ms = match failure {
            Failure::NotRun { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        };
        measures::sent(&job.service().name, what);
        slog::info!(self.log, "send failed"; "request" => job.request.id.as_str(),
            "endpoint" => choice.endpoint.id.as_str(), "outcome" => what, "detail" => detail,
            "retry_after_ms" => retry_after_ms,
            "attempt" => job.attempts, "waited_ms" => self.now_ms() - job.arrived_ms);
    }
}
