//! Splits JSON text into its parts without decoding them.
//!
//! An answer that holds objects of many writers is split first, and each object is decoded by itself. What a decoder
//! refuses in one of them (its depth, a number out of range, bytes that are not UTF-8) then does not affect the
//! others. Only the structure is examined, and without recursion.

/// Returns the text of a member of an object; `None` if the text is no object or has no such member.
#[must_use]
pub fn member<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut text = Text { rest: object };
    text.expect(b'{')?;
    while text.peek()? != b'}' {
        let key = text.take_value()?;
        text.expect(b':')?;
        let value = text.take_value()?;
        if key.strip_prefix(b"\"")?.strip_suffix(b"\"")? == name.as_bytes() {
            return Some(value);
        }
        text.skip_separator(b'}')?;
    }
    None
}

/// Returns the texts of the elements of an array; `None` if the text is no array.
#[must_use]
pub fn elements(array: &[u8]) -> Option<Vec<&[u8]>> {
    let mut text = Text { rest: array };
    text.expect(b'[')?;
    let mut elements = Vec::new();
    while text.peek()? != b']' {
        elements.push(text.take_value()?);
        text.skip_separator(b']')?;
    }
    Some(elements)
}

/// JSON text that has not been split yet.
#[derive(Debug)]
struct Text<'a> {
    rest: &'a [u8],
}

impl<'a> Text<'a> {
    /// Returns the next byte that is not white space.
    fn peek(&mut self) -> Option<u8> {
        self.rest = self.rest.trim_ascii_start();
        self.rest.first().copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        if self.peek()? != byte {
            return None;
        }
        self.rest = &self.rest[1..];
        Some(())
    }

    /// Skips the comma before the next part, unless the end of the array or object follows.
    fn skip_separator(&mut self, end: u8) -> Option<()> {
        if self.peek()? == end { Some(()) } else { self.expect(b',') }
    }

    /// Takes the text of the next value.
    fn take_value(&mut self) -> Option<&'a [u8]> {
        let length = match self.peek()? {
            b'"' => string_length(self.rest)?,
            b'{' | b'[' => nested_length(self.rest)?,
            _ => self.rest.iter().position(|byte| b",:]} \t\r\n".contains(byte))?,
        };
        if length == 0 {
            return None;
        }
        let (value, rest) = self.rest.split_at(length);
        self.rest = rest;
        Some(value)
    }
}

/// Returns the length of a string with its quotes; it may contain any bytes.
fn string_length(text: &[u8]) -> Option<usize> {
    let mut at = 1;
    loop {
        match text.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

/// Returns the length of an array or object.
fn nested_length(text: &[u8]) -> Option<usize> {
    let mut depth = 0_usize;
    let mut at = 0;
    loop {
        match text.get(at)? {
            b'"' => {
                at += string_length(&text[at..])?;
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        at += 1;
        if depth == 0 {
            return Some(at);
        }
    }
}
