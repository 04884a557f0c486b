//! Framing and authentication of messages.
//!
//! Datagrams and frames are encoded with `postcard` and carry a digest keyed with the fleet's secret. On
//! a TCP link the key is derived from the greetings of both ends and the digest covers a frame number, so
//! that frames of other links and replayed frames are rejected.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use subtle::ConstantTimeEq;

/// Maximum size of a datagram, sent or received.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum size of a frame, sent or received; fits a body of one megabyte and its metadata.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
const TAG_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;

/// Reason for rejecting bytes as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Reject {
    #[display("message too short or too long")]
    Size,
    #[display("not sealed by this fleet")]
    Seal,
    #[display("invalid message")]
    Message,
    /// Fleets that share a secret are distinguished by their stores.
    #[display("from another fleet")]
    Fleet,
}

impl std::error::Error for Reject {}

/// Key that authenticates messages.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Derives the fleet's key from the secret in the settings.
    #[must_use]
    pub fn fleet(text: &str) -> Self {
        Self(blake3::derive_key("briarwinch fleet 1", text.as_bytes()))
    }

    /// Derives the key of one direction of a link from the nonces of both ends.
    #[must_use]
    pub fn link_key(&self, client: u64, server: u64) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&client.to_le_bytes());
        hasher.update(&server.to_le_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns a keyed digest of `parts`, for identifiers that must not reveal the original value.
    #[must_use]
    pub fn pseudonym(&self, parts: &[&[u8]]) -> [u8; 16] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        first_16(hasher.finalize())
    }

    fn tag(&self, frame_number: u64, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&frame_number.to_le_bytes());
        hasher.update(bytes);
        first_16(hasher.finalize())
    }
}

fn first_16(hash: blake3::Hash) -> [u8; 16] {
    let mut tag = [0; 16];
    tag.copy_from_slice(&hash.as_bytes()[..16]);
    tag
}

/// Encodes and seals a datagram.
///
/// # Errors
/// Fails if the message does not fit into a datagram.
pub fn seal_datagram<T: Serialize>(secret: &Secret, message: &T) -> Result<Vec<u8>, Reject> {
    let bytes = seal_bytes(secret, message)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Reject::Size);
    }
    Ok(bytes)
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// Fails if the bytes are not a sealed message of this fleet.
pub fn open_datagram<T: DeserializeOwned>(secret: &Secret, bytes: &[u8]) -> Result<T, Reject> {
    if bytes.len() < TAG_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Reject::Size);
    }
    open(secret, 0, bytes)
}

/// Encodes and seals a message of any length that is sent alone on its connection.
///
/// # Errors
/// Fails if the message cannot be encoded.
pub fn seal_bytes<T: Serialize>(secret: &Secret, message: &T) -> Result<Vec<u8>, Reject> {
    let mut bytes = postcard::to_stdvec(message).map_err(|_| Reject::Message)?;
    let tag = secret.tag(0, &bytes);
    bytes.extend_from_slice(&tag);
    Ok(bytes)
}

/// Verifies and decodes a message of any length.
///
/// # Errors
/// Fails if the bytes are not a sealed message of this fleet.
pub fn open_bytes<T: DeserializeOwned>(secret: &Secret, bytes: &[u8]) -> Result<T, Reject> {
    if bytes.len() < TAG_BYTES {
        return Err(Reject::Size);
    }
    open(secret, 0, bytes)
}

/// Decodes a value at the end of a message that earlier builds do not send: its default if it is missing.
///
/// # Errors
/// Never.
pub fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

fn open<T: DeserializeOwned>(
    secret: &Secret,
    frame_number: u64,
    sealed: &[u8],
) -> Result<T, Reject> {
    let (bytes, tag) = sealed.split_at(sealed.len() - TAG_BYTES);
    let is_authentic: bool = secret.tag(frame_number, bytes).ct_eq(tag).into();
    if !is_authentic {
        return Err(Reject::Seal);
    }
    postcard::from_bytes(bytes).map_err(|_| Reject::Message)
}

/// Encodes and seals the frames of one direction of a link.
#[derive(Debug)]
pub struct Sealer {
    secret: Secret,
    frame_number: u64,
}

impl Sealer {
    #[must_use]
    pub fn new(secret: Secret) -> Self {
        Self { secret, frame_number: 0 }
    }

    /// Appends one frame to `out`.
    ///
    /// # Errors
    /// Fails if the message cannot be encoded or is too long; in the latter case `out` is unchanged.
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
        let tag = self.secret.tag(self.frame_number, &out[body..]);
        self.frame_number += 1;
        out.extend_from_slice(&tag);
        let length = (out.len() - body) as u32;
        out[start..body].copy_from_slice(&length.to_le_bytes());
        Ok(())
    }
}

/// Extracts, verifies and decodes the frames of one direction of a link from a byte stream.
#[derive(Debug)]
pub struct Opener {
    secret: Secret,
    frame_number: u64,
    pending: Vec<u8>,
    consumed: usize,
}

impl Opener {
    #[must_use]
    pub fn new(secret: Secret) -> Self {
        Self { secret, frame_number: 0, pending: Vec::new(), consumed: 0 }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.pending.drain(..self.consumed);
            self.consumed = 0;
        }
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, if there is one.
    ///
    /// # Errors
    /// Fails if the bytes are not a frame of this link; the link must then be closed.
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
        let message = open(&self.secret, self.frame_number, sealed)?;
        self.frame_number += 1;
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(message))
    }

    /// Continues with another key and the bytes not read yet.
    #[must_use]
    pub fn rekey(self, secret: Secret) -> Self {
        Self { secret, frame_number: 0, ..self }
    }
}
