//! Admission of a request: finds its route, client account and service, and refuses what this entry cannot
//! serve, in its present state or in the time that a stop leaves.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;

use rand::Rng;
use xxhash_rust::xxh3;

use super::job::{ActiveGuard, Billed, Job};
use super::request::Request;
use super::{Gateway, route};
use crate::{drain, error};

/// Retry delay for callers of an entry that has just started and has no configuration yet.
const STARTING_RETRY_MS: std::ops::Range<u32> = 600..1_800;

/// How the body of a request may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTerms {
    /// Hash of the client account's name.
    pub account: u64,
    pub max_bytes: usize,
}

/// Finds the route of a request and the client account that sent it; `None` where none is needed.
fn authorize<'a>(
    table: &'a route::Table,
    request: &Request,
) -> Result<(route::RouteKey, Option<&'a route::Account>), error::Refusal> {
    let refuse = error::Refusal::not_run;
    let key = table
        .find(&request.host, request.path())
        .ok_or_else(|| refuse(error::Kind::UnknownPath))?;
    if table.route(key).is_public || !table.has_accounts() {
        return Ok((key, None));
    }
    let sent = request.api_key.as_deref().ok_or_else(|| refuse(error::Kind::MissingKey))?;
    let account = table.account_for_key(sent).ok_or_else(|| refuse(error::Kind::InvalidKey))?;
    Ok((key, Some(account)))
}

impl Gateway {
    /// Admits a request: finds its route, account and service, or returns the refusal.
    pub(super) fn admit(&self, request: Request) -> Result<Job, error::Refusal> {
        let refuse = error::Refusal::not_run;
        let arrived_ms = self.now_ms();
        self.shared.stop.record_arrival(arrived_ms);
        if self.shared.stop.is_admission_closed() {
            return Err(drain::refusal());
        }
        let table = self.table()?;
        let (key, account) = authorize(&table, &request)?;
        let route = table.route(key);
        if request.body.len() > table.max_body_bytes() {
            return Err(refuse(error::Kind::BodyTooLarge));
        }
        let service = table
            .draw_service(route, rand::rng().random())
            .ok_or_else(|| refuse(error::Kind::UnknownService))?;
        let service_name = &table.service(service).name;
        if !self.has_time_to_answer(route, service_name, &request, arrived_ms) {
            return Err(drain::refusal());
        }
        self.shared.stop.record_admission(arrived_ms);
        let wait_ms = request.deadline_ms.unwrap_or(u32::MAX).min(route.timeout_ms);
        let kind = route.kind;
        let priority = account.and_then(|one| one.priority).unwrap_or(route.priority);
        let account = account.map(|one| one.name.clone());
        self.budgets.borrow_mut().record_request(&table.service(service).name, arrived_ms);
        Ok(Job {
            request,
            route: key,
            service,
            kind,
            account,
            fingerprint: OnceCell::new(),
            priority,
            arrived_ms,
            deadline_ms: arrived_ms + u64::from(wait_ms),
            version: None,
            tried_endpoints: Vec::new(),
            unreachable_zones: Vec::new(),
            attempts: 0,
            reached_endpoint: false,
            may_have_run: false,
            lost_sends: 0,
            at_endpoint_since_ms: Rc::default(),
            billed: Rc::new(Cell::new(Billed::No)),
            pending_count: None,
            place: None,
            _active: ActiveGuard::begin(&self.shared),
            table,
        })
    }

    /// Returns the configuration in force.
    fn table(&self) -> Result<Arc<route::Table>, error::Refusal> {
        self.shared.snapshot.load().table.clone().ok_or_else(|| {
            let wait_ms = rand::rng().random_range(STARTING_RETRY_MS);
            error::Refusal::not_run(error::Kind::NotReady).retry_after_ms(wait_ms)
        })
    }

    /// Checks the head of a request before its body is read.
    ///
    /// # Errors
    /// The refusal of a request that is not accepted with any body.
    pub fn check_head(&self, request: &Request) -> Result<BodyTerms, error::Refusal> {
        let table = self.table()?;
        let (_, account) = authorize(&table, request)?;
        let name = account.map_or("", |account| account.name.as_str());
        Ok(BodyTerms { account: xxh3::xxh3_64(name.as_bytes()), max_bytes: table.max_body_bytes() })
    }

    /// Whether this process, if it is stopping, has the time to answer a request that arrives now.
    fn has_time_to_answer(
        &self,
        route: &route::Route,
        service: &str,
        request: &Request,
        now_ms: u64,
    ) -> bool {
        let Some(stop) = self.shared.stop.deadlines() else {
            return true;
        };
        let durations = self.shared.durations.of(service);
        if !route.kind.is_stream() {
            return stop.admits_call(&durations, u64::from(route.latency_target_ms), now_ms);
        }
        let run_ms = self.expected_run_ms(service, request);
        stop.admits_stream(run_ms, &durations, self.shared.others(), now_ms)
    }
}
