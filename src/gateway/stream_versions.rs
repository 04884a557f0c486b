//! Which software version of a service began each stream.
//!
//! Software versions produce outputs that do not fit together, so a stream may only go on at the version that
//! sent its first event. A caller goes on with a stream at any entry, also after the first one has ended, and
//! the endpoint may have left the directory by then. So the entry that forwards a first event tells a few
//! others, chosen by the stream's key, and an entry that does not know a stream asks the same ones. While several
//! versions serve, each entry also saves the versions of its streams in the store.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::directory::VersionKey;

/// How long the version of a stream is kept after its last first event: longer than callers wait for the end
/// of a stream.
pub const RETENTION_MS: u64 = 60_000;
/// Maximum number of streams whose version is kept; about 50 bytes each. The oldest are dropped first.
const MAX_STREAMS: usize = 30_000;
/// Maximum number of streams that are looked up at a time.
const MAX_LOOKUPS: usize = 1_000;

/// Identifies a stream across all entries: a digest of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    #[must_use]
    pub fn of(request_id: &str) -> Self {
        Self(xxh3::xxh3_64(request_id.as_bytes()))
    }

    /// Returns the key as a seed for choosing the entries that keep the stream's version.
    #[must_use]
    pub fn seed(self) -> u64 {
        self.0
    }
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub stream: StreamKey,
    pub version: VersionKey,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    version: VersionKey,
    at_ms: u64,
}

/// The versions of streams as an entry stores them, for the time after all entries have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedStreams {
    saved_unix_ms: u64,
    /// Keys of streams in hexadecimal, concatenated, by version.
    streams: Vec<(VersionKey, String)>,
}

/// Number of hexadecimal digits of a key.
const KEY_DIGITS: usize = 16;

impl SavedStreams {
    fn records(&self) -> impl Iterator<Item = Record> {
        self.streams.iter().flat_map(|(version, keys)| {
            let keys = keys.as_bytes().chunks_exact(KEY_DIGITS);
            keys.filter_map(|key| {
                let key = u64::from_str_radix(std::str::from_utf8(key).ok()?, 16).ok()?;
                Some(Record { stream: StreamKey(key), version: *version })
            })
        })
    }
}

/// Versions of the streams that this entry began, was told of or has looked up.
#[derive(Debug, Default)]
pub struct StreamVersions {
    known: HashMap<StreamKey, Known>,
    /// Streams in the order in which they were recorded, with the time.
    order: VecDeque<(u64, StreamKey)>,
    /// Streams that began here and that other entries have not been told of.
    unsent: Vec<Record>,
    /// Streams that are looked up at other entries, and whether one has answered that it does not know it.
    lookups: HashMap<StreamKey, bool>,
    /// Streams that other entries have not been asked about yet.
    unasked: Vec<StreamKey>,
    /// Streams that began here and that their callers may still go on with, with the time until when.
    own: VecDeque<(u64, Record)>,
    /// Whether streams have begun here since the last save.
    has_unsaved: bool,
    /// Whether the streams that all entries have saved are to be loaded.
    is_load_due: bool,
    /// Number of times that they were loaded.
    loads: u64,
}

impl StreamVersions {
    /// Records the version of a stream whose events this entry forwards, to be sent to other entries.
    pub fn record(&mut self, record: Record, now_ms: u64) {
        self.learn(record, now_ms);
        self.unsent.push(record);
    }

    /// Saves the version of a stream of this entry from now until its caller has given it up.
    pub fn save_until(&mut self, record: Record, until_ms: u64) {
        self.own.push_back((until_ms, record));
        self.has_unsaved = true;
        while self.own.len() > MAX_STREAMS {
            self.own.pop_front();
        }
    }

    /// Returns whether streams have begun here since the last save.
    #[must_use]
    pub fn has_unsaved(&self) -> bool {
        self.has_unsaved
    }

    /// Returns the streams that began here and may still be continued, to be stored.
    pub fn save(&mut self, now_ms: u64, now_unix_ms: u64) -> SavedStreams {
        self.has_unsaved = false;
        self.own.retain(|(until_ms, _)| now_ms < *until_ms);
        let mut streams: BTreeMap<VersionKey, String> = BTreeMap::new();
        for (_, record) in &self.own {
            let keys = streams.entry(record.version).or_default();
            keys.push_str(&format!("{:0KEY_DIGITS$x}", record.stream.0));
        }
        SavedStreams { saved_unix_ms: now_unix_ms, streams: streams.into_iter().collect() }
    }

    /// Notes that a save has failed.
    pub fn set_unsaved(&mut self) {
        self.has_unsaved = true;
    }

    /// Learns streams that an entry has saved, unless it was too long ago. `is_own` if it was an earlier process
    /// of this entry, whose streams are saved again.
    pub fn learn_saved(
        &mut self,
        saved: &SavedStreams,
        is_own: bool,
        now_ms: u64,
        now_unix_ms: u64,
    ) {
        if saved.saved_unix_ms + RETENTION_MS <= now_unix_ms {
            return;
        }
        for record in saved.records() {
            if self.find(record.stream).is_none() {
                self.learn(record, now_ms);
            }
            if is_own {
                self.save_until(record, now_ms + RETENTION_MS);
            }
        }
    }

    /// Asks for the streams that all entries have saved to be loaded. Returns the number of loads so far.
    pub fn request_load(&mut self) -> u64 {
        self.is_load_due = true;
        self.loads
    }

    /// Returns whether the saved streams are to be loaded.
    #[must_use]
    pub fn is_load_due(&self) -> bool {
        self.is_load_due
    }

    /// Notes that the saved streams have been loaded, or could not be.
    pub fn end_load(&mut self) {
        self.is_load_due = false;
        self.loads += 1;
    }

    /// Notes that another entry loads the saved streams for this one.
    pub fn leave_load_to_reader(&mut self) {
        self.is_load_due = false;
    }

    /// Returns how often the saved streams have been loaded.
    #[must_use]
    pub fn loads(&self) -> u64 {
        self.loads
    }

    /// Records the version of a stream as told by another entry.
    pub fn learn(&mut self, record: Record, now_ms: u64) {
        self.known.insert(record.stream, Known { version: record.version, at_ms: now_ms });
        self.order.push_back((now_ms, record.stream));
        while self.order.len() > MAX_STREAMS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at_ms, stream)) = self.order.pop_front() else {
            return;
        };
        // A stream that was recorded again is kept from then on.
        if self.known.get(&stream).is_some_and(|known| known.at_ms == at_ms) {
            self.known.remove(&stream);
        }
    }

    /// Returns the version that began a stream, if this entry knows it.
    #[must_use]
    pub fn find(&self, stream: StreamKey) -> Option<VersionKey> {
        self.known.get(&stream).map(|known| known.version)
    }

    /// Begins to ask other entries about a stream, or asks again. Returns whether there is room for it.
    pub fn look_up(&mut self, stream: StreamKey) -> bool {
        if self.lookups.len() >= MAX_LOOKUPS && !self.lookups.contains_key(&stream) {
            return false;
        }
        self.lookups.insert(stream, false);
        if !self.unasked.contains(&stream) {
            self.unasked.push(stream);
        }
        true
    }

    /// Records that another entry does not know a stream.
    pub fn set_unknown(&mut self, stream: StreamKey) {
        if let Some(is_unknown) = self.lookups.get_mut(&stream) {
            *is_unknown = true;
        }
    }

    /// Returns whether an entry has answered the lookup of a stream without knowing it.
    #[must_use]
    pub fn has_unknown_answer(&self, stream: StreamKey) -> bool {
        self.lookups.get(&stream).copied().unwrap_or_default()
    }

    /// Ends a lookup.
    pub fn end_lookup(&mut self, stream: StreamKey) {
        self.lookups.remove(&stream);
    }

    /// Returns the records to send to other entries, once.
    pub fn take_unsent(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the streams to ask other entries about, once.
    pub fn take_unasked(&mut self) -> Vec<StreamKey> {
        std::mem::take(&mut self.unasked)
    }

    /// Drops streams that are older than the retention time.
    pub fn sweep(&mut self, now_ms: u64) {
        while self.order.front().is_some_and(|(at_ms, _)| at_ms + RETENTION_MS <= now_ms) {
            self.drop_oldest();
        }
        self.own.retain(|(until_ms, _)| now_ms < *until_ms);
    }
}
