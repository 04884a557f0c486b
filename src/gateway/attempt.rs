//! One send of a request to one endpoint, up to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use super::directory::EndpointKey;
use super::policy::{choose, health, load};
use super::{Gateway, departures, directory, http1, job, lines, pool, request};

/// Answers to other requests that are skipped before the awaited one; endpoints have been seen to
/// send one too many.
const MAX_STRAY_ANSWERS: usize = 4;
/// Longest stray answer that is read to get past it, in bytes.
const MAX_STRAY_BYTES: usize = 1 << 20;

/// A prompt with so many tokens to read is told to the other entries at once: an engine reads for 40 ms
/// or more, and a short prompt sent behind it by an entry that does not know it is late.
const NEWS_TOKENS: u32 = 2_000;
/// What is sent to an engine whose slots are taken to this part is told at once as well: the others
/// would take the same last slots.
const NEWS_FILLED_PART: f64 = 0.75;

/// Whether the other entries have to know of a send at once.
fn is_news(choice: &choose::Choice<'_>) -> bool {
    let filled_part = f64::from(choice.work.requests) / f64::from(choice.endpoint.slots.max(1));
    choice.unread_tokens >= NEWS_TOKENS || filled_part >= NEWS_FILLED_PART
}

/// Keeps an endpoint's share of the load book for as long as a request is under way there.
#[derive(Debug)]
pub struct Ticket {
    gateway: Rc<Gateway>,
    endpoint: EndpointKey,
    work: load::Work,
    /// Tokens that are read before the first event, with those of others ahead.
    before_tokens: u64,
}

impl Ticket {
    fn open(gateway: &Rc<Gateway>, choice: &choose::Choice<'_>) -> Self {
        let work = load::Work { requests: 1, unread_tokens: u64::from(choice.unread_tokens) };
        gateway.shared.load_table().add(choice.endpoint.key, work, gateway.now_ms());
        let before_tokens = choice.work.unread_tokens + work.unread_tokens;
        Self { gateway: Rc::clone(gateway), endpoint: choice.endpoint.key, work, before_tokens }
    }

    /// Tokens that were to be read before the first event when the request was sent.
    #[must_use]
    pub fn before_tokens(&self) -> u64 {
        self.before_tokens
    }

    /// The prompt has been read: the first event is there.
    pub fn first_event(&mut self) {
        let read = load::Work { requests: 0, unread_tokens: self.work.unread_tokens };
        self.gateway.shared.load_table().remove(self.endpoint, read);
        self.work.unread_tokens = 0;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.gateway.shared.load_table().remove(self.endpoint, self.work);
    }
}

/// A request under way at an endpoint, with the head of its answer read.
#[derive(Debug)]
pub struct Running {
    pub endpoint: directory::Endpoint,
    pub connection: http1::Connection,
    pub head: http1::Head,
    pub facts: request::AnswerFacts,
    pub ticket: Ticket,
    pub sent_ms: u64,
}

/// Why a send came to nothing.
#[derive(Debug)]
pub enum Failure {
    /// No connection: the endpoint has not seen it.
    NotSent(http1::Error),
    /// The endpoint states that it did not run it. With the time to wait, if it told one.
    NotRun { status: u16, retry_after_ms: Option<u32> },
    /// Another endpoint has the address now.
    WrongEndpoint,
    /// The endpoint takes nothing more since it was chosen; nothing was sent.
    Closed,
    /// It may have run.
    Unknown(http1::Error),
}

impl Failure {
    /// Whether some endpoint has seen the request, so that another send repeats it there.
    #[must_use]
    pub fn arrived(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Closed => false,
            Self::NotRun { .. } | Self::WrongEndpoint | Self::Unknown(_) => true,
        }
    }
}

/// How long to wait for the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Past this the endpoint must have been heard of lately, on any connection.
    pub if_silent_ms: u64,
    pub at_most_ms: u64,
}

impl Gateway {
    /// Sends a request to the chosen endpoint and waits for the head of its answer.
    pub(super) async fn attempt(
        self: &Rc<Self>,
        job: &job::Job,
        choice: &choose::Choice<'_>,
        patience: Patience,
    ) -> Result<Running, Failure> {
        let ticket = Ticket::open(self, choice);
        let endpoint = choice.endpoint.clone();
        let mut connection = self.connection(job, &endpoint).await?;
        let now_ms = self.now_ms();
        if !self.takes_one_more(&endpoint, now_ms) {
            self.pool.borrow_mut().give(endpoint.addr, connection, now_ms);
            return Err(Failure::Closed);
        }
        self.note_cold_send(job, &endpoint, now_ms);
        self.shared.limits().note(endpoint.key, now_ms);
        if let Some(prompt) = &job.request.prompt {
            self.shared.prefix_locations().place(endpoint.key, &prompt.parts, now_ms);
            if is_news(choice) {
                self.shared.urgent_update.notify_one();
            }
        }
        let bytes = self.form.encode(&job.call(&endpoint.id, now_ms));
        let answered = {
            let head = self.matching_head(&mut connection, &bytes, job);
            tokio::pin!(head);
            let mut limit_ms = patience.if_silent_ms.min(patience.at_most_ms);
            loop {
                let left_ms = (now_ms + limit_ms).saturating_sub(self.now_ms());
                match time::timeout(Duration::from_millis(left_ms), &mut head).await {
                    Ok(answered) => break answered,
                    Err(_)
                        if limit_ms < patience.at_most_ms
                            && self.is_alive(endpoint.key, now_ms) =>
                    {
                        limit_ms = (limit_ms + health::ALIVE_MS).min(patience.at_most_ms);
                    }
                    Err(_) => break Err(http1::Error::TimedOut),
                }
            }
        };
        match answered {
            Ok((head, facts)) => {
                if facts.is_other_endpoint {
                    return Err(Failure::WrongEndpoint);
                }
                self.heard(&endpoint, &facts, now_ms);
                if facts.not_run {
                    let failure = Failure::NotRun {
                        status: head.status,
                        retry_after_ms: facts.retry_after_ms,
                    };
                    self.keep_when_read(&endpoint, connection).await;
                    return Err(failure);
                }
                Ok(Running { endpoint, connection, head, facts, ticket, sent_ms: now_ms })
            }
            Err(error) => {
                self.unreachable(&endpoint);
                Err(Failure::Unknown(error))
            }
        }
    }

    /// An idle connection, or a new one where the request may run only once and the endpoint has not
    /// been heard of just now: one that is dead is then found before the request is sent, and another
    /// can take it.
    async fn connection(
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
        pool::connect(endpoint.addr).await.map_err(|error| {
            self.unreachable(endpoint);
            self.cold_sends.borrow_mut().refused(endpoint.key, self.now_ms());
            Failure::NotSent(error)
        })
    }

    /// Whether a chosen endpoint still takes a request, now that a connection is there.
    fn takes_one_more(&self, endpoint: &directory::Endpoint, now_ms: u64) -> bool {
        let snapshot = self.shared.snapshot.load();
        snapshot.accepts(endpoint, now_ms) && self.eligibility(&snapshot, now_ms).takes(endpoint)
    }

    /// Notes a send to an endpoint that is, or may turn, cold.
    fn note_cold_send(&self, job: &job::Job, endpoint: &directory::Endpoint, now_ms: u64) {
        if job.service().warm_up.is_some() {
            self.cold_sends.borrow_mut().note(endpoint.key, now_ms);
        }
    }

    /// The head that answers this request; what answers another is skipped.
    async fn matching_head(
        &self,
        connection: &mut http1::Connection,
        bytes: &[u8],
        job: &job::Job,
    ) -> Result<(http1::Head, request::AnswerFacts), http1::Error> {
        let mut head = connection.exchange(bytes).await?;
        for _ in 0..MAX_STRAY_ANSWERS {
            let facts = self.form.read(&head);
            if facts.is_other_endpoint || facts.request_id.as_ref() == Some(&job.request.id) {
                return Ok((head, facts));
            }
            if facts.request_id.is_none() {
                return Err(http1::Error::Malformed);
            }
            slog::warn!(self.log, "stray answer skipped"; "request" => job.request.id.as_str(),
                "answers" => facts.request_id.as_deref().unwrap_or_default());
            connection.rest(MAX_STRAY_BYTES).await?;
            head = connection.next_head().await?;
        }
        Err(http1::Error::Malformed)
    }

    /// Whether bytes of any answer came from the endpoint just now, after the send.
    pub(super) fn is_alive(&self, endpoint: EndpointKey, sent_ms: u64) -> bool {
        let health = self.health.borrow();
        health.heard_ms(endpoint) > sent_ms && health.is_alive(endpoint, self.now_ms())
    }

    /// Takes what the head of an answer says of the endpoint, to a request that was sent at `sent_ms`.
    fn heard(&self, endpoint: &directory::Endpoint, facts: &request::AnswerFacts, sent_ms: u64) {
        let now_ms = self.now_ms();
        self.health.borrow_mut().heard(endpoint.key, now_ms);
        if let Some(load) = facts.load {
            self.shared.load_table().take_report(endpoint.key, load.running + load.waiting, now_ms);
        }
        if let Some(wait_ms) = facts.retry_after_ms {
            self.backoff.borrow_mut().ask(endpoint, wait_ms, now_ms);
        }
        let departure = departures::Departure::of(endpoint);
        if facts.is_leaving && self.shared.departures().record(departure, now_ms) {
            lines::endpoint_leaves(&self.log, endpoint, "answer");
            self.shared.urgent_update.notify_one();
        }
        let unix_ms = self.shared.time.unix_ms();
        let mut limits = self.shared.limits();
        let change = limits.answered(endpoint.key, facts.limit, sent_ms, now_ms, unix_ms);
        if let Some(change) = change {
            lines::endpoint_limit(&self.log, &endpoint.id, change, "answer");
            // The other entries send at their usual rate until they know.
            self.shared.urgent_update.notify_one();
        }
    }

    pub(super) fn unreachable(&self, endpoint: &directory::Endpoint) {
        self.pool.borrow_mut().forget(endpoint.addr);
        self.health.borrow_mut().unreachable(endpoint.key, self.now_ms());
    }

    /// Another endpoint answered at this one's address.
    pub(super) fn misdirected(&self, endpoint: &directory::Endpoint) {
        self.pool.borrow_mut().forget(endpoint.addr);
        self.health.borrow_mut().misdirected(endpoint.key, self.now_ms());
    }

    /// Reads the rest of a short answer, if it is there already, and keeps the connection.
    async fn keep_when_read(
        &self,
        endpoint: &directory::Endpoint,
        mut connection: http1::Connection,
    ) {
        /// A refusal's body comes with its head.
        const REST: Duration = Duration::from_millis(20);
        if let Ok(Ok(_)) = time::timeout(REST, connection.rest(MAX_STRAY_BYTES)).await {
            self.pool.borrow_mut().give(endpoint.addr, connection, self.now_ms());
        }
    }
}
