//! An answer as a side keeps it: head, body so far, and how it ended.
//!
//! It outlives the link that carries it, so that a caller who comes back gets the rest of the same
//! run. Pure: bytes go in, pieces by offset come out.

use crate::{error, wire};

/// Least that is let go of at once: each time moves all that is kept.
const MIN_DISCARD_BYTES: usize = 16 << 10;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All of it is here.
    Complete { tokens: u32, queue_ms: u32 },
    /// There is no more, for this reason.
    Refused(error::Refusal),
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: Vec<wire::Header>,
}

/// An answer so far.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Option<AnswerHead>,
    body: Vec<u8>,
    /// Where `body` begins in the whole body, after a head that was let go.
    begin: u64,
    pub ending: Option<Ending>,
    /// Kept from an earlier run.
    pub replayed: bool,
}

impl Answer {
    pub fn push(&mut self, bytes: &[u8]) {
        self.body.extend_from_slice(bytes);
    }

    /// Length of the body so far.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.begin + self.body.len() as u64
    }

    /// Bytes in memory.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Whether the body can be given from this offset on.
    #[must_use]
    pub fn is_available_from(&self, offset: u64) -> bool {
        offset >= self.begin && offset <= self.length()
    }

    /// The body from an offset, at most `most` bytes of it.
    #[must_use]
    pub fn piece(&self, offset: u64, most: usize) -> &[u8] {
        let Some(skip) = offset.checked_sub(self.begin) else {
            return &[];
        };
        let rest = self.body.get(skip as usize..).unwrap_or(&[]);
        &rest[..rest.len().min(most)]
    }

    /// Lets go of the body before an offset, once that is worth moving the rest.
    pub fn discard_before(&mut self, offset: u64) {
        let count = offset.saturating_sub(self.begin).min(self.body.len() as u64) as usize;
        if count < MIN_DISCARD_BYTES {
            return;
        }
        self.body.drain(..count);
        self.begin += count as u64;
    }
}

/// Where one reader of an answer is.
#[derive(Clone, Debug)]
pub struct Reader {
    pub stream: wire::StreamId,
    pub offset: u64,
    pub credit_bytes: u64,
    has_head: bool,
    has_ending: bool,
}

/// Largest piece in one frame, so that one long answer does not hold up the others on its link.
const PIECE_BYTES: usize = 16 << 10;

impl Reader {
    #[must_use]
    pub fn new(stream: wire::StreamId, offset: u64, credit_bytes: u64) -> Self {
        Self { stream, offset, credit_bytes, has_head: offset > 0, has_ending: false }
    }

    /// The reader has all there will ever be.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.has_ending
    }

    /// The next frame for this reader, if there is one and its credit allows.
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
        let most = PIECE_BYTES.min(usize::try_from(self.credit_bytes).unwrap_or(PIECE_BYTES));
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
