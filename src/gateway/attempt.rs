//! One attempt: sends a request to one endpoint and reads the head of the response.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use super::directory::EndpointKey;
use super::policy::{choose, engine_memory, gap_forecast, load};
use super::sent_request::{Evidence, ResponseTimeout, SentRequest};
use super::{Gateway, departures, directory, http1, job, pool, request, request_log};

/// Maximum size of a stray response body that is read to skip it, in bytes.
pub(super) const MAX_STRAY_BYTES: usize = 1 << 20;

/// Uncached prompt tokens from which a send is announced to the other entries immediately. The engine
/// spends 40 ms or more on the prefill, and a short prompt that an entry unaware of it sends to the same
/// engine misses its latency target.
const ANNOUNCE_TOKENS: u32 = 2_000;
/// Fraction of an engine's slots in use from which a send is announced immediately as well. Otherwise
/// the other entries would send to the same last slots.
const ANNOUNCE_FILL_RATIO: f64 = 0.75;

/// Maximum wait of a request for lists that are current.
const MAX_LIST_WAIT_MS: u64 = 500;
/// Interval between checks whether they are.
const LIST_POLL: Duration = Duration::from_millis(10);

/// Whether a send has to be announced to the other entries immediately.
fn must_announce(choice: &choose::Choice<'_>) -> bool {
    let fill_ratio = f64::from(choice.work.requests) / f64::from(choice.endpoint.slots.max(1));
    choice.unread_tokens >= ANNOUNCE_TOKENS || fill_ratio >= ANNOUNCE_FILL_RATIO
}

/// Keeps a request's work in the load table of its endpoint until the request ends.
#[derive(Debug)]
pub struct LoadGuard {
    gateway: Rc<Gateway>,
    endpoint: EndpointKey,
    work: load::Work,
    /// Shared parts of the prompt that take memory there; empty where memory is not considered.
    used_parts: Vec<request::PromptPart>,
    /// Prompt tokens to prefill before the first event, including those of requests ahead in the queue.
    prefill_tokens: u64,
    /// Other requests at the endpoint, as of the time of the send.
    requests_at_send: u32,
    /// Expected time to the first byte of the response if no other request is ahead of it.
    expected_ms: u64,
    /// Key of the request among those that were sent and have not ended.
    open_send: Option<usize>,
}

impl LoadGuard {
    fn open(gateway: &Rc<Gateway>, job: &job::Job, choice: &choose::Choice<'_>) -> Self {
        let mut work = load::Work {
            requests: 1,
            unread_tokens: u64::from(choice.unread_tokens),
            ..load::Work::default()
        };
        let mut used_parts = Vec::new();
        if let Some(prompt) = job.request.prompt.as_ref().filter(|_| job.service().engine.is_some())
        {
            let class = gap_forecast::class_of(job.route().gap_target_ms);
            if let Some(class) = class.filter(|_| choice.gaps.is_some() && job.kind.is_stream()) {
                work.streams[class] = 1;
            }
            if gateway.shared.settings.overload_control {
                work.memory_tokens = engine_memory::private_tokens(prompt);
                used_parts = prompt.shared_parts().to_vec();
            }
        }
        let endpoint = choice.endpoint.key;
        let mut load_table = gateway.shared.load_table();
        load_table.add(endpoint, work, gateway.now_ms());
        load_table.add_used_parts(endpoint, &used_parts);
        drop(load_table);
        Self {
            gateway: Rc::clone(gateway),
            endpoint,
            work,
            used_parts,
            prefill_tokens: choice.work.unread_tokens + work.unread_tokens,
            requests_at_send: choice.work.requests,
            expected_ms: gateway.unqueued_response_ms(job, choice) as u64,
            open_send: None,
        }
    }

    /// Records that the request is sent now, on an established connection.
    fn mark_sent(&mut self, now_ms: u64) {
        let send = OpenSend { endpoint: self.endpoint, sent_ms: now_ms };
        self.open_send = Some(self.gateway.open_sends.borrow_mut().insert(send));
        self.gateway.health.borrow_mut().record_send(self.endpoint, self.expected_ms, now_ms);
    }

    /// Prompt tokens to prefill before the first event, as of the time of the send.
    #[must_use]
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    /// Other requests at the endpoint, as of the time of the send.
    #[must_use]
    pub fn requests_at_send(&self) -> u32 {
        self.requests_at_send
    }

    /// Removes the prompt's tokens from the load table once the first event has arrived.
    pub fn prefill_done(&mut self) {
        let unread_tokens = self.work.unread_tokens;
        let read = load::Work { unread_tokens, ..load::Work::default() };
        self.gateway.shared.load_table().remove(self.endpoint, read);
        self.work.unread_tokens = 0;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut load_table = self.gateway.shared.load_table();
        load_table.remove_used_parts(self.endpoint, &self.used_parts);
        load_table.remove(self.endpoint, self.work);
        drop(load_table);
        if let Some(key) = self.open_send {
            self.gateway.open_sends.borrow_mut().remove(key);
            let now_ms = self.gateway.now_ms();
            self.gateway.health.borrow_mut().record_send_end(self.endpoint, now_ms);
        }
    }
}

/// A request that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenSend {
    pub endpoint: EndpointKey,
    pub sent_ms: u64,
}

/// A response whose head has been read and whose body is still to be read.
#[derive(Debug)]
pub struct OpenResponse {
    pub endpoint: directory::Endpoint,
    pub connection: http1::Connection,
    pub head: http1::Head,
    pub info: request::ResponseInfo,
    pub load_guard: LoadGuard,
    pub sent_ms: u64,
}

impl OpenResponse {
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.head.status)
    }
}

/// Why an attempt failed.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent: no connection was established, or the endpoint closed it before the first byte.
    NotSent(http1::Error),
    /// The endpoint states that it did not run the request. Includes the time to wait, if it sent one.
    NotRun { status: u16, retry_after_ms: Option<u32> },
    /// The address now belongs to another endpoint.
    WrongEndpoint,
    /// The endpoint stopped accepting requests after it was chosen. Nothing was sent.
    NoLongerEligible,
    /// The request may have run. It is still at an endpoint that is only silent.
    Unknown { error: http1::Error, evidence: Evidence, silent: Option<Box<SentRequest>> },
}

impl Failure {
    /// Whether an endpoint has received the request, so that another send is a retry.
    #[must_use]
    pub fn reached_endpoint(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::NoLongerEligible => false,
            Self::NotRun { .. } | Self::WrongEndpoint | Self::Unknown { .. } => true,
        }
    }
}

impl Gateway {
    /// Sends a request to the chosen endpoint and waits for the head of the response.
    pub(super) async fn attempt(
        self: &Rc<Self>,
        job: &job::Job,
        choice: &choose::Choice<'_>,
        timeout: ResponseTimeout,
    ) -> Result<OpenResponse, Failure> {
        let mut load_guard = LoadGuard::open(self, job, choice);
        let endpoint = choice.endpoint.clone();
        let connection = self.connect_or_reuse(job, &endpoint).await?;
        self.await_current_lists().await;
        let now_ms = self.now_ms();
        if !self.is_still_eligible(&endpoint, now_ms) {
            self.pool.borrow_mut().put(endpoint.addr, connection, now_ms);
            return Err(Failure::NoLongerEligible);
        }
        self.note_cold_send(job, &endpoint, now_ms);
        self.shared.limits().record_send(endpoint.key, now_ms);
        if let Some(prompt) = &job.request.prompt {
            self.shared.prefix_index().record_sent(endpoint.key, &prompt.parts, now_ms);
            if must_announce(choice) {
                self.shared.urgent_update.notify_one();
            }
        }
        load_guard.mark_sent(now_ms);
        job.at_endpoint_since_ms.set(Some(now_ms));
        let bytes = self.protocol.encode(&job.endpoint_request(&endpoint.id, now_ms));
        let sent = SentRequest { endpoint, connection, load_guard, sent_ms: now_ms };
        let result = self.exchange(job, sent, &bytes, timeout).await;
        if let Err(Failure::NotSent(_) | Failure::Unknown { .. }) = result {
            self.mark_unreachable(choice.endpoint);
        }
        result
    }

    /// Reuses an idle connection or opens a new one. A request that may run only once gets a new one
    /// unless the endpoint has sent data recently. A dead endpoint is then detected before the request
    /// is sent, and the request can go to another.
    async fn connect_or_reuse(
        &self,
        job: &job::Job,
        endpoint: &directory::Endpoint,
    ) -> Result<http1::Connection, Failure> {
        let now_ms = self.now_ms();
        if job.kind.is_repeatable() || self.health.borrow().is_alive(endpoint.key, now_ms) {
            let idle = self.pool.borrow_mut().take(endpoint.addr, now_ms);
            if let Some(connection) = idle {
                return Ok(connection);
            }
        }
        pool::connect(endpoint.addr, self.shared.settings.leave_ms).await.map_err(|error| {
            self.mark_unreachable(endpoint);
            self.cold_sends.borrow_mut().record_refused(endpoint.key, self.now_ms());
            self.record_failed_connect(endpoint, &error);
            Failure::NotSent(error)
        })
    }

    /// Returns the expected time until the endpoint sends something if no other request is ahead of this one. Those that
    /// are do not count: they are answered first, and while they are not, they say nothing about a sound endpoint.
    fn unqueued_response_ms(&self, job: &job::Job, choice: &choose::Choice<'_>) -> f64 {
        let usual_ms = match job.service().engine {
            Some(_) => {
                let model = self.shared.prefill_model(&job.service().name);
                Some(model.first_event_ms(u64::from(choice.unread_tokens)))
            }
            None => self.health.borrow().response_ms(choice.endpoint.key, self.now_ms()),
        };
        usual_ms.map_or(choice.first_ms, |usual_ms| usual_ms * choice.duration_factor)
    }

    /// Waits while the control thread is late: a process that has stood still would send the requests in its sockets
    /// before it reads the news beside them. The wait is bounded, since requests have to be served by any list.
    async fn await_current_lists(&self) {
        let begin_ms = self.now_ms();
        while !self.shared.control_progress.is_current(self.now_ms())
            && self.now_ms() < begin_ms + MAX_LIST_WAIT_MS
        {
            time::sleep(LIST_POLL).await;
        }
    }

    /// Whether the chosen endpoint still accepts a request, checked again after connecting.
    fn is_still_eligible(&self, endpoint: &directory::Endpoint, now_ms: u64) -> bool {
        let snapshot = self.shared.snapshot.load();
        snapshot.accepts(endpoint, now_ms) && self.eligibility(&snapshot, now_ms).allows(endpoint)
    }

    /// Records a send to an endpoint that is cold or may become cold.
    fn note_cold_send(&self, job: &job::Job, endpoint: &directory::Endpoint, now_ms: u64) {
        if job.service().warm_up.is_some() {
            self.cold_sends.borrow_mut().record_send(endpoint.key, now_ms);
        }
    }

    /// Time since the endpoint last sent data on any connection; `None` if it never has.
    pub(super) fn quiet_ms(&self, endpoint: EndpointKey) -> Option<u64> {
        let last_bytes_ms = self.health.borrow().last_bytes_ms(endpoint);
        (last_bytes_ms > 0).then(|| self.now_ms() - last_bytes_ms)
    }

    /// Whether the endpoint has sent any response data recently and after `sent_ms`.
    pub(super) fn is_alive(&self, endpoint: EndpointKey, sent_ms: u64) -> bool {
        let health = self.health.borrow();
        health.last_bytes_ms(endpoint) > sent_ms && health.is_alive(endpoint, self.now_ms())
    }

    /// Records what the head of a response says about its endpoint. The request was sent at `sent_ms`.
    pub(super) fn record_response(
        &self,
        endpoint: &directory::Endpoint,
        info: &request::ResponseInfo,
        sent_ms: u64,
    ) {
        let now_ms = self.now_ms();
        self.record_call_answer(endpoint, info, sent_ms, now_ms);
        self.health.borrow_mut().record_bytes(endpoint.key, now_ms);
        if let Some(load) = info.load {
            self.shared.load_table().record_report(
                endpoint.key,
                load.running + load.waiting,
                now_ms,
            );
        }
        self.record_work_duration(endpoint, info, now_ms);
        if let Some(wait_ms) = info.retry_after_ms {
            self.backoff.borrow_mut().record_wait(endpoint, wait_ms, now_ms);
        }
        self.record_departure(endpoint, info);
        let unix_ms = self.shared.time.unix_ms();
        let mut limits = self.shared.limits();
        let change = limits.record_response(endpoint.key, info.limit, sent_ms, now_ms, unix_ms);
        if let Some(change) = change {
            request_log::log_endpoint_limit(&self.log, &endpoint.id, change, "answer");
            // Without the announcement the other entries would continue to send at their previous rate.
            self.shared.urgent_update.notify_one();
        }
    }

    /// Records that the endpoint leaves, if its response says so.
    pub(super) fn record_departure(
        &self,
        endpoint: &directory::Endpoint,
        info: &request::ResponseInfo,
    ) {
        let departure = departures::Departure::of(endpoint);
        if info.is_leaving && self.shared.departures().record(departure, self.now_ms()) {
            request_log::log_endpoint_leaving(&self.log, endpoint, "answer");
            self.shared.urgent_update.notify_one();
        }
    }

    /// Records that the endpoint is unreachable and closes its idle connections.
    pub(super) fn mark_unreachable(&self, endpoint: &directory::Endpoint) {
        self.pool.borrow_mut().close_idle(endpoint.addr);
        self.health.borrow_mut().record_unreachable(endpoint.key, self.now_ms());
    }

    /// Records that another endpoint responded at this endpoint's address.
    pub(super) fn mark_misdirected(&self, endpoint: &directory::Endpoint) {
        self.pool.borrow_mut().close_idle(endpoint.addr);
        self.health.borrow_mut().record_misdirected(endpoint.key, self.now_ms());
    }

    /// Reads the rest of a short response if it arrives within a short timeout, and returns the
    /// connection to the pool.
    pub(super) async fn recycle(
        &self,
        endpoint: &directory::Endpoint,
        mut connection: http1::Connection,
    ) {
        /// Time to wait for the rest. The body of a refusal arrives together with its head.
        const REST_TIMEOUT: Duration = Duration::from_millis(20);
        if let Ok(Ok(())) = time::timeout(REST_TIMEOUT, connection.skip_body(MAX_STRAY_BYTES)).await
        {
            self.pool.borrow_mut().put(endpoint.addr, connection, self.now_ms());
        }
    }
}
