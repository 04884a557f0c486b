//! Cuts a stream of server-sent events into whole events.
//!
//! An endpoint may break off in the middle of an event. Only whole events go to the caller, so what
//! another endpoint goes on with joins on without a gap or a piece twice.

use bytes::{Bytes, BytesMut};

/// Longest event that is gathered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events in a row, with the id of the last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    pub bytes: Bytes,
    pub first_id: Option<u64>,
    pub last_id: Option<u64>,
}

/// Gathers pieces of a stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes a piece; gives the events that are now whole. `None`: an event is too long.
    pub fn push(&mut self, piece: &[u8]) -> Option<Events> {
        self.pending.extend_from_slice(piece);
        let end = end_of_events(&self.pending);
        if end == 0 && self.pending.len() > MAX_EVENT_BYTES {
            return None;
        }
        let bytes = self.pending.split_to(end).freeze();
        let mut ids = ids(&bytes);
        let first_id = ids.next();
        let last_id = ids.last().or(first_id);
        Some(Events { bytes, first_id, last_id })
    }

    /// Whether the last event has not come whole.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Where the last whole event ends: behind its empty line.
fn end_of_events(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            end = at + 1;
        }
        line_start = at + 1;
    }
    end
}

fn ids(bytes: &[u8]) -> impl Iterator<Item = u64> + '_ {
    bytes.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
