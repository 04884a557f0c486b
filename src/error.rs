//! The closed set of error kinds and the table that maps each kind to the response sent to the caller.
//!
//! Every failure on a request's path ends as a [`Refusal`]. A refusal states whether the request ran:
//! only a process that knows that the request was never sent to an endpoint reports `no`.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a refused request was run by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Ran {
    /// The request was never sent to an endpoint.
    #[display("no")]
    No,
    /// The request may have run, in part or completely.
    #[display("unknown")]
    Unknown,
}

/// The kinds of refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    InvalidRequest,
    BodyTooLarge,
    RequestTimeout,
    UnknownPath,
    UnknownModel,
    UnknownClass,
    UnknownService,
    MissingKey,
    InvalidKey,
    KeyWithdrawn,
    KeyInRequest,
    AccountLimit,
    IdempotencyKeyRequired,
    IdempotencyMismatch,
    ClaimRunning,
    ClaimUnresolved,
    StoreUnavailable,
    NotReady,
    DependencyDown,
    NoEndpoint,
    StreamUnknown,
    PromptQuarantined,
    QueueFull,
    TooLate,
    Draining,
    DeadlineExceeded,
    EndpointFailed,
    LinkLost,
    Superseded,
    Internal,
    RequestQuarantined,
    Interrupted,
    MemoryFull,
}

/// The response that a caller gets for a kind of refusal.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The `code` of the error body, in OpenAI's format.
    pub code: &'static str,
    /// The `type` of the error body.
    pub category: &'static str,
    /// Human-readable description, one sentence.
    pub message: &'static str,
    /// Whether the request may be retried at another endpoint if it did not run.
    pub other_endpoint: bool,
}

const fn answer(
    status: u16,
    code: &'static str,
    category: &'static str,
    message: &'static str,
    other_endpoint: bool,
) -> Answer {
    Answer { status, code, category, message, other_endpoint }
}

const INVALID: &str = "invalid_request_error";
const AUTH: &str = "authentication_error";
const LIMIT: &str = "rate_limit_error";
const SERVER: &str = "server_error";

impl Kind {
    /// Maps the kind to the response for the caller.
    #[must_use]
    pub const fn answer(self) -> Answer {
        match self {
            Self::InvalidRequest => {
                answer(400, "invalid_request", INVALID, "The request is malformed.", false)
            }
            Self::BodyTooLarge => {
                answer(413, "body_too_large", INVALID, "The request body is too large.", false)
            }
            Self::RequestTimeout => answer(
                408,
                "request_timeout",
                INVALID,
                "The request did not arrive in time.",
                false,
            ),
            Self::UnknownPath => answer(404, "unknown_path", INVALID, "No such path.", false),
            Self::UnknownModel => answer(404, "unknown_model", INVALID, "No such model.", false),
            Self::UnknownClass => answer(400, "unknown_class", INVALID, "No such class.", false),
            Self::UnknownService => {
                answer(404, "unknown_service", INVALID, "No such service.", false)
            }
            Self::MissingKey => {
                answer(401, "missing_key", AUTH, "A bearer key is required.", false)
            }
            Self::InvalidKey => answer(401, "invalid_key", AUTH, "The key is not valid.", false),
            Self::KeyWithdrawn => {
                answer(401, "key_withdrawn", AUTH, "The key has been withdrawn.", false)
            }
            Self::KeyInRequest => answer(
                400,
                "key_in_request",
                INVALID,
                "The key may stand in the Authorization header only.",
                false,
            ),
            Self::AccountLimit => {
                answer(429, "account_limit", LIMIT, "The client account is over its limit.", false)
            }
            Self::IdempotencyKeyRequired => answer(
                400,
                "idempotency_key_required",
                INVALID,
                "This service needs an Idempotency-Key header.",
                false,
            ),
            Self::IdempotencyMismatch => answer(
                422,
                "idempotency_mismatch",
                INVALID,
                "The idempotency key was used with another request.",
                false,
            ),
            Self::ClaimRunning => {
                answer(409, "claim_running", INVALID, "The same request is running.", false)
            }
            Self::ClaimUnresolved => answer(
                409,
                "claim_unresolved",
                SERVER,
                "The outcome of an earlier run is unknown; an operator resolves it.",
                false,
            ),
            Self::StoreUnavailable => {
                answer(503, "store_unavailable", SERVER, "The platform's store is down.", false)
            }
            Self::NotReady => answer(503, "not_ready", SERVER, "The router is starting.", true),
            Self::DependencyDown => {
                answer(503, "dependency_down", SERVER, "A service this one needs is down.", false)
            }
            Self::NoEndpoint => answer(503, "no_endpoint", SERVER, "No endpoint answers.", true),
            Self::StreamUnknown => answer(
                503,
                "stream_unknown",
                SERVER,
                "It is not known which software version began the stream.",
                false,
            ),
            Self::PromptQuarantined => answer(
                503,
                "prompt_quarantined",
                SERVER,
                "Engines have ended on prompts with a part of this one.",
                false,
            ),
            Self::RequestQuarantined => answer(
                503,
                "request_quarantined",
                SERVER,
                "Endpoints have ended on this request.",
                false,
            ),
            Self::QueueFull => answer(429, "queue_full", LIMIT, "The queue is full.", true),
            Self::TooLate => {
                answer(429, "too_late", LIMIT, "The request can no longer be in time.", false)
            }
            Self::Draining => answer(503, "draining", SERVER, "The endpoint is leaving.", true),
            Self::DeadlineExceeded => answer(
                504,
                "deadline_exceeded",
                SERVER,
                "The request's deadline has passed.",
                false,
            ),
            Self::EndpointFailed => {
                answer(502, "endpoint_failed", SERVER, "The endpoint failed.", true)
            }
            Self::LinkLost => {
                answer(502, "link_lost", SERVER, "The connection to the endpoint was lost.", true)
            }
            Self::Superseded => answer(
                409,
                "superseded",
                INVALID,
                "The same request was taken up on another connection.",
                false,
            ),
            Self::Interrupted => answer(
                502,
                "interrupted",
                SERVER,
                "The router stopped before the endpoint had answered.",
                true,
            ),
            Self::MemoryFull => answer(
                503,
                "memory_full",
                SERVER,
                "The router has no memory left for the body.",
                true,
            ),
            Self::Internal => answer(500, "internal", SERVER, "The router failed.", false),
        }
    }
}

/// Whether callers take this HTTP status for a statement that their request did not run and will not.
#[must_use]
pub fn states_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The final outcome of a request that gets no answer from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{} (ran: {ran}) {detail}", kind.answer().code)]
pub struct Refusal {
    pub kind: Kind,
    pub ran: Ran,
    /// Delay after which the caller may retry.
    pub retry_after_ms: Option<u32>,
    /// Details appended to the kind's message; may be empty.
    pub detail: CompactString,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Creates the refusal of a request that was never sent to an endpoint.
    #[must_use]
    pub fn not_run(kind: Kind) -> Self {
        Self { kind, ran: Ran::No, retry_after_ms: None, detail: CompactString::default() }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn unknown(kind: Kind) -> Self {
        Self { ran: Ran::Unknown, ..Self::not_run(kind) }
    }

    #[must_use]
    pub fn detail(mut self, detail: impl Into<CompactString>) -> Self {
        self.detail = detail.into();
        self
    }

    #[must_use]
    pub fn retry_after_ms(mut self, wait_ms: u32) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }

    /// Whether the router may retry the request at another endpoint.
    #[must_use]
    pub fn may_try_other(&self, repeatable: bool) -> bool {
        self.kind.answer().other_endpoint && (self.ran == Ran::No || repeatable)
    }

    /// Builds the error body in OpenAI's format.
    #[must_use]
    pub fn body(&self) -> serde_json::Value {
        let answer = self.kind.answer();
        let message = if self.detail.is_empty() {
            answer.message.to_owned()
        } else {
            format!("{} {}", answer.message, self.detail)
        };
        serde_json::json!({"error": {
            "message": message,
            "type": answer.category,
            "code": answer.code,
            "ran": self.ran.to_string(),
            "retry_after_ms": self.retry_after_ms,
        }})
    }
}
