//! Endpoints that fell silent and have started again since.
//!
//! A machine that is gone closes no connection and refuses none, so nothing shows that its process has ended until the
//! store lists the next one under its id. What was under way at the process before may have ended it. Requests that
//! were not answered are therefore kept for a while.

use std::collections::{HashMap, VecDeque};

use super::policy::quarantine;
use super::{Gateway, directory};

/// How long an unanswered request is kept: longer than a machine takes to start again and its record to be listed.
const RETENTION_MS: u64 = 10_000;
/// Maximum number of groups of unanswered requests that are kept of an endpoint.
const MAX_UNANSWERED: usize = 16;

/// Requests that ended together without an answer of their endpoint.
#[derive(Debug)]
struct Unanswered {
    started_unix_ms: u64,
    at_ms: u64,
    losses: Vec<quarantine::Loss>,
}

/// A process of an endpoint that has ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    started_unix_ms: u64,
    /// When it fell silent; `None` if what was under way there is known by other means.
    silent_since_ms: Option<u64>,
    seen_ms: u64,
}

/// What was under way at endpoints that have started again, or may have.
#[derive(Debug, Default)]
pub(super) struct Restarts {
    unanswered: HashMap<directory::EndpointKey, VecDeque<Unanswered>>,
    ended: HashMap<directory::EndpointKey, Ended>,
}

impl Restarts {
    /// Records requests that were not answered. If their endpoint's process is known to have ended, returns when it fell
    /// silent.
    fn record_unanswered(
        &mut self,
        endpoint: &directory::Endpoint,
        losses: &[quarantine::Loss],
        now_ms: u64,
    ) -> Option<u64> {
        let started_unix_ms = endpoint.started_unix_ms;
        if let Some(ended) = self.ended(endpoint) {
            return ended.silent_since_ms;
        }
        let unanswered = self.unanswered.entry(endpoint.key).or_default();
        unanswered.push_back(Unanswered { started_unix_ms, at_ms: now_ms, losses: losses.into() });
        if unanswered.len() > MAX_UNANSWERED {
            unanswered.pop_front();
        }
        None
    }

    /// Records that a process has ended; `silent_since_ms` as in [`Ended`]. Returns what it had not answered.
    fn record_end(
        &mut self,
        endpoint: &directory::Endpoint,
        silent_since_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<quarantine::Loss> {
        let started_unix_ms = endpoint.started_unix_ms;
        self.ended
            .insert(endpoint.key, Ended { started_unix_ms, silent_since_ms, seen_ms: now_ms });
        let unanswered = self.unanswered.remove(&endpoint.key).unwrap_or_default();
        let of_process = unanswered.into_iter().filter(|one| {
            one.started_unix_ms == started_unix_ms && now_ms < one.at_ms + RETENTION_MS
        });
        of_process.flat_map(|one| one.losses).collect()
    }

    /// Returns what is known of the end of this process of an endpoint.
    fn ended(&self, endpoint: &directory::Endpoint) -> Option<&Ended> {
        let ended = self.ended.get(&endpoint.key);
        ended.filter(|ended| ended.started_unix_ms == endpoint.started_unix_ms)
    }

    /// Drops what is too old to matter.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        self.unanswered.retain(|_, unanswered| {
            unanswered.retain(|one| now_ms < one.at_ms + RETENTION_MS);
            !unanswered.is_empty()
        });
        self.ended.retain(|_, ended| now_ms < ended.seen_ms + RETENTION_MS);
    }
}

impl Gateway {
    /// Records requests that an endpoint has not answered. It may turn out later that its process has ended.
    pub(super) fn record_unanswered(
        &self,
        endpoint: &directory::Endpoint,
        losses: &[quarantine::Loss],
    ) {
        let now_ms = self.now_ms();
        let silent_since_ms =
            self.restarts.borrow_mut().record_unanswered(endpoint, losses, now_ms);
        if let Some(at_ms) = silent_since_ms {
            self.record_crash_losses(endpoint.key, losses.iter().copied(), at_ms);
        }
    }

    /// Records that a process is known to have ended, with what was under way there.
    pub(super) fn record_known_end(&self, endpoint: &directory::Endpoint) {
        self.restarts.borrow_mut().record_end(endpoint, None, self.now_ms());
    }

    /// Records the endpoints that have started again without having announced that they leave.
    pub(super) fn record_restarts(
        &self,
        before: &directory::Directory,
        listed: &directory::Directory,
    ) {
        let now_ms = self.now_ms();
        for old in before.endpoints() {
            let is_restarted =
                listed.find(old.key).is_some_and(|new| new.started_unix_ms != old.started_unix_ms);
            if !is_restarted || self.restarts.borrow().ended(old).is_some() {
                continue;
            }
            let is_announced = old.is_leaving || self.shared.departures().contains(old);
            let silent_since_ms = self.health.borrow().last_silence_ms(old.key);
            let silent_since_ms =
                silent_since_ms.filter(|since_ms| now_ms < since_ms + RETENTION_MS);
            let ended_ms = silent_since_ms.unwrap_or(now_ms);
            let suspected_ms = (!is_announced).then_some(ended_ms);
            let losses = self.restarts.borrow_mut().record_end(old, suspected_ms, now_ms);
            slog::info!(self.log, "endpoint started again"; "endpoint" => old.id.as_str(),
                "before" => old.started_unix_ms, "announced" => is_announced,
                "silent_ms" => silent_since_ms.map(|since_ms| now_ms - since_ms),
                "lost" => losses.len());
            if !is_announced {
                self.record_crash_losses(old.key, losses.into_iter(), ended_ms);
            }
        }
    }
}
