//! Interface to the platform's object API: versioned objects, conditional writes, watches.
//!
//! Every caller must handle that a write whose answer was lost may have taken effect. The caller reads
//! the object to find out, so each conditionally written value carries a nonce of its writer.

use compact_str::CompactString;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode};
use serde::{Deserialize, Serialize};

/// Prefix of the objects that all daemons share; the readers watch it.
pub const SHARED_PREFIX: &str = "shared/";
/// Key of the operators' configuration text.
pub const CONFIG_KEY: &str = "shared/config";
/// Key of the fleet id: a random number that distinguishes this store's fleet from others. The first
/// daemon that finds none writes it, once.
pub const FLEET_KEY: &str = "shared/fleet";
/// Prefix of the API key records, one object each.
pub const KEYS_PREFIX: &str = "shared/keys/";

/// Bytes that are encoded in a name: all but the unreserved characters of RFC 3986.
const ENCODED: AsciiSet = NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes an object's name for a segment of a path or a value in a query.
#[must_use]
pub fn encode_name(name: &str) -> PercentEncode<'_> {
    percent_encoding::utf8_percent_encode(name, &ENCODED)
}

/// Number of low bits of a version that hold the store's revision; its era is in the bits above.
const REVISION_BITS: u32 = 40;

/// Era of the store: rises by one each time that the store comes back from an older copy, after which it gives
/// out revisions again. Zero where the store names none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
pub struct Era(pub u64);

impl Era {
    /// Returns the era of a version or of a number derived from one.
    #[must_use]
    pub fn of(version: u64) -> Self {
        Self(version >> REVISION_BITS)
    }

    /// Returns the version of a revision in this era. Versions are ordered by era first; in era zero they are
    /// the revisions.
    #[must_use]
    pub fn version(self, revision: u64) -> u64 {
        (self.0 << REVISION_BITS) | revision
    }
}

/// Returns the store's revision in a version.
#[must_use]
pub fn revision(version: u64) -> u64 {
    version & ((1 << REVISION_BITS) - 1)
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// The condition did not hold; nothing was written.
    #[display("another write came first")]
    Conflict,
    /// No usable answer arrived; a write may have taken effect.
    #[display("the store gave no answer")]
    NoAnswer,
    /// The store is unreachable or reported that it is unavailable; nothing was written.
    #[display("the store is down")]
    Down,
    /// The store refused the call because of the rate of calls, and serves others; nothing was written.
    #[display("the store refuses calls for their rate")]
    Throttled,
}

impl std::error::Error for Failure {}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version, and the store is in the version's era.
    Version(u64),
}

impl Condition {
    /// The condition that the object has this version; revision zero means that it does not exist.
    #[must_use]
    pub fn at(version: u64) -> Self {
        if revision(version) == 0 { Self::Absent } else { Self::Version(version) }
    }
}

/// One object of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    pub key: CompactString,
    /// Era and revision of the whole store at which the object was written; each write increases it, see
    /// [`Era::version`].
    pub version: u64,
    pub value: String,
}

/// Objects under a prefix at a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub revision: u64,
    pub objects: Vec<Object>,
}

/// The part of the object API that the daemons use.
#[expect(async_fn_in_trait, reason = "all users run on one thread and need no Send")]
pub trait ObjectStore {
    /// Returns the newest era that an answer has named. Right after a call it is the era of the call's answer.
    fn era(&self) -> Era {
        Era::default()
    }

    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Object>, Failure>;
    /// Writes an object if the condition holds; returns its new version.
    async fn put(&self, key: &str, value: String, condition: Condition) -> Result<u64, Failure>;
    /// Removes an object if it has the given version.
    async fn delete(&self, key: &str, version: u64) -> Result<(), Failure>;
    /// Reads all objects under a prefix.
    async fn list(&self, prefix: &str) -> Result<Listing, Failure>;
}
