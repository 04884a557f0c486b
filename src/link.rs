//! A sealed TCP link between two daemons: handshake, buffered writes and reads.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use rustix::net::sockopt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

use crate::{seal, wire};

/// Timeout for connecting and the exchange of greetings.
pub const OPEN_MS: u64 = 1_000;
/// Timeout for writing one batch of messages to a peer, and for the peer's machine to acknowledge what was
/// written. Without the latter a silent path would be noticed only after minutes, and messages that were
/// given up would still be delivered.
const WRITE_TIMEOUT_MS: u32 = 5_000;
const READ_BYTES: usize = 64 << 10;

fn broken(reject: seal::Reject) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reject)
}

fn timed_out() -> io::Error {
    io::Error::from(io::ErrorKind::TimedOut)
}

/// The reading half of a link.
#[derive(Debug)]
pub struct Inbox {
    stream: OwnedReadHalf,
    opener: seal::Opener,
    buffer: Vec<u8>,
}

impl Inbox {
    /// Reads the next message; `None` when the peer has closed the link.
    ///
    /// # Errors
    /// When the connection failed or the bytes are not a valid frame of this link.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        loop {
            if let Some(message) = self.opener.read().map_err(broken)? {
                return Ok(Some(message));
            }
            let count = self.stream.read(&mut self.buffer).await?;
            if count == 0 {
                return Ok(None);
            }
            self.opener.push(&self.buffer[..count]);
        }
    }
}

#[derive(Debug)]
struct OutboxState {
    sealer: seal::Sealer,
    buffer: Vec<u8>,
    closed: bool,
}

/// The writing half of a link. Messages are sealed into one buffer, and its whole content is written
/// as one batch.
#[derive(Clone, Debug)]
pub struct Outbox {
    state: Rc<RefCell<OutboxState>>,
    wake: Rc<Notify>,
}

impl Outbox {
    fn new(sealer: seal::Sealer) -> Self {
        let state = OutboxState { sealer, buffer: Vec::new(), closed: false };
        Self { state: Rc::new(RefCell::new(state)), wake: Rc::new(Notify::new()) }
    }

    /// Appends a message; returns false if the link is closed or the message can't be sealed.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        let mut state = self.state.borrow_mut();
        if state.closed {
            return false;
        }
        let OutboxState { sealer, buffer, .. } = &mut *state;
        let sealed = sealer.seal(message, buffer).is_ok();
        self.wake.notify_one();
        sealed
    }

    /// Closes the link after the messages already in the buffer have been written.
    pub fn close(&self) {
        self.state.borrow_mut().closed = true;
        self.wake.notify_one();
    }

    /// Whether both handles belong to the same link.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.state, &other.state)
    }

    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.borrow().closed
    }

    /// Bytes in the buffer that are not yet being written.
    #[must_use]
    pub fn backlog_bytes(&self) -> usize {
        self.state.borrow().buffer.len()
    }

    async fn write_all(&self, mut stream: OwnedWriteHalf) -> io::Result<()> {
        let mut batch = Vec::new();
        loop {
            std::mem::swap(&mut batch, &mut self.state.borrow_mut().buffer);
            if batch.is_empty() {
                if self.is_closed() {
                    return stream.shutdown().await;
                }
                self.wake.notified().await;
                continue;
            }
            // A frozen peer neither reads nor closes the connection. Without a timeout the link would
            // look open for as long as the kernel retransmits, and its streams would hang.
            let limit = Duration::from_millis(u64::from(WRITE_TIMEOUT_MS));
            tokio::time::timeout(limit, stream.write_all(&batch))
                .await
                .map_err(|_| timed_out())??;
            batch.clear();
        }
    }
}

/// Both halves of a link.
#[derive(Debug)]
pub struct Link {
    pub inbox: Inbox,
    pub outbox: Outbox,
    /// Daemon id from the peer's greeting.
    pub peer: CompactString,
}

/// End of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Client,
    Server,
}

/// Connects to a peer and exchanges greetings with it.
///
/// # Errors
/// When the peer does not answer in time or does not have this fleet's secret.
pub async fn connect(
    addr: std::net::SocketAddr,
    secret: &seal::Secret,
    me: &CompactString,
) -> io::Result<Link> {
    let open = async {
        let stream = TcpStream::connect(addr).await?;
        greet(stream, secret, me, End::Client).await
    };
    tokio::time::timeout(Duration::from_millis(OPEN_MS), open).await.map_err(|_| timed_out())?
}

/// Exchanges greetings with a peer that has connected.
///
/// # Errors
/// When the peer does not greet in time or does not have this fleet's secret.
pub async fn accept(
    stream: TcpStream,
    secret: &seal::Secret,
    me: &CompactString,
) -> io::Result<Link> {
    let greeting = greet(stream, secret, me, End::Server);
    tokio::time::timeout(Duration::from_millis(OPEN_MS), greeting).await.map_err(|_| timed_out())?
}

async fn greet(
    stream: TcpStream,
    secret: &seal::Secret,
    me: &CompactString,
    end: End,
) -> io::Result<Link> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(&stream, WRITE_TIMEOUT_MS)?;
    let (read, mut write) = stream.into_split();
    let mine = wire::Greeting { daemon: me.clone(), nonce: rand::random(), version: wire::VERSION };
    let mut bytes = Vec::new();
    seal::Sealer::new(secret.clone()).seal(&mine, &mut bytes).map_err(broken)?;
    write.write_all(&bytes).await?;
    let opener = seal::Opener::new(secret.clone());
    let mut inbox = Inbox { stream: read, opener, buffer: vec![0; READ_BYTES] };
    let theirs: wire::Greeting =
        inbox.next().await?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let (client, server) = match end {
        End::Client => (mine.nonce, theirs.nonce),
        End::Server => (theirs.nonce, mine.nonce),
    };
    let (to_server, to_client) = (secret.link_key(client, server), secret.link_key(server, client));
    let (outgoing, incoming) = match end {
        End::Client => (to_server, to_client),
        End::Server => (to_client, to_server),
    };
    inbox.opener = inbox.opener.rekey(incoming);
    let outbox = Outbox::new(seal::Sealer::new(outgoing));
    let writer = outbox.clone();
    tokio::task::spawn_local(async move {
        // The link ends when its writer ends for any reason; the reader then sees the closed socket.
        let _ = writer.write_all(write).await;
        writer.close();
    });
    Ok(Link { inbox, outbox, peer: theirs.daemon })
}
