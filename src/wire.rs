//! Messages between the system's own processes: plain data, encoded as `postcard` by `seal`.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{error, keys, lease, membership, platform, trace};

/// Names one request's stream on a link. A slot is used again with a greater generation, so that a
/// late frame of an earlier request is known and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId {
    pub slot: u32,
    pub generation: u32,
}

/// Which endpoint of a side; its place in the side's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointIndex(pub u16);

/// Digest of an account's idempotency key for one service.
pub type IdempotencyDigest = [u8; 16];

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    Ask(Ask),
    LoadAsk(LoadAsk),
    Offer(Offer),
    Digest(membership::Digest),
}

/// When would the first token of such a request start?
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub nonce: u64,
    pub endpoint: EndpointIndex,
    pub service: CompactString,
    pub class: CompactString,
    pub account: CompactString,
    pub prompt_tokens: u32,
    /// Digest of the prompt's head.
    pub prefix: u64,
    pub idempotency: Option<IdempotencyDigest>,
}

/// How much is there to do? And, for an endpoint that is to be stopped: drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadAsk {
    pub nonce: u64,
    pub endpoint: EndpointIndex,
    pub service: CompactString,
    /// Take no new work, by order of the holder of this epoch.
    pub drain: Option<lease::Epoch>,
}

/// A side's answer to an ask, out of its own queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    pub nonce: u64,
    pub endpoint: EndpointIndex,
    /// Expected time to the first token.
    pub first_token_ms: u32,
    /// The endpoint takes no new work.
    pub leaving: bool,
    /// The prompt's head was served here lately.
    pub knows_prefix: bool,
    /// The answer to this idempotency key is held here.
    pub holds_answer: bool,
    pub running: u32,
    pub waiting: u32,
}

/// First frame each way on a link, sealed under the fleet's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    pub daemon: CompactString,
    pub nonce: u64,
    pub version: u16,
}

/// Version of the messages in this module.
pub const VERSION: u16 = 2;

/// What a request asks an endpoint to do.
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

/// A request on its way to an endpoint.
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
    /// Time left until the caller no longer waits.
    pub deadline_ms: u32,
    /// Time left until the latency target is missed.
    pub target_ms: u32,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub prefix: u64,
    pub idempotency: Option<IdempotencyDigest>,
    /// Digest of method, path and body, to tell another request under the same idempotency key.
    pub request_digest: [u8; 16],
    pub repeatable: bool,
    /// The run is to be taken up again after its link was lost; it must not be started.
    pub resume: bool,
    /// Where in the body to begin then.
    pub from_offset: u64,
    pub trace: trace::Context,
    /// Bytes the side may send before more credit comes.
    pub credit_bytes: u32,
    pub call: Call,
}

/// Frames from an entry to a side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSide {
    Submit(Box<Submit>),
    Cancel(StreamId),
    /// The stream's key has been withdrawn: end it, and say whether it ran.
    Revoke(StreamId),
    Credit(Credit),
}

/// More bytes may be sent on a stream.
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
    /// An answer kept from an earlier run of the same request.
    pub replayed: bool,
}

/// A piece of the answer's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Data {
    pub stream: StreamId,
    /// Where the piece begins in the body.
    pub offset: u64,
    #[serde(with = "serde_bytes_vec")]
    pub bytes: Vec<u8>,
}

/// The answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    pub stream: StreamId,
    /// Length of the body.
    pub length: u64,
    pub tokens: u32,
    pub queue_ms: u32,
}

/// The request gets no whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    pub stream: StreamId,
    pub refusal: error::Refusal,
}

/// What one peer asks another for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    pub fleet_id: Option<u64>,
    pub config_version: u64,
    pub keys_revision: u64,
    pub roster_revision: u64,
    pub members: Vec<membership::Summary>,
}

/// What the asked peer has beyond that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    pub fleet_id: Option<u64>,
    pub config: Option<ConfigText>,
    pub keys: Vec<keys::Versioned>,
    /// More keys follow; pull again.
    pub more_keys: bool,
    pub roster: Option<platform::Roster>,
    pub members: Vec<membership::Member>,
}

/// The operators' text with the store's version of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigText {
    pub version: u64,
    pub text: String,
}

/// Byte strings in `postcard` without a step a byte.
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
