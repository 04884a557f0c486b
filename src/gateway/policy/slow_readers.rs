//! Load pattern: callers that read slowly or stop reading, while their endpoints go on sending. Decides how much an entry
//! reads ahead for such a caller, and whose response is ended first when the allowance for buffered bytes is used up.

use std::collections::VecDeque;

/// Maximum number of unsent bytes of one stream.
pub const READ_AHEAD_BYTES: usize = 1 << 20;
/// Unsent bytes up to which a stream is read whatever the others hold; the HTTP server's own buffer has this size.
pub const ALWAYS_READ_BYTES: usize = 16 << 10;
/// What one read from an endpoint may add.
const READ_BYTES: usize = 4 << 10;
/// Age of the oldest unsent byte from which a caller is a slow reader. An entry may be without CPU for 1.2 s; its callers
/// are not slow for that.
pub const MIN_AGE_MS: u64 = 1_500;
/// Writes within this time share a mark.
const MARK_MS: u64 = 100;
const MAX_MARKS: usize = 32;

/// What a caller has not taken of its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    pub bytes: usize,
    /// Age of the oldest of these bytes.
    pub age_ms: u64,
}

impl Held {
    /// Whether its caller is a slow reader, so that the response may be ended.
    #[must_use]
    pub fn is_slow(self) -> bool {
        self.bytes > 0 && self.age_ms >= MIN_AGE_MS
    }

    fn product(self) -> u64 {
        (self.bytes as u64).saturating_mul(self.age_ms)
    }
}

/// Bytes up to `end`, counted from the start of the response, none of which was written before `at_ms`.
#[derive(Clone, Copy, Debug)]
struct Mark {
    end: u64,
    at_ms: u64,
}

/// When the unsent bytes of a response were written.
#[derive(Debug, Default)]
pub struct Unsent {
    marks: VecDeque<Mark>,
    written_bytes: u64,
}

impl Unsent {
    /// Records that bytes were written for the caller.
    pub fn write(&mut self, bytes: usize, now_ms: u64) {
        self.written_bytes += bytes as u64;
        let mark = Mark { end: self.written_bytes, at_ms: now_ms };
        let is_full = self.marks.len() >= MAX_MARKS;
        match self.marks.back_mut() {
            // The bytes count as older than they are, by a mark's time at most unless there are many marks.
            Some(last) if is_full || now_ms < last.at_ms + MARK_MS => last.end = mark.end,
            _ => self.marks.push_back(mark),
        }
    }

    /// Returns what is held while `unsent_bytes` of the connection have not been sent.
    pub fn held(&mut self, unsent_bytes: usize, now_ms: u64) -> Held {
        let sent = self.written_bytes.saturating_sub(unsent_bytes as u64);
        while self.marks.front().is_some_and(|mark| mark.end <= sent) {
            self.marks.pop_front();
        }
        let oldest_ms = self.marks.front().map_or(now_ms, |mark| mark.at_ms);
        let bytes = unsent_bytes.min(usize::try_from(self.written_bytes).unwrap_or(usize::MAX));
        Held { bytes, age_ms: now_ms.saturating_sub(oldest_ms) }
    }
}

/// Bytes of the allowance that reading ahead leaves for incomplete events and complete responses.
#[must_use]
pub fn kept_free_bytes(total_bytes: usize) -> isize {
    isize::try_from(total_bytes / 4).unwrap_or(isize::MAX)
}

/// Returns whether a stream may be read from its endpoint now, with `left_bytes` of the allowance.
#[must_use]
pub fn may_read(unsent_bytes: usize, left_bytes: isize, total_bytes: usize) -> bool {
    unsent_bytes <= ALWAYS_READ_BYTES
        || (unsent_bytes + READ_BYTES <= READ_AHEAD_BYTES
            && left_bytes >= kept_free_bytes(total_bytes))
}

/// Returns the response that is ended first: the largest product of bytes and age. `None` if no caller is a slow reader.
pub fn first_to_end<K>(held: impl IntoIterator<Item = (K, Held)>) -> Option<(K, Held)> {
    let slow = held.into_iter().filter(|(_, held)| held.is_slow());
    slow.max_by_key(|(_, held)| held.product())
}
