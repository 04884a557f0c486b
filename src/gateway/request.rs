//! A request on its way, and what becomes of it. Intake fills it in, the relay carries it, the edge
//! writes the answer; none of them owns it.

use bytes::Bytes;
use compact_str::CompactString;

use super::policy::limits;
use super::{event_stream, http1};
use crate::error;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Digest of the part's name.
    pub id: u64,
    pub tokens: u32,
}

/// What an engine has to read and write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub tokens: u32,
    pub max_output_tokens: u32,
    /// In order; the last belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The parts that other requests have too.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A request as a caller sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's id of this attempt.
    pub id: CompactString,
    pub method: CompactString,
    pub host: CompactString,
    /// Path and query, byte for byte.
    pub target: CompactString,
    /// Headers that go on to the endpoint.
    pub headers: Vec<http1::Header>,
    pub body: Bytes,
    /// How long the caller waits.
    pub deadline_ms: Option<u32>,
    pub api_key: Option<CompactString>,
    pub prompt: Option<Prompt>,
    /// The caller has the stream up to this event.
    pub last_event_id: Option<u64>,
}

impl Request {
    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}

/// A place in the order in which requests of a configuration go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Zero goes first.
    pub position: usize,
    /// Places that are told apart.
    pub levels: usize,
}

impl Rank {
    /// The place on a scale from zero to `last`; places share a step only where there are too many.
    #[must_use]
    pub fn scaled(self, last: usize) -> usize {
        if self.levels <= last + 1 {
            self.position
        } else {
            self.position * last / (self.levels - 1)
        }
    }
}

/// A request as one endpoint gets it.
#[derive(Debug)]
pub struct EndpointRequest<'a> {
    pub request: &'a Request,
    /// Time left for the endpoint's work.
    pub left_ms: u32,
    /// The only endpoint that may run it.
    pub endpoint_id: &'a str,
    pub account: Option<&'a str>,
    /// Where the endpoint queues prompts by rank.
    pub rank: Option<Rank>,
    /// Events that the caller has already.
    pub last_event_id: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The request that it answers.
    pub request_id: Option<CompactString>,
    /// The endpoint states that the request did not run.
    pub not_run: bool,
    /// It comes from another endpoint than the one called.
    pub is_other_endpoint: bool,
    /// It bears the endpoint's signature.
    pub is_signed: bool,
    pub load: Option<ReportedLoad>,
    /// For how long the endpoint, which has turned the request away, wants no other one from this entry.
    pub retry_after_ms: Option<u32>,
    /// The endpoint leaves: it wants no further request.
    pub is_leaving: bool,
    /// What the endpoint takes from all entries together, while it is limited.
    pub limit: Option<limits::Rate>,
}

/// What an endpoint says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
}

/// How endpoints are spoken to: the port that an adapter fills.
pub trait EndpointProtocol: std::fmt::Debug {
    /// The request as bytes on an HTTP/1.1 connection.
    fn encode(&self, call: &EndpointRequest<'_>) -> Vec<u8>;
    /// Reads the head of an answer.
    fn parse_head(&self, head: &http1::Head) -> ResponseInfo;
}

/// What a caller gets.
#[derive(Debug)]
pub enum Response {
    /// An endpoint's whole answer.
    Complete { head: http1::Head, body: Bytes },
    /// An endpoint's stream.
    Stream { head: http1::Head, body: event_stream::EventStream },
    /// The router's own answer.
    Refused(error::Refusal),
}

impl Response {
    /// What came of the request, in one word.
    #[must_use]
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Complete { head, .. } if head.status >= 500 => "endpoint_failed",
            Self::Complete { .. } => "whole",
            Self::Stream { .. } => "stream",
            Self::Refused(refusal) => refusal.kind.answer().code,
        }
    }
}
