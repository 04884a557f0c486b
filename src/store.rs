//! The port to the platform's object API: versioned objects, conditional writes, watches.
//!
//! What every caller has to handle: a write whose answer was lost may have taken effect. It is
//! settled by reading, so each value written conditionally carries a nonce of its writer.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Prefix of what all daemons share, watched by the readers.
pub const SHARED_PREFIX: &str = "shared/";
/// The operators' text.
pub const CONFIG_KEY: &str = "shared/config";
/// A number that tells the fleet of this store from others, written once by whoever reads it first.
pub const FLEET_KEY: &str = "shared/fleet";
/// Records of keys, one object each.
pub const KEYS_PREFIX: &str = "shared/keys/";

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// The condition did not hold; nothing was written.
    #[display("another write came first")]
    Conflict,
    /// No answer came; a write may have taken effect.
    #[display("the store gave no answer")]
    NoAnswer,
    /// The store said that it cannot; nothing was written.
    #[display("the store is down")]
    Down,
}

impl std::error::Error for Failure {}

/// On what a write depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No such object yet.
    Absent,
    /// The object stands at this version.
    Version(u64),
}

impl Condition {
    /// That the object stands at this version; zero: that there is none yet.
    #[must_use]
    pub fn at(version: u64) -> Self {
        if version == 0 { Self::Absent } else { Self::Version(version) }
    }
}

/// One object of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    pub key: CompactString,
    /// Grows over the whole store with each write.
    pub version: u64,
    pub value: String,
}

/// Objects under a prefix, as of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub revision: u64,
    pub objects: Vec<Object>,
}

/// The object API as the system uses it.
#[expect(async_fn_in_trait, reason = "all users run on one thread and need no Send")]
pub trait ObjectStore {
    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Object>, Failure>;
    /// Writes an object under a condition; gives its new version.
    async fn put(&self, key: &str, value: String, condition: Condition) -> Result<u64, Failure>;
    /// Removes an object that stands at a version.
    async fn delete(&self, key: &str, version: u64) -> Result<(), Failure>;
    /// Reads all objects under a prefix.
    async fn list(&self, prefix: &str) -> Result<Listing, Failure>;
}
