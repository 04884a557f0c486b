//! Splits a stream of server-sent events into complete events.
//!
//! An endpoint may fail in the middle of an event. Only complete events are forwarded to the caller, so
//! that another endpoint can continue the stream without gaps or duplicated data.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of the comments and other lines without data between two events in bytes.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// A run of complete events with the ids of the first and the last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    pub bytes: Bytes,
    pub first_id: Option<u64>,
    pub last_id: Option<u64>,
}

/// Buffers pieces of a stream until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// How far `pending` has been searched for the ends of events.
    scanned_bytes: usize,
    /// Start of the line in `pending` in which the search has stopped.
    line_start: usize,
    /// Size of the complete lines since the last one with an event's id or data.
    empty_bytes: usize,
}

impl EventSplitter {
    /// Adds a piece and returns the events that are now complete. `None` means that an event is too long, or
    /// that too many bytes without one have arrived.
    pub fn push(&mut self, piece: &[u8]) -> Option<Events> {
        self.pending.extend_from_slice(piece);
        let end = self.end_of_events();
        if end == 0 && self.pending.len() > MAX_EVENT_BYTES {
            return None;
        }
        let bytes = self.pending.split_to(end).freeze();
        self.empty_bytes =
            bytes_after_event(&bytes).unwrap_or_else(|| self.empty_bytes + bytes.len());
        if self.empty_bytes > MAX_EMPTY_BYTES {
            return None;
        }
        let mut ids = ids(&bytes);
        let first_id = ids.next();
        let last_id = ids.last().or(first_id);
        Some(Events { bytes, first_id, last_id })
    }

    /// End of the last complete event, after its empty line. Expects that the bytes up to it are taken.
    fn end_of_events(&mut self) -> usize {
        let mut end = 0;
        for at in self.scanned_bytes..self.pending.len() {
            if self.pending[at] != b'\n' {
                continue;
            }
            let line = &self.pending[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                end = at + 1;
            }
            self.line_start = at + 1;
        }
        self.scanned_bytes = self.pending.len() - end;
        self.line_start -= end;
        end
    }

    /// Size of the incomplete event that is buffered.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Takes the bytes of the incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned_bytes = 0;
        self.line_start = 0;
        self.pending.split().freeze()
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Size of what follows the last line with an event's id or data; `None` if there is no such line.
fn bytes_after_event(bytes: &[u8]) -> Option<usize> {
    let mut after_bytes = 0;
    for line in bytes.rsplit(|byte| *byte == b'\n') {
        if line.starts_with(b"id:") || line.starts_with(b"data:") {
            return Some(after_bytes);
        }
        after_bytes += line.len() + 1;
    }
    None
}

fn ids(bytes: &[u8]) -> impl Iterator<Item = u64> + '_ {
    bytes.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
