//! API keys of client accounts: generation, storage and verification.
//!
//! The secret itself is never stored. The store holds one object per key with the digest of the key;
//! every daemon holds the whole table, complete up to a revision. A withdrawn key stays in the table as
//! a tombstone, so that a delayed grant of an older revision cannot restore it.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::error;

/// Prefix of every key, so that leaked keys can be found by a text search.
const PREFIX: &str = "bw_";
const SECRET_BYTES: usize = 24;
/// Longest key text that is parsed.
const MAX_KEY_BYTES: usize = 256;

/// Digest of a key's text.
pub type Digest = [u8; 32];

/// The stored record of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub id: CompactString,
    pub account: CompactString,
    pub digest: Digest,
    pub withdrawn: bool,
}

/// A record with the revision under which the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    pub revision: u64,
    pub record: Record,
}

/// A generated key: the text for the caller and the record for the store.
#[derive(Debug)]
pub struct NewKey {
    pub text: String,
    pub record: Record,
}

/// Generates a key for an account.
///
/// # Errors
/// When the system's random number generator fails.
pub fn generate(account: &str) -> Result<NewKey, getrandom::Error> {
    let mut id = [0_u8; 6];
    let mut secret = [0_u8; SECRET_BYTES];
    getrandom::fill(&mut id)?;
    getrandom::fill(&mut secret)?;
    let id = hex(&id);
    let text = format!("{PREFIX}{id}_{}", hex(&secret));
    let record = Record {
        id: CompactString::from(id),
        account: CompactString::from(account),
        digest: digest(&text),
        withdrawn: false,
    };
    Ok(NewKey { text, record })
}

/// Computes the digest of a key's text.
#[must_use]
pub fn digest(text: &str) -> Digest {
    *blake3::hash(text.as_bytes()).as_bytes()
}

/// Encodes bytes as lower-case hexadecimal.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Extracts the id from a key's text.
#[must_use]
pub fn parse_id(text: &str) -> Option<&str> {
    if text.len() > MAX_KEY_BYTES {
        return None;
    }
    let (id, secret) = text.strip_prefix(PREFIX)?.split_once('_')?;
    (!id.is_empty() && !secret.is_empty()).then_some(id)
}

/// The known keys, complete up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Table {
    revision: u64,
    records: HashMap<CompactString, Versioned>,
}

impl Table {
    /// Returns the greatest revision merged; the table holds all keys up to it.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Merges a record unless the same or a newer revision is known; returns whether it was merged.
    pub fn merge(&mut self, new: Versioned) -> bool {
        // A slow peer or a stale read can deliver a grant after its withdrawal. Only a greater revision
        // replaces a record, so the latest state in the store wins.
        let known = self.records.get(&new.record.id).map_or(0, |known| known.revision);
        if new.revision <= known {
            return false;
        }
        self.revision = self.revision.max(new.revision);
        self.records.insert(new.record.id.clone(), new);
        true
    }

    /// Returns the records newer than a revision, oldest first.
    #[must_use]
    pub fn after(&self, revision: u64) -> Vec<Versioned> {
        let mut newer: Vec<_> =
            self.records.values().filter(|known| known.revision > revision).cloned().collect();
        newer.sort_by_key(|known| known.revision);
        newer
    }

    #[must_use]
    pub fn find(&self, id: &str) -> Option<&Versioned> {
        self.records.get(id)
    }

    /// Whether a key is known to be withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|known| known.record.withdrawn)
    }

    /// Verifies a key's text and returns its record.
    ///
    /// # Errors
    /// `InvalidKey` or `KeyWithdrawn`; in both cases the request did not run.
    pub fn check(&self, text: &str) -> Result<&Versioned, error::Refusal> {
        let invalid = || error::Refusal::not_run(error::Kind::InvalidKey);
        let known = parse_id(text).and_then(|id| self.records.get(id)).ok_or_else(invalid)?;
        let equal: bool = known.record.digest.ct_eq(&digest(text)).into();
        if !equal {
            return Err(invalid());
        }
        if known.record.withdrawn {
            return Err(error::Refusal::not_run(error::Kind::KeyWithdrawn));
        }
        Ok(known)
    }
}
