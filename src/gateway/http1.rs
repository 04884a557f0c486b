//! One HTTP/1.1 connection to an endpoint or to the platform.
//!
//! A pooled client hides what matters here: whether a request has left, whether bytes that nobody
//! asked for stand in the connection, whether an answer without a length was ended or reset. So the
//! connection is held openly; the heads are parsed by `httparse`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// Longest head of an answer, in bytes; twice what servers commonly send at most.
const MAX_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADERS: usize = 64;
/// Longest line with the size of a chunk.
const MAX_SIZE_LINE_BYTES: usize = 64;
const READ_BYTES: usize = 4 << 10;

/// What went wrong on a connection.
#[derive(Debug, derive_more::Display)]
pub enum Error {
    /// No connection was made: nothing can have been sent.
    #[display("no connection ({_0})")]
    Connect(io::Error),
    /// The connection broke, or ended in the middle of an answer.
    #[display("the connection broke ({_0})")]
    Broken(io::Error),
    /// It was closed before the first byte of an answer.
    #[display("closed without an answer")]
    Closed,
    /// What came is no HTTP.
    #[display("no valid HTTP")]
    Malformed,
    #[display("no answer in time")]
    TimedOut,
}

impl std::error::Error for Error {}

/// A header as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    pub name: CompactString,
    pub value: Bytes,
}

impl Header {
    /// The value as text, empty when it is none.
    #[must_use]
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.value).unwrap_or_default()
    }
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<Header>,
}

impl Head {
    /// The first header of this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|one| one.name.eq_ignore_ascii_case(name)).map(Header::text)
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    framing: Framing,
    /// The peer, or the framing, ends the connection with this answer.
    closes: bool,
    /// Seconds for which the peer says it keeps an idle connection.
    keep_alive_s: Option<u64>,
    sent_whole: bool,
}

impl Connection {
    /// Connects, within a limit.
    ///
    /// # Errors
    /// [`Error::Connect`], always: nothing has been sent.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let connected = time::timeout(limit, TcpStream::connect(addr)).await;
        let stream = connected
            .map_err(|_| Error::Connect(io::ErrorKind::TimedOut.into()))?
            .map_err(Error::Connect)?;
        // Events are small and each has to leave at once.
        stream.set_nodelay(true).map_err(Error::Connect)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            framing: Framing::Done,
            closes: false,
            keep_alive_s: None,
            sent_whole: true,
        })
    }

    /// Whether the connection can carry one more request: nothing stands in it and it is open.
    ///
    /// A peer that sends a second answer after the first, or has closed an idle connection, is
    /// found here, before a request that may run only once goes out on it.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        if self.closes
            || !self.sent_whole
            || self.framing != Framing::Done
            || !self.buffer.is_empty()
        {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Seconds for which the peer keeps the connection idle, if it said so.
    #[must_use]
    pub fn keep_alive_s(&self) -> Option<u64> {
        self.keep_alive_s
    }

    /// Sends a request and reads the head of its answer. The peer may answer before it has read
    /// all; what is left is then not sent, and the connection carries no other request.
    ///
    /// # Errors
    /// Any kind but [`Error::Connect`]; the request may have been taken.
    pub async fn exchange(&mut self, request: &[u8]) -> Result<Head, Error> {
        self.send(request).await?;
        self.next_head().await
    }

    async fn send(&mut self, request: &[u8]) -> Result<(), Error> {
        self.sent_whole = false;
        let (read, mut write) = self.stream.split();
        tokio::select! {
            biased;
            written = write.write_all(request) => {
                self.sent_whole = written.is_ok();
                // A peer that closes after an early answer fails the write; the answer counts.
            }
            _ = read.readable() => {}
        }
        Ok(())
    }

    /// Reads the head of the next answer on this connection.
    ///
    /// # Errors
    /// As [`Connection::exchange`].
    pub async fn next_head(&mut self) -> Result<Head, Error> {
        loop {
            if let Some(head) = self.parse_head()? {
                if (100..200).contains(&head.status) {
                    continue;
                }
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(Error::Malformed);
            }
            let empty = self.buffer.is_empty();
            if self.fill().await? == 0 {
                return Err(if empty { Error::Closed } else { Error::Malformed });
            }
        }
    }

    fn parse_head(&mut self) -> Result<Option<Head>, Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(&self.buffer).map_err(|_| Error::Malformed)?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let keeps = parsed.version == Some(1);
        let status = parsed.code.ok_or(Error::Malformed)?;
        let headers: Vec<Header> = parsed
            .headers
            .iter()
            .map(|one| Header { name: one.name.into(), value: Bytes::copy_from_slice(one.value) })
            .collect();
        self.buffer.advance(length);
        let head = Head { status, headers };
        self.begin_body(&head, keeps)?;
        Ok(Some(head))
    }

    fn begin_body(&mut self, head: &Head, keeps: bool) -> Result<(), Error> {
        let connection = head.header("connection").unwrap_or_default().to_ascii_lowercase();
        self.closes = connection.contains("close") || !keeps;
        self.keep_alive_s = head.header("keep-alive").and_then(keep_alive_s);
        let is_chunked = head
            .header("transfer-encoding")
            .is_some_and(|coding| coding.to_ascii_lowercase().contains("chunked"));
        self.framing = if (100..200).contains(&head.status) || matches!(head.status, 204 | 304) {
            Framing::Done
        } else if is_chunked {
            Framing::ChunkSize
        } else if let Some(length) = head.header("content-length") {
            match length.trim().parse().map_err(|_| Error::Malformed)? {
                0 => Framing::Done,
                length => Framing::Length(length),
            }
        } else {
            self.closes = true;
            Framing::UntilClose
        };
        Ok(())
    }

    async fn fill(&mut self) -> Result<usize, Error> {
        self.buffer.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await.map_err(Error::Broken)
    }

    /// Whether the body of the answer is read whole.
    #[must_use]
    pub fn is_body_complete(&self) -> bool {
        self.framing == Framing::Done
    }

    /// The next piece of the body; `None` at its end. Dropping the call loses nothing.
    ///
    /// # Errors
    /// When the body breaks off or is no HTTP.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(piece) = self.step()? {
                return Ok(Some(piece));
            }
            if self.is_body_complete() {
                return Ok(None);
            }
            if self.fill().await? == 0 {
                if self.framing != Framing::UntilClose {
                    return Err(Error::Broken(io::ErrorKind::UnexpectedEof.into()));
                }
                self.framing = Framing::Done;
            }
        }
    }

    /// Goes on with what is in the buffer.
    fn step(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.framing {
                Framing::Done => return Ok(None),
                Framing::UntilClose => {
                    let piece = self.buffer.split().freeze();
                    return Ok((!piece.is_empty()).then_some(piece));
                }
                Framing::Length(left) => {
                    let piece = self.take(left);
                    let left = left - piece.len() as u64;
                    self.framing = if left == 0 { Framing::Done } else { Framing::Length(left) };
                    return Ok((!piece.is_empty()).then_some(piece));
                }
                Framing::ChunkData(left) => {
                    let piece = self.take(left);
                    let left = left - piece.len() as u64;
                    self.framing =
                        if left == 0 { Framing::ChunkEnd } else { Framing::ChunkData(left) };
                    return Ok((!piece.is_empty()).then_some(piece));
                }
                Framing::ChunkSize => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
                    let digits = std::str::from_utf8(digits).map_err(|_| Error::Malformed)?;
                    let size =
                        u64::from_str_radix(digits.trim(), 16).map_err(|_| Error::Malformed)?;
                    self.framing =
                        if size == 0 { Framing::Trailer } else { Framing::ChunkData(size) };
                }
                Framing::ChunkEnd => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Error::Malformed);
                    }
                    self.framing = Framing::ChunkSize;
                }
                Framing::Trailer => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    if line.is_empty() {
                        self.framing = Framing::Done;
                    }
                }
            }
        }
    }

    fn take(&mut self, most: u64) -> Bytes {
        let count = self.buffer.len().min(usize::try_from(most).unwrap_or(usize::MAX));
        self.buffer.split_to(count).freeze()
    }

    /// One line without its end.
    fn line(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() > MAX_SIZE_LINE_BYTES {
                return Err(Error::Malformed);
            }
            return Ok(None);
        };
        let mut line = self.buffer.split_to(end + 1);
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Ok(Some(line.freeze()))
    }

    /// Reads the rest of the body, up to a limit in bytes.
    ///
    /// # Errors
    /// As [`Connection::next_piece`]; [`Error::Malformed`] when the body is longer.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.next_piece().await? {
            if body.len() + piece.len() > max_bytes {
                return Err(Error::Malformed);
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }
}

/// The `timeout` of a `Keep-Alive` header.
fn keep_alive_s(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
}
