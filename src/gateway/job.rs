//! A request that is allowed and on its way: what is known of it, how long it waits, what it may
//! still try.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use xxhash_rust::xxh3;

use super::attempt::Patience;
use super::directory::EndpointKey;
use super::request::{Call, Rank, Request};
use super::{measures, route, shared};

/// A first event that takes this many times as long as expected is not waited for any longer where
/// another endpoint may try. Below, a request would lose its place in a queue for nothing.
const SLOW_TIMES: u64 = 4;
/// Least time left in which another send makes sense: a connection and a short answer.
const LEAST_LEFT_MS: u64 = 40;
/// Callers of streams leave after a gap of this, at least.
const STREAM_PATIENCE_MS: u64 = 2_000;

/// A request that is allowed and on its way.
#[derive(Debug)]
pub struct Job {
    pub request: Request,
    pub table: Arc<route::Table>,
    pub route: route::RouteKey,
    pub service: route::ServiceKey,
    pub kind: route::Kind,
    pub account: Option<CompactString>,
    pub priority: u8,
    pub arrived_ms: u64,
    /// When the caller, or the route, gives up.
    pub end_ms: u64,
    /// Endpoints that have, or may have, seen it.
    pub tried: Vec<EndpointKey>,
    /// Availability zones of those that could not be connected to, one for each.
    pub refused_zones: Vec<CompactString>,
    pub attempts: u32,
    /// Some endpoint has seen it, even if it did not run it: each further send is a retry.
    pub has_arrived: bool,
    /// Some endpoint may have run it.
    pub may_have_run: bool,
    /// It stands on its account's bill.
    pub(super) is_counted: bool,
    /// Held while a send may still turn out to have run.
    pub(super) uncounted: Option<shared::PendingCount>,
    pub(super) _active: Active,
}

/// Counts a request while it is under way.
#[derive(Debug)]
pub(super) struct Active(Arc<shared::Shared>);

impl Active {
    pub(super) fn begin(shared: &Arc<shared::Shared>) -> Self {
        measures::active(shared.active.fetch_add(1, Ordering::AcqRel) + 1);
        Self(Arc::clone(shared))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        measures::active(self.0.active.fetch_sub(1, Ordering::AcqRel) - 1);
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

    /// Where the request stands among those of all accounts and routes.
    #[must_use]
    pub fn rank(&self) -> Rank {
        self.table.rank(self.priority, self.route().priority)
    }

    /// The request as an endpoint gets it now.
    #[must_use]
    pub fn call<'a>(&'a self, endpoint_id: &'a str, now_ms: u64) -> Call<'a> {
        Call {
            request: &self.request,
            left_ms: u32::try_from(self.left_ms(now_ms)).unwrap_or(u32::MAX).max(1),
            endpoint_id,
            account: self.account.as_deref(),
            rank: self.request.prompt.is_some().then(|| self.rank()),
            after_event: self.request.after_event,
        }
    }

    #[must_use]
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.end_ms.saturating_sub(now_ms)
    }

    /// When the request stays away from a zone that is evacuated: with those that share its document.
    #[must_use]
    pub fn moving_key(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        let document = prompt.and_then(|prompt| prompt.shared().last());
        document.map_or_else(|| xxh3::xxh3_64(self.request.id.as_bytes()), |part| part.id)
    }

    /// How long a caller of this stream waits for its next event.
    #[must_use]
    pub fn stream_patience_ms(&self) -> u64 {
        let route = self.route();
        STREAM_PATIENCE_MS.max(4 * u64::from(route.target_ms)).max(8 * u64::from(route.pause_ms))
    }

    /// Whether one more endpoint may see the request, as far as the request itself goes.
    #[must_use]
    pub fn has_attempt_left(&self, now_ms: u64) -> bool {
        self.attempts < self.route().max_attempts && self.left_ms(now_ms) >= LEAST_LEFT_MS
    }

    /// How long to wait for the head of an answer.
    ///
    /// A wait ends early only where the request may run again elsewhere. A stream's endpoint may be
    /// silent for a queue's length, so its silence counts only when it says nothing to anybody.
    #[must_use]
    pub(super) fn patience(&self, first_ms: f64, now_ms: u64) -> Patience {
        let left_ms = self.left_ms(now_ms);
        if !self.kind.is_repeatable() || self.attempts >= self.route().max_attempts {
            return Patience { if_silent_ms: left_ms, at_most_ms: left_ms };
        }
        let target_ms = u64::from(self.route().target_ms);
        if self.kind.is_stream() {
            let patience_ms = self.stream_patience_ms();
            return Patience {
                if_silent_ms: (patience_ms * 2 / 5).min(left_ms),
                at_most_ms: (patience_ms / 2).max(first_ms as u64 * SLOW_TIMES).min(left_ms),
            };
        }
        // Half of what is left stays for the other endpoint.
        let wait_ms = target_ms.min(left_ms / 2);
        Patience { if_silent_ms: wait_ms, at_most_ms: wait_ms }
    }
}
