//! State of an admitted request while it is forwarded: its route, account, deadline, time limits and
//! the attempts made so far.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use xxhash_rust::xxh3;

use super::directory::{EndpointKey, VersionKey};
use super::fingerprint::Fingerprint;
use super::request::{EndpointRequest, Rank, Request};
use super::sent_request::ResponseTimeout;
use super::{call_admission, metrics, route, shared, stream_versions};

/// Multiple of the expected time to the first event after which the wait ends, if another endpoint may
/// take the request. A smaller factor would cost requests their place in a queue for no gain.
const SLOW_RESPONSE_FACTOR: u64 = 4;
/// Minimum remaining time for another send: enough for a connection and a short response.
const MIN_ATTEMPT_MS: u64 = 40;
/// Shortest gap between events after which callers of streams disconnect.
const MIN_STREAM_TIMEOUT_MS: u64 = 2_000;

/// An admitted request that is being forwarded.
#[derive(Debug)]
pub struct Job {
    pub request: Request,
    pub table: Arc<route::Table>,
    pub route: route::RouteKey,
    pub service: route::ServiceKey,
    pub kind: route::Kind,
    pub account: Option<CompactString>,
    /// Computed when it is first asked for: most requests are never compared with others.
    pub(super) fingerprint: OnceCell<Fingerprint>,
    pub priority: u8,
    pub arrived_ms: u64,
    /// When the time limit of the caller or of the route expires, whichever is earlier.
    pub deadline_ms: u64,
    /// Software version that has begun the stream; only its endpoints may go on with it.
    pub version: Option<VersionKey>,
    /// Endpoints that have received the request, or may have.
    pub tried_endpoints: Vec<EndpointKey>,
    /// Availability zones of endpoints that could not be connected to, one entry per failed connection.
    pub unreachable_zones: Vec<CompactString>,
    pub attempts: u32,
    /// An endpoint has received the request, even if it did not run it. Each further send is a retry.
    pub reached_endpoint: bool,
    /// An endpoint may have run the request.
    pub may_have_run: bool,
    /// Number of sends that were given up while the endpoint may still have been at work on the request.
    pub lost_sends: u32,
    /// When the request was sent to the endpoint that has it now, or may have it.
    pub(super) at_endpoint_since_ms: Rc<Cell<Option<u64>>>,
    /// Shared with the check of an endpoint at which the request may have run.
    pub(super) billed: Rc<Cell<Billed>>,
    /// Held while a send may still prove to have run, and so have to be billed.
    pub(super) pending_count: Option<shared::PendingCount>,
    /// Place among the calls in progress; none where calls do not wait for one.
    pub(super) place: Option<call_admission::Place>,
    pub(super) _active: ActiveGuard,
}

/// Whether a request has been counted for its account's bill, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Billed {
    No,
    /// It was sent, and whether it has run is unknown.
    OutcomeUnknown,
    /// It has begun to run.
    Began,
}

/// Counts a request as active until it is dropped.
#[derive(Debug)]
pub(super) struct ActiveGuard(Arc<shared::Shared>);

impl ActiveGuard {
    pub(super) fn begin(shared: &Arc<shared::Shared>) -> Self {
        metrics::active_requests(shared.stop.active.fetch_add(1, Ordering::AcqRel) + 1);
        Self(Arc::clone(shared))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        metrics::active_requests(self.0.stop.active.fetch_sub(1, Ordering::AcqRel) - 1);
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.billed.get() == Billed::OutcomeUnknown {
            metrics::call_of_unknown_outcome(&self.service().name);
        }
    }
}

impl Job {
    #[must_use]
    pub fn route(&self) -> &route::Route {
        self.table.route(self.route)
    }

    #[must_use]
    pub fn service(&self) -> &route::Service {
        self.table.service(self.service)
    }

    /// Rank of the request among those of all accounts and routes.
    #[must_use]
    pub fn rank(&self) -> Rank {
        self.table.rank(self.priority, self.route().priority)
    }

    /// The request as it is sent to an endpoint now.
    #[must_use]
    pub fn endpoint_request<'a>(
        &'a self,
        endpoint_id: &'a str,
        now_ms: u64,
    ) -> EndpointRequest<'a> {
        EndpointRequest {
            request: &self.request,
            left_ms: u32::try_from(self.left_ms(now_ms)).unwrap_or(u32::MAX).max(1),
            endpoint_id,
            account: self.account.as_deref(),
            rank: self.request.prompt.is_some().then(|| self.rank()),
            last_event_id: self.request.last_event_id,
        }
    }

    /// Whether the caller goes on with a stream of which it has received events.
    #[must_use]
    pub fn is_continuation(&self) -> bool {
        let names_stream = self.request.resumes.is_some();
        self.kind.is_stream()
            && self.request.last_event_id.is_some_and(|event| event > 0 || names_stream)
    }

    /// Key of the stream: that of the caller's request that brought its first event.
    #[must_use]
    pub fn stream_key(&self) -> stream_versions::StreamKey {
        let named = self.request.resumes.as_ref().filter(|_| self.is_continuation());
        let began = named.unwrap_or(&self.request.id);
        stream_versions::StreamKey::of(began)
    }

    /// Fingerprint of the request's content, by which other attempts with the same request are known.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| Fingerprint::of(&self.request, self.account.as_deref()))
    }

    #[must_use]
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Key that decides when the request leaves a zone under evacuation. Requests that share a document
    /// have the same key, so they move together.
    #[must_use]
    pub fn evacuation_key(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        let document = prompt.and_then(|prompt| prompt.shared_parts().last());
        document.map_or_else(|| xxh3::xxh3_64(self.request.id.as_bytes()), |part| part.id)
    }

    /// Gap between events after which a caller of this stream disconnects.
    #[must_use]
    pub fn stream_timeout_ms(&self) -> u64 {
        let route = self.route();
        MIN_STREAM_TIMEOUT_MS
            .max(4 * u64::from(route.latency_target_ms))
            .max(8 * u64::from(route.gap_target_ms))
    }

    /// Time after its arrival for which a request waits here for an endpoint that stands still. The rest is kept for the
    /// caller, who may reach another endpoint through another entry.
    #[must_use]
    pub fn silent_hold_ms(&self) -> u64 {
        let limit_ms = self.deadline_ms.saturating_sub(self.arrived_ms);
        match self.kind.is_stream() {
            true => (self.stream_timeout_ms() * 4 / 5).min(limit_ms),
            false => limit_ms / 2,
        }
    }

    /// Whether the route's attempt limit and the remaining time allow another attempt.
    #[must_use]
    pub fn has_attempt_left(&self, now_ms: u64) -> bool {
        self.attempts < self.route().max_attempts && self.left_ms(now_ms) >= MIN_ATTEMPT_MS
    }

    /// How long to wait for the head of a response.
    ///
    /// The wait ends before the deadline only if the request may run again at another endpoint. The
    /// endpoint of a stream sends nothing while the request is queued, so its silence counts only if
    /// the endpoint sends nothing on any connection.
    #[must_use]
    pub(super) fn response_timeout(&self, first_ms: f64, now_ms: u64) -> ResponseTimeout {
        let left_ms = self.left_ms(now_ms);
        if !self.kind.is_repeatable() || self.attempts >= self.route().max_attempts {
            return ResponseTimeout { silent_ms: left_ms, max_ms: left_ms };
        }
        let target_ms = u64::from(self.route().latency_target_ms);
        if self.kind.is_stream() {
            let timeout_ms = self.stream_timeout_ms();
            return ResponseTimeout {
                silent_ms: (timeout_ms * 2 / 5).min(left_ms),
                max_ms: (timeout_ms / 2).max(first_ms as u64 * SLOW_RESPONSE_FACTOR).min(left_ms),
            };
        }
        // Half of the remaining time is kept for the other endpoint.
        let wait_ms = target_ms.min(left_ms / 2);
        ResponseTimeout { silent_ms: wait_ms, max_ms: wait_ms }
    }
}
