//! Counts the tokens in a stream of server-sent events that arrives in arbitrary pieces.

const DATA: &[u8] = b"data:";
const DONE: &[u8] = b" [DONE]";

/// Counts events with content; the supported engines send one event per token.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counter {
    /// Number of bytes of `data:` matched in this line; `None` if the line does not start with it.
    matched: Option<usize>,
    started: bool,
    done_matched: usize,
    in_data: bool,
    tokens: u32,
    /// Whether the closing event of the stream was received.
    done: bool,
}

impl Counter {
    /// Processes a piece of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.started {
            self.started = true;
            self.matched = Some(0);
        }
        for byte in bytes {
            self.step(*byte);
        }
    }

    fn step(&mut self, byte: u8) {
        if byte == b'\n' {
            if self.in_data && self.done_matched == DONE.len() {
                self.done = true;
            } else if self.in_data {
                self.tokens += 1;
            }
            *self = Self { matched: Some(0), in_data: false, done_matched: 0, ..*self };
            return;
        }
        if self.in_data {
            let expected = DONE.get(self.done_matched).copied();
            self.done_matched =
                if expected == Some(byte) { self.done_matched + 1 } else { DONE.len() + 1 };
            return;
        }
        let Some(matched) = self.matched else { return };
        if DATA[matched] != byte {
            self.matched = None;
        } else if matched + 1 == DATA.len() {
            self.in_data = true;
            self.matched = None;
        } else {
            self.matched = Some(matched + 1);
        }
    }

    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Sets the count directly, for an answer that is not a stream.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }

    /// Returns whether the closing event was received.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }
}
