//! One HTTP/1.1 connection to an endpoint or to the platform.
//!
//! A client library with a built-in pool does not expose what the gateway needs to know: whether a request
//! has been sent, whether unexpected bytes are left in the connection, and whether a response without a
//! length was ended or reset. This module therefore manages the connection itself; `httparse` parses the
//! heads.
//!
//! A connection that is closed before its response is complete is reset. After an orderly close the kernel
//! would go on transmitting what the peer has not acknowledged, so that a request could run long after it
//! was given up. This holds at the end of the process as well.

use std::ffi::c_int;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;
use rustix::ioctl;
use rustix::net::{self, sockopt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::time;

use super::framing::{self, Framing};

/// Maximum size of a response head in bytes, twice the usual limit of servers, and of all interim responses
/// before it.
const MAX_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADERS: usize = 64;
/// Maximum length of a chunk size line.
const MAX_SIZE_LINE_BYTES: usize = 64;
/// Maximum size of all trailer lines of a response.
const MAX_TRAILER_BYTES: usize = 8 << 10;
/// Statuses of the protocol, with those of interim responses.
const STATUSES: Range<u16> = 100..600;
const READ_BYTES: usize = 4 << 10;
/// Time between two keep-alive probes of an idle connection, the shortest that the system offers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is broken.
const KEEP_ALIVE_PROBES: u32 = 1;
/// `TIOCOUTQ` of Linux: the number of bytes that the peer has not acknowledged.
const UNACKED_BYTES: ioctl::Opcode = 0x5411;

/// Errors of a connection.
#[derive(Debug, derive_more::Display)]
pub enum Error {
    /// The connection was not established, so nothing can have been sent.
    #[display("no connection ({_0})")]
    Connect(io::Error),
    /// The connection was closed before a byte of the request was written, so nothing has been sent.
    #[display("connection closed before the request ({_0})")]
    Unsent(io::Error),
    /// The connection failed or ended in the middle of a response.
    #[display("the connection broke ({_0})")]
    Broken(io::Error),
    /// The connection was closed before the first byte of a response.
    #[display("connection closed before a response")]
    Closed,
    /// The received data is not valid HTTP.
    #[display("malformed HTTP response")]
    Malformed,
    /// The response did not arrive in time.
    #[display("no answer in time")]
    TimedOut,
}

impl std::error::Error for Error {}

/// A header as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    pub name: CompactString,
    pub value: Bytes,
}

impl Header {
    /// The value as text, empty if it is not valid UTF-8.
    #[must_use]
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.value).unwrap_or_default()
    }
}

/// Status and headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<Header>,
}

impl Head {
    /// The first header with this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(Header::text)
    }

    /// The values of all headers with this name.
    pub(super) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self.headers.iter().filter(move |one| one.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.as_ref())
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    framing: Framing,
    /// The connection closes after this response, by request of the peer or because of the framing.
    closes_after: bool,
    /// Seconds for which the peer keeps an idle connection open, from its `Keep-Alive` header.
    keep_alive_s: Option<u64>,
    request_fully_sent: bool,
    /// The connection was reset while the request was sent. The system reports that once, so reads after it end as if
    /// the peer had closed in order.
    was_reset: bool,
    /// Number of requests sent on this connection.
    requests: u32,
}

impl Connection {
    /// Connects to an address within a time limit.
    ///
    /// # Errors
    /// Always [`Error::Connect`], since nothing has been sent.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let connected = time::timeout(limit, TcpStream::connect(addr)).await;
        let stream = connected
            .map_err(|_| Error::Connect(io::ErrorKind::TimedOut.into()))?
            .map_err(Error::Connect)?;
        // Events are small and have to be sent without delay.
        stream.set_nodelay(true).map_err(Error::Connect)?;
        sockopt::set_socket_linger(&stream, Some(Duration::ZERO))
            .map_err(|errno| Error::Connect(errno.into()))?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            framing: Framing::Done,
            closes_after: false,
            keep_alive_s: None,
            request_fully_sent: true,
            was_reset: false,
            requests: 0,
        })
    }

    /// Breaks the connection when sent bytes stay unacknowledged for longer than `limit`. Otherwise the kernel
    /// transmits them for minutes.
    ///
    /// # Errors
    /// [`Error::Connect`] if the system refuses the option; nothing has been sent.
    pub fn limit_delivery(&self, limit: Duration) -> Result<(), Error> {
        let limit_ms = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(&self.stream, limit_ms)
            .map_err(|errno| Error::Connect(errno.into()))
    }

    /// Breaks the connection when the peer's machine does not confirm for two seconds that the connection
    /// exists, also while nothing is sent. Without this, a path that has gone silent looks like a peer
    /// that has nothing to say.
    ///
    /// # Errors
    /// [`Error::Connect`] if the system refuses an option; nothing has been sent.
    pub fn detect_silence(&self) -> Result<(), Error> {
        let set = || {
            sockopt::set_socket_keepalive(&self.stream, true)?;
            sockopt::set_tcp_keepidle(&self.stream, KEEP_ALIVE_INTERVAL)?;
            sockopt::set_tcp_keepintvl(&self.stream, KEEP_ALIVE_INTERVAL)?;
            sockopt::set_tcp_keepcnt(&self.stream, KEEP_ALIVE_PROBES)
        };
        set().map_err(|errno| Error::Connect(errno.into()))
    }

    /// Whether the connection is open, has no unread bytes and can carry another request.
    ///
    /// This detects a peer that has sent a second response after the first or has closed the idle
    /// connection, before a request that may run only once is sent on it.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        if self.closes_after
            || !self.request_fully_sent
            || self.framing != Framing::Done
            || !self.buffer.is_empty()
        {
            return false;
        }
        matches!(self.peek(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns how many of the next bytes can be read, at most one; zero if the peer has closed the connection.
    /// Asks the kernel: the runtime learns of an end only when it next waits for events.
    fn peek(&self) -> io::Result<usize> {
        let flags = net::RecvFlags::PEEK | net::RecvFlags::DONTWAIT;
        let (_, count) = net::recv(&self.stream, &mut [0; 1], flags)?;
        Ok(count)
    }

    /// The error of a request that cannot be sent, because the peer has closed the connection.
    fn closed_error(&self) -> Option<io::Error> {
        match self.peek() {
            Ok(0) => Some(io::ErrorKind::UnexpectedEof.into()),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => Some(error),
            _ => None,
        }
    }

    /// Waits until the peer closes the connection without having sent anything; false if it does not within `limit`.
    pub async fn is_closed_within(&self, limit: Duration) -> bool {
        if time::timeout(limit, self.stream.readable()).await.is_err() {
            return false;
        }
        match self.stream.try_read(&mut [0; 1]) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Seconds for which the peer keeps an idle connection open, if it stated that.
    #[must_use]
    pub fn keep_alive_s(&self) -> Option<u64> {
        self.keep_alive_s
    }

    /// Sends a request and reads the head of its response. If the peer responds before it has read the
    /// whole request, the rest is not sent and the connection is not reused.
    ///
    /// # Errors
    /// [`Error::Unsent`] if nothing was sent. After any other the peer may have received the request.
    pub async fn exchange(&mut self, request: &[u8]) -> Result<Head, Error> {
        self.send(request).await?;
        self.next_head().await
    }

    /// Whether the connection has carried a request before the last one.
    #[must_use]
    pub fn was_reused(&self) -> bool {
        self.requests > 1
    }

    /// Bytes sent that the peer's machine has not acknowledged; `None` if the system does not report it.
    ///
    /// This distinguishes a request that has not reached the peer's machine from one that the peer has
    /// received and not answered.
    #[must_use]
    pub fn unacked_bytes(&self) -> Option<u32> {
        // SAFETY: the request writes one `c_int`, which is the output type of the getter.
        let bytes = unsafe {
            let request = ioctl::Getter::<UNACKED_BYTES, c_int>::new();
            ioctl::ioctl(&self.stream, request)
        };
        bytes.ok().and_then(|bytes| u32::try_from(bytes).ok())
    }

    /// Whether a request has been sent whole and the head of its response has not been read.
    #[must_use]
    pub fn awaits_head(&self) -> bool {
        self.request_fully_sent && self.framing == Framing::Head
    }

    /// Whether bytes of the peer have arrived that have not been read.
    #[must_use]
    pub fn has_unread_bytes(&self) -> bool {
        matches!(self.peek(), Ok(count) if count > 0)
    }

    /// Sends a request. If the peer responds before it has read the whole request, the rest is not sent and the
    /// connection is not reused.
    ///
    /// # Errors
    /// [`Error::Unsent`] if the connection was lost before the first byte was sent.
    pub async fn send(&mut self, request: &[u8]) -> Result<(), Error> {
        self.request_fully_sent = false;
        self.framing = Framing::Head;
        self.requests = self.requests.saturating_add(1);
        if let Some(error) = self.closed_error() {
            return Err(Error::Unsent(error));
        }
        let (read, mut write) = self.stream.split();
        let mut sent_bytes = 0;
        let failure = tokio::select! {
            biased;
            result = write_counted(&mut write, request, &mut sent_bytes) => result.err(),
            _ = read.readable() => None,
        };
        self.request_fully_sent = sent_bytes == request.len();
        // A write to a peer that has closed in order fails with a broken pipe.
        self.was_reset =
            failure.as_ref().is_some_and(|error| error.kind() != io::ErrorKind::BrokenPipe);
        match failure {
            Some(error) if sent_bytes == 0 => Err(Error::Unsent(error)),
            // The write fails if the peer closes after an early response; that response is still valid.
            _ => Ok(()),
        }
    }

    /// Reads the head of the next response on this connection.
    ///
    /// # Errors
    /// As [`Connection::exchange`].
    pub async fn next_head(&mut self) -> Result<Head, Error> {
        self.framing = Framing::Head;
        let mut interim_bytes = 0;
        loop {
            let buffered_bytes = self.buffer.len();
            if let Some(head) = self.parse_head()? {
                if !(100..200).contains(&head.status) {
                    return Ok(head);
                }
                interim_bytes += buffered_bytes - self.buffer.len();
                if interim_bytes > MAX_HEAD_BYTES {
                    return Err(Error::Malformed);
                }
                continue;
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
        if !framing::has_only_whole_line_ends(&self.buffer[..length]) {
            return Err(Error::Malformed);
        }
        let is_http_1_0 = parsed.version == Some(0);
        let status = parsed.code.filter(|status| STATUSES.contains(status));
        let status = status.ok_or(Error::Malformed)?;
        let headers: Vec<Header> = parsed
            .headers
            .iter()
            .map(|one| Header { name: one.name.into(), value: Bytes::copy_from_slice(one.value) })
            .collect();
        self.buffer.advance(length);
        let head = Head { status, headers };
        self.framing = Framing::of(&head, is_http_1_0)?;
        let connection = head.header("connection").unwrap_or_default().to_ascii_lowercase();
        self.closes_after =
            connection.contains("close") || is_http_1_0 || self.framing == Framing::UntilClose;
        self.keep_alive_s = head.header("keep-alive").and_then(keep_alive_s);
        Ok(Some(head))
    }

    async fn fill(&mut self) -> Result<usize, Error> {
        self.buffer.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await.map_err(Error::Broken)
    }

    /// Whether the body of the response has been read completely.
    #[must_use]
    pub fn is_body_complete(&self) -> bool {
        self.framing == Framing::Done
    }

    /// The next piece of the body; `None` at its end. Cancel-safe: dropping the future loses no data.
    ///
    /// # Errors
    /// If the body is truncated or is not valid HTTP.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(piece) = self.decode_buffered()? {
                return Ok(Some(piece));
            }
            if self.is_body_complete() {
                return Ok(None);
            }
            if self.fill().await? == 0 {
                if self.framing != Framing::UntilClose || self.was_reset {
                    return Err(Error::Broken(io::ErrorKind::UnexpectedEof.into()));
                }
                self.framing = Framing::Done;
            }
        }
    }

    /// Decodes the next piece from the buffered bytes.
    fn decode_buffered(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.framing {
                Framing::Head | Framing::Done => return Ok(None),
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
                    let Some(line) = self.take_line()? else { return Ok(None) };
                    let size = framing::chunk_size(&line)?;
                    self.framing =
                        if size == 0 { Framing::Trailer(0) } else { Framing::ChunkData(size) };
                }
                Framing::ChunkEnd => {
                    let Some(line) = self.take_line()? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Error::Malformed);
                    }
                    self.framing = Framing::ChunkSize;
                }
                Framing::Trailer(read_bytes) => {
                    let Some(line) = self.take_line()? else { return Ok(None) };
                    let read_bytes = read_bytes + line.len();
                    let is_valid = line.is_empty() || framing::is_field(&line);
                    if read_bytes > MAX_TRAILER_BYTES || !is_valid {
                        return Err(Error::Malformed);
                    }
                    self.framing =
                        if line.is_empty() { Framing::Done } else { Framing::Trailer(read_bytes) };
                }
            }
        }
    }

    fn take(&mut self, max_bytes: u64) -> Bytes {
        let count = self.buffer.len().min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
        self.buffer.split_to(count).freeze()
    }

    /// Takes the next line without its line ending from the buffer; `None` if it is incomplete. A line feed alone ends no
    /// line.
    fn take_line(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() > MAX_SIZE_LINE_BYTES {
                return Err(Error::Malformed);
            }
            return Ok(None);
        };
        let line = self.buffer.split_to(end + 1).freeze();
        let line_bytes = line.strip_suffix(b"\r\n").ok_or(Error::Malformed)?.len();
        Ok(Some(line.slice(..line_bytes)))
    }

    /// Reads the rest of the body, up to a limit in bytes.
    ///
    /// # Errors
    /// As [`Connection::next_piece`], or [`Error::Malformed`] if the body is longer.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, Error> {
        self.read_body_while(max_bytes, |_| true).await
    }

    /// Reads the rest of the body, up to a limit in bytes and as long as `may_buffer` holds for its size so far.
    ///
    /// # Errors
    /// As [`Connection::next_piece`], or [`Error::Malformed`] if the body is longer or its stated length is.
    pub async fn read_body_while(
        &mut self,
        max_bytes: usize,
        mut may_buffer: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, Error> {
        if matches!(self.framing, Framing::Length(length) if length > max_bytes as u64) {
            return Err(Error::Malformed);
        }
        let mut body = BytesMut::new();
        while let Some(piece) = self.next_piece().await? {
            let body_bytes = body.len() + piece.len();
            if body_bytes > max_bytes || !may_buffer(body_bytes) {
                return Err(Error::Malformed);
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// Reads and drops the rest of the body, up to a limit in bytes.
    ///
    /// # Errors
    /// As [`Connection::read_body`].
    pub async fn skip_body(&mut self, max_bytes: usize) -> Result<(), Error> {
        let mut skipped_bytes = 0;
        while let Some(piece) = self.next_piece().await? {
            skipped_bytes += piece.len();
            if skipped_bytes > max_bytes {
                return Err(Error::Malformed);
            }
        }
        Ok(())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let is_idle = self.framing == Framing::Done && self.request_fully_sent;
        if is_idle {
            // If this fails, the peer sees a reset of an idle connection, which loses nothing.
            let _ = sockopt::set_socket_linger(&self.stream, None);
        }
    }
}

/// Writes all bytes and adds up how many the kernel has taken.
async fn write_counted(
    write: &mut WriteHalf<'_>,
    bytes: &[u8],
    sent_bytes: &mut usize,
) -> io::Result<()> {
    while *sent_bytes < bytes.len() {
        match write.write(&bytes[*sent_bytes..]).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => *sent_bytes += count,
        }
    }
    Ok(())
}

/// The `timeout` of a `Keep-Alive` header.
fn keep_alive_s(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
}
