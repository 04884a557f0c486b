//! Messages between the system's own processes, and how they are framed and sealed.
//!
//! Datagrams and frames are `postcard`. Each carries a keyed digest under the fleet's secret; on a
//! TCP link the key is derived from both ends' greetings and each frame is numbered, so that a
//! frame of another link, or one played again, does not open.

use compact_str::CompactString;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;

use crate::{error, keys, lease, membership, platform, trace};

/// Longest datagram sent or taken.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Longest frame sent or taken; a body of a megabyte and what goes with it.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
const TAG_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;
/// What a frame holds beside its message.
pub const FRAME_OVERHEAD_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// Why bytes were not taken as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Reject {
    #[display("too short or too long")]
    Size,
    #[display("not sealed by this fleet")]
    Seal,
    #[display("not a message")]
    Message,
}

impl std::error::Error for Reject {}

/// The key that seals messages.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Derives the fleet's key from the settings' secret.
    #[must_use]
    pub fn fleet(text: &str) -> Self {
        Self(blake3::derive_key("briarwinch fleet 1", text.as_bytes()))
    }

    /// Derives a link's key from both ends' nonces.
    #[must_use]
    pub fn link(&self, client: u64, server: u64) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&client.to_le_bytes());
        hasher.update(&server.to_le_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// A keyed digest of some text, for identifiers that must not show what they stand for.
    #[must_use]
    pub fn pseudonym(&self, parts: &[&[u8]]) -> [u8; 16] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        first_16(hasher.finalize())
    }

    fn tag(&self, number: u64, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&number.to_le_bytes());
        hasher.update(bytes);
        first_16(hasher.finalize())
    }
}

fn first_16(hash: blake3::Hash) -> [u8; 16] {
    let mut tag = [0; 16];
    tag.copy_from_slice(&hash.as_bytes()[..16]);
    tag
}

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
pub const VERSION: u16 = 1;

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
    pub take_up: bool,
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
    pub config_version: u64,
    pub keys_revision: u64,
    pub roster_revision: u64,
    pub members: Vec<membership::Summary>,
}

/// What the asked peer has beyond that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
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

/// Seals one datagram.
///
/// # Errors
/// When the message does not fit a datagram.
pub fn seal_datagram(secret: &Secret, message: &Datagram) -> Result<Vec<u8>, Reject> {
    let mut bytes = postcard::to_stdvec(message).map_err(|_| Reject::Message)?;
    if bytes.len() + TAG_BYTES > MAX_DATAGRAM_BYTES {
        return Err(Reject::Size);
    }
    let tag = secret.tag(0, &bytes);
    bytes.extend_from_slice(&tag);
    Ok(bytes)
}

/// Opens one datagram.
///
/// # Errors
/// When the bytes are not a sealed message of this fleet.
pub fn open_datagram(secret: &Secret, bytes: &[u8]) -> Result<Datagram, Reject> {
    if bytes.len() < TAG_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Reject::Size);
    }
    open(secret, 0, bytes)
}

fn open<T: DeserializeOwned>(secret: &Secret, number: u64, sealed: &[u8]) -> Result<T, Reject> {
    let (bytes, tag) = sealed.split_at(sealed.len() - TAG_BYTES);
    let same: bool = secret.tag(number, bytes).ct_eq(tag).into();
    if !same {
        return Err(Reject::Seal);
    }
    postcard::from_bytes(bytes).map_err(|_| Reject::Message)
}

/// Writes frames of one direction of a link.
#[derive(Debug)]
pub struct Sealer {
    secret: Secret,
    number: u64,
}

impl Sealer {
    #[must_use]
    pub fn new(secret: Secret) -> Self {
        Self { secret, number: 0 }
    }

    /// Appends one frame to `out`.
    ///
    /// # Errors
    /// When the message is too long; `out` is then as before.
    pub fn seal<T: Serialize>(&mut self, message: &T, out: &mut Vec<u8>) -> Result<(), Reject> {
        let start = out.len();
        out.extend_from_slice(&[0; LENGTH_BYTES]);
        let written = postcard::to_extend(message, std::mem::take(out));
        *out = written.map_err(|_| Reject::Message)?;
        let body = start + LENGTH_BYTES;
        if out.len() - body + TAG_BYTES > MAX_FRAME_BYTES {
            out.truncate(start);
            return Err(Reject::Size);
        }
        let tag = self.secret.tag(self.number, &out[body..]);
        self.number += 1;
        out.extend_from_slice(&tag);
        let length = (out.len() - body) as u32;
        out[start..body].copy_from_slice(&length.to_le_bytes());
        Ok(())
    }
}

/// Reads frames of one direction of a link out of a byte stream.
#[derive(Debug)]
pub struct Opener {
    secret: Secret,
    number: u64,
    pending: Vec<u8>,
    consumed: usize,
}

impl Opener {
    #[must_use]
    pub fn new(secret: Secret) -> Self {
        Self { secret, number: 0, pending: Vec::new(), consumed: 0 }
    }

    /// Takes in received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.pending.drain(..self.consumed);
            self.consumed = 0;
        }
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole frame, if there is one.
    ///
    /// # Errors
    /// When the bytes are no frame of this link; the link must then be closed.
    pub fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Reject> {
        let rest = &self.pending[self.consumed..];
        let Some(head) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if !(TAG_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(Reject::Size);
        }
        let Some(sealed) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let message = open(&self.secret, self.number, sealed)?;
        self.number += 1;
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(message))
    }

    /// Goes on under another key with the bytes not yet read.
    #[must_use]
    pub fn rekey(self, secret: Secret) -> Self {
        Self { secret, number: 0, ..self }
    }
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
