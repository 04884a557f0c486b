//! Messages between the daemons: plain data, encoded as `postcard` by `seal`.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{error, keys, lease, membership, platform, trace};

/// Identifies one request's stream on a link. A slot is reused with a higher generation, so that a
/// late frame of an earlier request is recognized and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId {
    pub slot: u32,
    pub generation: u32,
}

/// Index of an endpoint in its side's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointIndex(pub u16);

/// Digest of an account's idempotency key, specific to one service.
pub type IdempotencyDigest = [u8; 16];

/// Message in one UDP datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    Ask(Ask),
    LoadAsk(LoadAsk),
    Offer(Offer),
    Digest(membership::Digest),
}

/// Asks a side for the expected time to the first token of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub nonce: u64,
    pub endpoint: EndpointIndex,
    pub service: CompactString,
    pub class: CompactString,
    pub account: CompactString,
    pub prompt_tokens: u32,
    /// Digest of the prompt's prefix.
    pub prefix: u64,
    pub idempotency: Option<IdempotencyDigest>,
}

/// Asks a side for an endpoint's load and, if the endpoint is to be stopped, orders it to drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadAsk {
    pub nonce: u64,
    pub endpoint: EndpointIndex,
    pub service: CompactString,
    /// Orders the endpoint to accept no new work. The order comes from the lease holder of this epoch,
    /// which serves as fencing token.
    pub drain: Option<lease::Epoch>,
}

/// A side's answer to an ask, computed from its own queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    pub nonce: u64,
    pub endpoint: EndpointIndex,
    /// Expected time to the first token.
    pub first_token_ms: u32,
    /// The endpoint accepts no new work.
    pub leaving: bool,
    /// A prompt with the same prefix was served here recently, so the prefix cache may hold it.
    pub knows_prefix: bool,
    /// This side holds the answer for the idempotency key.
    pub holds_answer: bool,
    pub running: u32,
    pub waiting: u32,
}

/// First frame in each direction of a link, sealed with the fleet's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    pub daemon: CompactString,
    pub nonce: u64,
    pub version: u16,
}

/// Protocol version of the messages in this module.
pub const VERSION: u16 = 2;

/// The HTTP request for the endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    pub method: CompactString,
    /// Path and query.
    pub path: String,
    pub headers: Vec<Header>,
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    pub name: CompactString,
    pub value: String,
}

/// A request submitted to a side for one of its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submit {
    pub stream: StreamId,
    pub endpoint: EndpointIndex,
    pub request: CompactString,
    pub service: CompactString,
    pub class: CompactString,
    pub account: CompactString,
    pub key: CompactString,
    pub key_revision: u64,
    /// Remaining time until the caller's deadline.
    pub deadline_ms: u32,
    /// Remaining time until the latency target is missed.
    pub target_ms: u32,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub prefix: u64,
    pub idempotency: Option<IdempotencyDigest>,
    /// Digest of method, path and body; detects a different request under the same idempotency key.
    pub request_digest: [u8; 16],
    pub repeatable: bool,
    /// The stream of an existing run is to be resumed after its link was lost; no run may be started.
    pub resume: bool,
    /// Offset in the body at which to resume.
    pub from_offset: u64,
    pub trace: trace::Context,
    /// Bytes the side may send before it gets more credit (flow control).
    pub credit_bytes: u32,
    pub call: Call,
}

/// Frames from an entry to a side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSide {
    Submit(Box<Submit>),
    Cancel(StreamId),
    /// The stream's key has been withdrawn: the side ends the stream and reports whether it ran.
    Revoke(StreamId),
    Credit(Credit),
}

/// Grants the side more bytes to send on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    pub stream: StreamId,
    pub bytes: u32,
}

/// Frames from a side to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    Head(Head),
    Data(Data),
    End(End),
    Refused(Refused),
}

/// The answer's status and headers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub stream: StreamId,
    pub status: u16,
    pub headers: Vec<Header>,
    /// The answer was stored by an earlier run of the same request.
    pub replayed: bool,
}

/// A chunk of the answer's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Data {
    pub stream: StreamId,
    /// Offset of the chunk in the body.
    pub offset: u64,
    #[serde(with = "serde_bytes_vec")]
    pub bytes: Vec<u8>,
}

/// The answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    pub stream: StreamId,
    /// Length of the body.
    pub length: u64,
    pub tokens: u32,
    pub queue_ms: u32,
}

/// The request gets no complete answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    pub stream: StreamId,
    pub refusal: error::Refusal,
}

/// Request to a peer for everything newer than the given versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    pub fleet_id: Option<u64>,
    pub config_version: u64,
    pub keys_revision: u64,
    pub roster_revision: u64,
    pub members: Vec<membership::Summary>,
}

/// Answer to a pull: the state that is newer than the puller's versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    pub fleet_id: Option<u64>,
    pub config: Option<ConfigText>,
    pub keys: Vec<keys::Versioned>,
    /// More keys are available with another pull.
    pub more_keys: bool,
    pub roster: Option<platform::Roster>,
    pub members: Vec<membership::Member>,
}

/// The operators' configuration text with its version in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigText {
    pub version: u64,
    pub text: String,
}

/// Encodes byte strings as a whole; the derived form of `Vec<u8>` handles each byte separately.
mod serde_bytes_vec {
    use serde::{Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        struct Bytes;
        impl de::Visitor<'_> for Bytes {
            type Value = Vec<u8>;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
                Ok(bytes.to_vec())
            }
        }
        from.deserialize_bytes(Bytes)
    }
}
