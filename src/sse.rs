//! Counts the tokens in a stream of server-sent events, in whatever pieces it arrives.

const DATA: &[u8] = b"data:";
const DONE: &[u8] = b" [DONE]";

/// Counts events with content; one event is one token for the engines of the brief.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counter {
    /// Bytes of `data:` matched in this line, or `None` once the line is something else.
    matched: Option<usize>,
    started: bool,
    done_matched: usize,
    in_data: bool,
    tokens: u32,
    /// The stream's closing event has come.
    done: bool,
}

impl Counter {
    /// Takes in a piece of the stream.
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

    /// Takes the count from elsewhere, for an answer that is no stream.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }

    /// Whether the closing event has come.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }
}
