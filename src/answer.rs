//! An answer as buffered by a side: head, body received so far, and ending.
//!
//! The answer outlives the link that carries it, so that a caller that reconnects gets the rest of the
//! same run. This module does no I/O: it takes bytes and returns pieces by offset.

use crate::{error, wire};

/// Minimum number of bytes discarded at once, since each discard moves all bytes that are kept.
const MIN_DISCARD_BYTES: usize = 16 << 10;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is complete.
    Complete { tokens: u32, queue_ms: u32 },
    /// The answer was cut short or never started, for this reason.
    Refused(error::Refusal),
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: Vec<wire::Header>,
}

/// An answer as received so far.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Option<AnswerHead>,
    body: Vec<u8>,
    /// Offset of `body` in the whole body; the bytes before it were discarded.
    start: u64,
    pub ending: Option<Ending>,
    /// Whether the answer was stored by an earlier run.
    pub replayed: bool,
}

impl Answer {
    pub fn push(&mut self, bytes: &[u8]) {
        self.body.extend_from_slice(bytes);
    }

    /// Returns the length of the body received so far.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.start + self.body.len() as u64
    }

    /// Returns the number of body bytes held in memory.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns whether the body can be read from this offset on.
    #[must_use]
    pub fn is_available_from(&self, offset: u64) -> bool {
        offset >= self.start && offset <= self.length()
    }

    /// Returns at most `most` bytes of the body from an offset.
    #[must_use]
    pub fn piece(&self, offset: u64, most: usize) -> &[u8] {
        let Some(skip) = offset.checked_sub(self.start) else {
            return &[];
        };
        let rest = self.body.get(skip as usize..).unwrap_or(&[]);
        &rest[..rest.len().min(most)]
    }

    /// Discards the body before an offset if at least [`MIN_DISCARD_BYTES`] can be discarded.
    pub fn discard_before(&mut self, offset: u64) {
        let count = offset.saturating_sub(self.start).min(self.body.len() as u64) as usize;
        if count < MIN_DISCARD_BYTES {
            return;
        }
        self.body.drain(..count);
        self.start += count as u64;
    }
}

/// The position of one reader in an answer.
#[derive(Clone, Debug)]
pub struct Reader {
    pub stream: wire::StreamId,
    pub offset: u64,
    pub credit_bytes: u64,
    has_head: bool,
    has_ending: bool,
}

/// Largest piece in one frame, so that a long answer does not delay the others on its link.
const MAX_PIECE_BYTES: usize = 16 << 10;

impl Reader {
    #[must_use]
    pub fn new(stream: wire::StreamId, offset: u64, credit_bytes: u64) -> Self {
        Self { stream, offset, credit_bytes, has_head: offset > 0, has_ending: false }
    }

    /// Returns whether the reader has received the whole answer including its ending.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.has_ending
    }

    /// Returns the next frame for this reader, if there is one and the credit allows it.
    pub fn next(&mut self, answer: &Answer) -> Option<wire::ToEntry> {
        if self.has_ending {
            return None;
        }
        let stream = self.stream;
        if let (false, Some(head)) = (self.has_head, &answer.head) {
            self.has_head = true;
            return Some(wire::ToEntry::Head(wire::Head {
                stream,
                status: head.status,
                headers: head.headers.clone(),
                replayed: answer.replayed,
            }));
        }
        let most =
            MAX_PIECE_BYTES.min(usize::try_from(self.credit_bytes).unwrap_or(MAX_PIECE_BYTES));
        let piece = answer.piece(self.offset, most);
        if !piece.is_empty() {
            let offset = self.offset;
            self.offset += piece.len() as u64;
            self.credit_bytes -= piece.len() as u64;
            return Some(wire::ToEntry::Data(wire::Data { stream, offset, bytes: piece.to_vec() }));
        }
        if self.offset < answer.length() {
            return None;
        }
        let ending = answer.ending.as_ref()?;
        self.has_ending = true;
        Some(match ending {
            Ending::Complete { tokens, queue_ms } => wire::ToEntry::End(wire::End {
                stream,
                length: answer.length(),
                tokens: *tokens,
                queue_ms: *queue_ms,
            }),
            Ending::Refused(refusal) => {
                wire::ToEntry::Refused(wire::Refused { stream, refusal: refusal.clone() })
            }
        })
    }
}
