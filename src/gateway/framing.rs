//! Framing of responses as of RFC 9112: where a body ends, and the lines around its chunks.
//!
//! What is not exactly in the form of the protocol makes the response malformed. A reader that uses the part that it
//! understands would deliver a body that is not the endpoint's.

use super::http1::{Error, Head};

/// How the end of the body is determined, and how far it has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// The head of the response is due.
    Head,
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Trailer lines, with the number of bytes read of them.
    Trailer(usize),
    UntilClose,
    Done,
}

impl Framing {
    /// Returns the framing of the body after this head. `is_http_1_0` says that the head is of HTTP/1.0, which has no
    /// transfer codings.
    pub(super) fn of(head: &Head, is_http_1_0: bool) -> Result<Self, Error> {
        let length = content_length(head.all("content-length"))?;
        let is_chunked = is_chunked(head.all("transfer-encoding"))?;
        if is_chunked && (length.is_some() || is_http_1_0) {
            return Err(Error::Malformed);
        }
        Ok(match (head.status, length) {
            (100..200, _) => Self::Head,
            (204 | 304, _) => Self::Done,
            _ if is_chunked => Self::ChunkSize,
            (_, Some(0)) => Self::Done,
            (_, Some(length)) => Self::Length(length),
            (_, None) => Self::UntilClose,
        })
    }
}

/// Returns the stated length of the body. A length may be stated more than once if it is always the same.
fn content_length<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<u64>, Error> {
    let mut length = None;
    for value in values {
        let value = number(value, 10).ok_or(Error::Malformed)?;
        if length.is_some_and(|length| length != value) {
            return Err(Error::Malformed);
        }
        length = Some(value);
    }
    Ok(length)
}

/// Whether the body comes in chunks. No other coding is asked for, so a body with one is not the endpoint's.
fn is_chunked<'a>(mut codings: impl Iterator<Item = &'a [u8]>) -> Result<bool, Error> {
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
        return Err(Error::Malformed);
    }
    Ok(true)
}

/// Whether the status and the framing headers of a final response are those of the protocol. For heads that another
/// client has parsed.
#[must_use]
pub fn is_valid_response<'a>(
    status: u16,
    lengths: impl Iterator<Item = &'a [u8]>,
    codings: impl Iterator<Item = &'a [u8]>,
) -> bool {
    let (length, is_chunked) = (content_length(lengths), is_chunked(codings));
    (200..600).contains(&status)
        && matches!((length, is_chunked), (Ok(None), Ok(true)) | (Ok(_), Ok(false)))
}

/// Returns the size of a chunk from the line before it.
pub(super) fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let end = line.iter().position(|byte| *byte == b';').unwrap_or(line.len());
    let (size, extensions) = line.split_at(end);
    let size = if extensions.is_empty() { size } else { size.trim_ascii_end() };
    if !is_text(extensions) {
        return Err(Error::Malformed);
    }
    number(size, 16).ok_or(Error::Malformed)
}

/// Whether a line is a header field.
pub(super) fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = line.split_at(colon);
    !name.is_empty() && name.iter().all(|byte| is_token_byte(*byte)) && is_text(value)
}

/// Whether all lines of a head end with a carriage return and a line feed. A line feed alone would let a damaged
/// value go on as another field.
pub(super) fn has_only_whole_line_ends(head: &[u8]) -> bool {
    let mut before = 0;
    head.iter().all(|byte| {
        let is_whole = *byte != b'\n' || before == b'\r';
        before = *byte;
        is_whole
    })
}

/// Parses a number that consists of digits only.
fn number(digits: &[u8], radix: u32) -> Option<u64> {
    let is_digit = |byte: &u8| char::from(*byte).is_digit(radix);
    let digits = std::str::from_utf8(digits).ok().filter(|_| digits.iter().all(is_digit))?;
    u64::from_str_radix(digits, radix).ok()
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether bytes have no control characters but the tab.
fn is_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}
