//! A request at an endpoint that has not responded: how long its response is waited for, and what is known if none
//! comes.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use super::attempt::{Failure, LoadGuard, MAX_STRAY_BYTES, OpenResponse};
use super::policy::health;
use super::{Gateway, directory, http1, job, request};

/// Maximum number of responses to other requests that are skipped before the expected one. Endpoints
/// have been observed to send one response too many.
const MAX_STRAY_RESPONSES: usize = 4;

/// What is known about a request that was sent and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Time since the send.
    pub sent_ms_ago: u64,
    /// Bytes that the endpoint's machine has not acknowledged; `None` if unknown. If it is zero, the
    /// endpoint has the request.
    pub unacked_bytes: Option<u32>,
    /// Whether the connection had carried another request before.
    pub was_reused: bool,
    /// Time since the endpoint last sent data on any connection; `None` if it never has.
    pub quiet_ms: Option<u64>,
    /// Whether an idle connection to the endpoint was lost as well.
    pub has_lost_idle: bool,
}

impl Evidence {
    /// Whether a connection was lost over which the endpoint had answered before.
    #[must_use]
    pub fn has_lost_proven_connection(&self) -> bool {
        self.was_reused || self.has_lost_idle
    }
}

/// Limits of the wait for the head of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeout {
    /// After this time the wait continues only if the endpoint has sent data recently, on any connection.
    pub silent_ms: u64,
    pub max_ms: u64,
}

/// A request that was sent to an endpoint and whose response has not begun.
#[derive(Debug)]
pub struct SentRequest {
    pub endpoint: directory::Endpoint,
    pub connection: http1::Connection,
    pub load_guard: LoadGuard,
    pub sent_ms: u64,
}

impl SentRequest {
    fn evidence(&self, gateway: &Gateway) -> Evidence {
        Evidence {
            sent_ms_ago: gateway.now_ms() - self.sent_ms,
            unacked_bytes: self.connection.unacked_bytes(),
            was_reused: self.connection.was_reused(),
            quiet_ms: gateway.quiet_ms(self.endpoint.key),
            has_lost_idle: gateway.pool.borrow().has_lost(self.endpoint.addr),
        }
    }
}

/// The wait for a response. If it is dropped before it has ended, the caller has disconnected or another endpoint has
/// responded; this is logged.
struct Wait<'a> {
    gateway: &'a Gateway,
    job: &'a job::Job,
    sent: &'a mut SentRequest,
    /// The request, if it has not been sent yet.
    unsent: Option<&'a [u8]>,
    /// `None` if no other endpoint takes the request.
    timeout: Option<ResponseTimeout>,
    has_ended: bool,
}

impl Wait<'_> {
    /// Waits for the head of the response.
    async fn head(mut self) -> Result<(http1::Head, request::ResponseInfo), http1::Error> {
        let result = self.head_in_time().await;
        self.has_ended = true;
        result
    }

    async fn head_in_time(&mut self) -> Result<(http1::Head, request::ResponseInfo), http1::Error> {
        let limits = Limits::of(self.gateway, self.job, self.sent, self.timeout);
        let head = async {
            if let Some(bytes) = self.unsent {
                self.sent.connection.send(bytes).await?;
            }
            self.gateway.matching_head(&mut self.sent.connection, self.job).await
        };
        tokio::pin!(head);
        let mut limit_ms = limits.first_ms();
        loop {
            let left_ms = (limits.sent_ms + limit_ms).saturating_sub(self.gateway.now_ms());
            if let Ok(result) = time::timeout(Duration::from_millis(left_ms), &mut head).await {
                return result;
            }
            let max_ms = limits.max_ms(limit_ms);
            if limit_ms >= max_ms {
                return Err(http1::Error::TimedOut);
            }
            limit_ms = (limit_ms + health::ALIVE_MS).min(max_ms);
        }
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let endpoint = &self.sent.endpoint;
            self.gateway.log_abandoned(self.job, endpoint, self.sent.evidence(self.gateway));
            self.gateway.record_abandoned_request(self.job, endpoint, 0);
        }
    }
}

/// How long a response is waited for, in milliseconds after the request was sent.
struct Limits<'a> {
    gateway: &'a Gateway,
    job: &'a job::Job,
    endpoint: directory::EndpointKey,
    sent_ms: u64,
    timeout: Option<ResponseTimeout>,
}

impl<'a> Limits<'a> {
    fn of(
        gateway: &'a Gateway,
        job: &'a job::Job,
        sent: &SentRequest,
        timeout: Option<ResponseTimeout>,
    ) -> Self {
        Self { gateway, job, endpoint: sent.endpoint.key, sent_ms: sent.sent_ms, timeout }
    }

    /// The time after which the limit is computed for the first time.
    fn first_ms(&self) -> u64 {
        let now_ms = self.gateway.now_ms();
        self.timeout.map_or(now_ms - self.sent_ms, |limit| limit.silent_ms.min(limit.max_ms))
    }

    /// The limit, after a wait of `waited_ms`.
    fn max_ms(&self, waited_ms: u64) -> u64 {
        let is_alive = self.gateway.is_alive(self.endpoint, self.sent_ms);
        let last_bytes_ms = self.gateway.health.borrow().last_bytes_ms(self.endpoint);
        let sole_ms = sole_attempt_limit_ms(self.job, self.sent_ms, last_bytes_ms, is_alive);
        let Some(timeout) = self.timeout else {
            return sole_ms;
        };
        let retry_ms = if is_alive { timeout.max_ms } else { waited_ms };
        if self.gateway.can_retry(self.job) { retry_ms } else { retry_ms.max(sole_ms) }
    }
}

/// Returns how long after its send to wait for the response to a request that no other endpoint takes. The rest is
/// kept for the caller, who may reach a silent endpoint through another entry; a stream that has begun would be cut
/// off.
fn sole_attempt_limit_ms(job: &job::Job, sent_ms: u64, last_bytes_ms: u64, is_alive: bool) -> u64 {
    let heard_ms = last_bytes_ms.saturating_sub(sent_ms);
    let left_ms = job.left_ms(sent_ms);
    let has_begun = job.version.is_some();
    match (is_alive || has_begun, job.kind.is_stream()) {
        (true, _) => left_ms,
        (false, false) => left_ms / 2,
        (false, true) => (heard_ms + job.stream_timeout_ms() * 4 / 5).min(left_ms),
    }
}

impl Gateway {
    /// Sends a request on its connection and waits for the head of the response.
    pub(super) async fn exchange(
        &self,
        job: &job::Job,
        mut sent: SentRequest,
        bytes: &[u8],
        timeout: ResponseTimeout,
    ) -> Result<OpenResponse, Failure> {
        let (unsent, timeout) = (Some(bytes), Some(timeout));
        let wait = Wait { gateway: self, job, sent: &mut sent, unsent, timeout, has_ended: false };
        match wait.head().await {
            Ok((head, info)) => self.take_head(sent, head, info).await,
            Err(error @ http1::Error::Unsent(_)) => Err(Failure::NotSent(error)),
            Err(error) => {
                let evidence = sent.evidence(self);
                let is_silent =
                    matches!(error, http1::Error::TimedOut) && sent.connection.awaits_head();
                let silent = (is_silent && job.kind.is_repeatable()).then(|| Box::new(sent));
                Err(Failure::Unknown { error, evidence, silent })
            }
        }
    }

    /// Goes on waiting for an endpoint that was given up while it was silent, since no other endpoint has taken the
    /// request. `None` if it does not respond in time.
    pub(super) async fn wait_on(
        self: &Rc<Self>,
        job: &job::Job,
        mut sent: SentRequest,
    ) -> Option<OpenResponse> {
        let endpoint = sent.endpoint.clone();
        let waited_ms = self.now_ms() - sent.sent_ms;
        let limits = Limits::of(self, job, &sent, None);
        if waited_ms >= limits.max_ms(waited_ms) && !sent.connection.has_unread_bytes() {
            return None;
        }
        slog::info!(self.log, "request kept"; "request" => job.request.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "sent_ms_ago" => self.now_ms() - sent.sent_ms);
        job.at_endpoint_since_ms.set(Some(sent.sent_ms));
        let wait = Wait {
            gateway: self,
            job,
            sent: &mut sent,
            unsent: None,
            timeout: None,
            has_ended: false,
        };
        let failure = match wait.head().await {
            Ok((head, info)) => match self.take_head(sent, head, info).await {
                Ok(response) => return Some(response),
                Err(failure) => failure,
            },
            Err(error) => {
                let evidence = sent.evidence(self);
                let is_proven = evidence.has_lost_proven_connection();
                self.record_lost_request(job, &endpoint, &error, is_proven, 0);
                Failure::Unknown { error, evidence, silent: None }
            }
        };
        job.at_endpoint_since_ms.set(None);
        self.log_failure(job, &endpoint, &failure);
        None
    }

    /// Judges the head of a response and records what it says about its endpoint.
    async fn take_head(
        &self,
        sent: SentRequest,
        head: http1::Head,
        info: request::ResponseInfo,
    ) -> Result<OpenResponse, Failure> {
        if info.is_other_endpoint {
            return Err(Failure::WrongEndpoint);
        }
        let SentRequest { endpoint, connection, load_guard, sent_ms } = sent;
        self.record_response(&endpoint, &info, sent_ms);
        if info.not_run {
            let retry_after_ms = info.retry_after_ms;
            self.recycle(&endpoint, connection).await;
            return Err(Failure::NotRun { status: head.status, retry_after_ms });
        }
        Ok(OpenResponse { endpoint, connection, head, info, load_guard, sent_ms })
    }

    /// Reads the head of the response to this request, skipping responses to other requests.
    async fn matching_head(
        &self,
        connection: &mut http1::Connection,
        job: &job::Job,
    ) -> Result<(http1::Head, request::ResponseInfo), http1::Error> {
        let mut head = connection.next_head().await?;
        for _ in 0..MAX_STRAY_RESPONSES {
            let info = self.protocol.parse_head(&head);
            if info.is_other_endpoint || info.request_id.as_ref() == Some(&job.request.id) {
                return Ok((head, info));
            }
            if info.request_id.is_none() {
                return Err(http1::Error::Malformed);
            }
            slog::warn!(self.log, "stray answer skipped"; "request" => job.request.id.as_str(),
                "answers" => info.request_id.as_deref().unwrap_or_default());
            connection.skip_body(MAX_STRAY_BYTES).await?;
            head = connection.next_head().await?;
        }
        Err(http1::Error::Malformed)
    }
}
