//! The closed list of error kinds, and the one table from a kind to the answer a caller gets.
//!
//! Whatever goes wrong on a request's path ends as a [`Refusal`]. A refusal states whether the
//! request ran: `no` is said only by a process that knows the request never left for an endpoint.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a refused request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Ran {
    /// It never left for an endpoint.
    #[display("no")]
    No,
    /// It may have run, in part or whole.
    #[display("unknown")]
    Unknown,
}

/// Every kind of refusal.
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
    QueueFull,
    TooLate,
    Draining,
    DeadlineExceeded,
    EndpointFailed,
    LinkLost,
    Superseded,
    Internal,
}

/// What a kind of refusal means to a caller.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The `code` of the error body, in OpenAI's form.
    pub code: &'static str,
    /// The `type` of the error body.
    pub category: &'static str,
    /// One sentence for a person.
    pub message: &'static str,
    /// Whether another endpoint may be tried when nothing ran.
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
    /// The table from kind to answer.
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
            Self::Internal => answer(500, "internal", SERVER, "The router failed.", false),
        }
    }
}

/// A request's final answer when it gets none from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{} (ran: {ran}) {detail}", kind.answer().code)]
pub struct Refusal {
    pub kind: Kind,
    pub ran: Ran,
    /// When to come back.
    pub retry_after_ms: Option<u32>,
    /// What a person needs beyond the kind's sentence; may be empty.
    pub detail: CompactString,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// A refusal of a request that never left for an endpoint.
    #[must_use]
    pub fn not_run(kind: Kind) -> Self {
        Self { kind, ran: Ran::No, retry_after_ms: None, detail: CompactString::default() }
    }

    /// A refusal of a request that may have run.
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

    /// Whether the router itself may send the request to another endpoint.
    #[must_use]
    pub fn may_try_other(&self, repeatable: bool) -> bool {
        self.kind.answer().other_endpoint && (self.ran == Ran::No || repeatable)
    }

    /// The error body in OpenAI's form.
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
