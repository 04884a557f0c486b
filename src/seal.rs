//! How messages are framed and sealed.
//!
//! Datagrams and frames are `postcard`. Each carries a keyed digest under the fleet's secret; on a
//! TCP link the key is derived from both ends' greetings and each frame is numbered, so that a
//! frame of another link, or one played again, does not open.

use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;

/// Longest datagram sent or taken.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Longest frame sent or taken; a body of a megabyte and what goes with it.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
const TAG_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;

/// Why bytes were not taken as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Reject {
    #[display("too short or too long")]
    Size,
    #[display("not sealed by this fleet")]
    Seal,
    #[display("not a message")]
    Message,
    /// Fleets with one secret are told apart by their stores.
    #[display("from another fleet")]
    Fleet,
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
    pub fn link_key(&self, client: u64, server: u64) -> Self {
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

/// Seals one datagram.
///
/// # Errors
/// When the message does not fit a datagram.
pub fn seal_datagram<T: Serialize>(secret: &Secret, message: &T) -> Result<Vec<u8>, Reject> {
    let bytes = seal_bytes(secret, message)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Reject::Size);
    }
    Ok(bytes)
}

/// Opens one datagram.
///
/// # Errors
/// When the bytes are not a sealed message of this fleet.
pub fn open_datagram<T: DeserializeOwned>(secret: &Secret, bytes: &[u8]) -> Result<T, Reject> {
    if bytes.len() < TAG_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Reject::Size);
    }
    open(secret, 0, bytes)
}

/// Seals a message of any length, sent alone on its connection.
///
/// # Errors
/// When the message cannot be encoded.
pub fn seal_bytes<T: Serialize>(secret: &Secret, message: &T) -> Result<Vec<u8>, Reject> {
    let mut bytes = postcard::to_stdvec(message).map_err(|_| Reject::Message)?;
    let tag = secret.tag(0, &bytes);
    bytes.extend_from_slice(&tag);
    Ok(bytes)
}

/// Opens a message of any length.
///
/// # Errors
/// When the bytes are not a sealed message of this fleet.
pub fn open_bytes<T: DeserializeOwned>(secret: &Secret, bytes: &[u8]) -> Result<T, Reject> {
    if bytes.len() < TAG_BYTES {
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
