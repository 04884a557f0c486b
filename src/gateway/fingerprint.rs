//! Fingerprint of a request's content: equal for two attempts of a caller that carry the same request.
//!
//! A caller sends each attempt under an id of its own, with the time that it has left and the last event that it
//! has received. All else that an endpoint acts on is part of the fingerprint. The digest is cryptographic, so
//! that nobody can construct a request that is taken for another one.

use super::http1;
use super::request::Request;

/// Headers that tell an endpoint how to read the body or what to answer; they are those of HTTP.
const CONTENT_HEADERS: [&str; 4] = ["accept", "content-encoding", "content-type", "range"];

/// Digest of a request's content, the same at all entries.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[display("{_0:032x}")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request that a client account has sent.
    #[must_use]
    pub fn of(request: &Request, account: Option<&str>) -> Self {
        let mut digest = Digest(blake3::Hasher::new());
        digest.field(request.method.as_bytes());
        digest.field(request.host.as_bytes());
        digest.field(request.target.as_bytes());
        digest.field(account.unwrap_or_default().as_bytes());
        digest.field(request.model.as_deref().unwrap_or_default().as_bytes());
        for name in CONTENT_HEADERS {
            let is_named = |header: &&http1::Header| header.name.eq_ignore_ascii_case(name);
            let values: Vec<_> = request.headers.iter().filter(is_named).collect();
            digest.number(values.len() as u64);
            values.iter().for_each(|header| digest.field(&header.value));
        }
        digest.number(u64::from(request.prompt.is_some()));
        if let Some(prompt) = &request.prompt {
            digest.number(u64::from(prompt.tokens));
            digest.number(u64::from(prompt.max_output_tokens));
            digest.number(prompt.parts.len() as u64);
            for part in &prompt.parts {
                digest.number(part.id);
                digest.number(u64::from(part.tokens));
            }
        }
        digest.field(&request.body);
        digest.finish()
    }

    /// Returns the fingerprint as a seed for choosing an entry by rendezvous hashing.
    #[must_use]
    pub fn seed(self) -> u64 {
        self.0 as u64
    }
}

struct Digest(blake3::Hasher);

impl Digest {
    /// Adds a field with its length, so that no two lists of fields have the same bytes.
    fn field(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.update(bytes);
    }

    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    fn finish(&self) -> Fingerprint {
        let mut bytes = [0; 16];
        self.0.finalize_xof().fill(&mut bytes);
        Fingerprint(u128::from_le_bytes(bytes))
    }
}
