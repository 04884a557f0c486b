//! Types of a request and its response, shared by the caller's HTTP adapter, the relay and the
//! endpoint adapter, and the [`EndpointProtocol`] port that an endpoint adapter implements.

use bytes::Bytes;
use compact_str::CompactString;

use super::policy::limits;
use super::{directory, event_stream, http1};
use crate::error;

/// A part of a prompt that several requests may share, as in a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Hash of the part's name.
    pub id: u64,
    pub tokens: u32,
}

/// Size and parts of the prompt that an engine processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub tokens: u32,
    pub max_output_tokens: u32,
    /// In prompt order. The last part belongs to this request or its session only.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The parts that other requests may contain as well: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the ids of the shared parts as text for the log.
    #[must_use]
    pub fn shared_part_ids(&self) -> String {
        let ids: Vec<String> =
            self.shared_parts().iter().map(|part| format!("{:016x}", part.id)).collect();
        ids.join(",")
    }
}

/// A request as the caller sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's identifier for this attempt.
    pub id: CompactString,
    pub method: CompactString,
    pub host: CompactString,
    /// Path and query, byte for byte.
    pub target: CompactString,
    /// Headers that are forwarded to the endpoint.
    pub headers: Vec<http1::Header>,
    pub body: Bytes,
    /// How long the caller waits for the response.
    pub deadline_ms: Option<u32>,
    pub api_key: Option<CompactString>,
    /// Name of the model that is to answer.
    pub model: Option<CompactString>,
    pub prompt: Option<Prompt>,
    /// Last event of the stream that the caller has received.
    pub last_event_id: Option<u64>,
    /// The caller's attempt that brought the first event of the stream that this request continues.
    pub resumes: Option<CompactString>,
}

impl Request {
    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// Output limit of the prompt, in tokens; `None` if the caller has not declared one.
    #[must_use]
    pub fn output_tokens(&self) -> Option<u32> {
        self.prompt.as_ref().map(|prompt| prompt.max_output_tokens).filter(|tokens| *tokens > 0)
    }
}

/// Position of a request in the priority order of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Zero is the most urgent.
    pub position: usize,
    /// Number of distinct positions.
    pub levels: usize,
}

impl Rank {
    /// Maps the position to the range from zero to `last`. Positions share a value only if there are more
    /// of them than values.
    #[must_use]
    pub fn scaled(self, last: usize) -> usize {
        if self.levels <= last + 1 {
            self.position
        } else {
            self.position * last / (self.levels - 1)
        }
    }
}

/// A request as it is sent to one endpoint.
#[derive(Debug)]
pub struct EndpointRequest<'a> {
    pub request: &'a Request,
    /// Time left for the endpoint to respond.
    pub left_ms: u32,
    /// The only endpoint that may run the request.
    pub endpoint_id: &'a str,
    pub account: Option<&'a str>,
    /// The request's rank, for endpoints that queue prompts by rank.
    pub rank: Option<Rank>,
    /// Last event that the caller has received; the endpoint continues after it.
    pub last_event_id: Option<u64>,
}

/// Information from the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<CompactString>,
    /// The endpoint states that the request was not run.
    pub not_run: bool,
    /// The response comes from an endpoint other than the one called.
    pub is_other_endpoint: bool,
    /// The response carries the endpoint's signature.
    pub is_signed: bool,
    pub load: Option<ReportedLoad>,
    /// The load that the endpoint reports, as sent, if part of it is malformed or implausible.
    pub malformed_load: Option<CompactString>,
    /// How long the endpoint, having rejected the request, asks this entry to send no further ones.
    pub retry_after_ms: Option<u32>,
    /// The endpoint is leaving and accepts no further requests.
    pub is_leaving: bool,
    /// Rate that the endpoint accepts from all entries together, while it is limited.
    pub limit: Option<limits::Rate>,
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    /// `None` if it was not sent or is malformed.
    pub slots: Option<u32>,
    /// How long work takes there now, in percent of the usual duration; `None` as above.
    pub duration_percent: Option<u32>,
}

/// Protocol between entry and endpoint, implemented by a platform adapter.
pub trait EndpointProtocol: std::fmt::Debug {
    /// Encodes a request for an HTTP/1.1 connection.
    fn encode(&self, request: &EndpointRequest<'_>) -> Vec<u8>;
    /// Encodes a health check of an endpoint, at the path that its service has for that.
    fn encode_health_check(&self, endpoint: &directory::Endpoint, path: &str) -> Vec<u8>;
    /// Extracts the protocol information from the head of a response.
    fn parse_head(&self, head: &http1::Head) -> ResponseInfo;
}

/// The response to a caller.
#[derive(Debug)]
pub enum Response {
    /// A complete response of an endpoint.
    Complete { head: http1::Head, body: Bytes },
    /// An event stream of an endpoint.
    Stream { head: http1::Head, body: event_stream::EventStream },
    /// A refusal by the router itself.
    Refused(error::Refusal),
}

impl Response {
    /// Outcome of the request, as a metric label value.
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
