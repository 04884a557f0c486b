//! Connections of callers to one traffic thread: what they hold before a request is decoded, and which of them is closed
//! where that is too much.
//!
//! The HTTP server keeps what arrives until it can decode it. It bounds the head of one request, but not the sum over all
//! connections, and not the line before a chunk of a body. Each connection therefore passes a filter that sees how many
//! bytes wait to be decoded. A connection on which a request is in progress is never closed in favour of others.

use std::any::{Any, TypeId};
use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::task::{Context, Poll};

use ntex::SharedCfg;
use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::io::{Base, Filter, FilterCtx, Io, IoConfig, IoRef, Readiness};
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use rustix::net::sockopt;
use slotmap::SlotMap;

use crate::caller_limits::CallerLimits;

/// Size of a read from a connection. The server keeps a record for each chunk of a body that it has read, however
/// small, so it reads little at a time.
pub const READ_BYTES: usize = 4 << 10;
/// Free bytes below which the server extends its read buffer.
const MIN_FREE_BYTES: usize = 512;
/// Number of read buffers that the server keeps for use again.
const CACHED_BUFFERS: usize = 128;
/// Maximum size of a line before a chunk, and of what else is not decoded while a body is read.
const MAX_LINE_BYTES: usize = 16 << 10;
/// Receive buffer of the kernel for each connection, which it would otherwise extend to megabytes. It takes twice as much
/// memory.
pub const KERNEL_BUFFER_BYTES: usize = 16 << 10;

slotmap::new_key_type! {
    /// Key of an open connection.
    struct ConnectionKey;
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    io: IoRef,
    /// Bytes of an incomplete head.
    head_bytes: usize,
    /// Orders the connections by when they were opened, the first byte of the incomplete head arrived, or the last request
    /// ended.
    idle_since: u64,
    /// Whether a request has been decoded on it.
    was_used: bool,
    /// Requests in progress.
    requests: u32,
    /// Whether it is being closed in favour of others.
    is_given_up: bool,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Cause {
    /// Incomplete heads hold too much.
    #[display("heads")]
    Heads,
    /// Too many connections are open.
    #[display("connections")]
    Connections,
    /// A line before a chunk is too long.
    #[display("line")]
    Line,
}

fn count_closed(cause: Cause) {
    metrics::counter!("briarwinch_caller_connections_closed_total", "cause" => cause.to_string())
        .increment(1);
}

/// The open connections of a traffic thread.
#[derive(Debug)]
struct Connections {
    limits: CallerLimits,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    open: SlotMap<ConnectionKey, Connection>,
    /// Sum over all connections that are not given up.
    head_bytes: usize,
    given_up: usize,
    /// Number of events that [`Connection::idle_since`] counts.
    events: u64,
}

impl State {
    fn next_event(&mut self) -> u64 {
        self.events += 1;
        self.events
    }

    fn set_head_bytes(&mut self, key: ConnectionKey, head_bytes: usize) {
        let Some(connection) = self.open.get_mut(key).filter(|one| !one.is_given_up) else {
            return;
        };
        self.head_bytes = self.head_bytes + head_bytes - connection.head_bytes;
        connection.head_bytes = head_bytes;
    }

    /// Closes a connection; its record stays until the server has closed it.
    fn give_up(&mut self, key: ConnectionKey, cause: Cause) {
        self.set_head_bytes(key, 0);
        let connection = &mut self.open[key];
        connection.is_given_up = true;
        connection.io.terminate();
        self.given_up += 1;
        count_closed(cause);
    }

    /// Closes the connection whose incomplete head has waited longest until the heads fit.
    fn bound_heads(&mut self, max_bytes: usize) {
        while self.head_bytes > max_bytes {
            let waiting = self.open.iter().filter(|(_, one)| one.head_bytes > 0);
            let Some((key, _)) = waiting.min_by_key(|(_, one)| one.idle_since) else {
                return;
            };
            self.give_up(key, Cause::Heads);
        }
    }

    /// Closes connections without a request, those that never had one first, until their number fits.
    fn bound_connections(&mut self, max_connections: usize) {
        while self.open.len() - self.given_up > max_connections {
            let idle = self.open.iter().filter(|(_, one)| one.requests == 0 && !one.is_given_up);
            let Some((key, _)) = idle.min_by_key(|(_, one)| (one.was_used, one.idle_since)) else {
                return;
            };
            self.give_up(key, Cause::Connections);
        }
    }
}

impl Connections {
    fn open(self: &Rc<Self>, io: IoRef) -> Handle {
        let state = &mut *self.state.borrow_mut();
        let idle_since = state.next_event();
        let key = state.open.insert(Connection {
            io,
            head_bytes: 0,
            idle_since,
            was_used: false,
            requests: 0,
            is_given_up: false,
        });
        state.bound_connections(self.limits.connections);
        metrics::gauge!("briarwinch_caller_connections").increment(1.0);
        Handle { connections: Rc::clone(self), key }
    }

    fn close(&self, key: ConnectionKey) {
        let state = &mut *self.state.borrow_mut();
        state.set_head_bytes(key, 0);
        let connection = state.open.remove(key);
        state.given_up -= usize::from(connection.is_some_and(|one| one.is_given_up));
        metrics::gauge!("briarwinch_caller_connections").decrement(1.0);
    }

    /// Records that this many bytes of a connection wait to be decoded.
    fn record_undecoded(&self, key: ConnectionKey, bytes: usize) -> io::Result<()> {
        let state = &mut *self.state.borrow_mut();
        let event = state.next_event();
        let Some(connection) = state.open.get_mut(key) else {
            return Ok(());
        };
        if connection.requests > 0 {
            if bytes <= MAX_LINE_BYTES {
                return Ok(());
            }
            count_closed(Cause::Line);
            return Err(io::Error::other("a line before a chunk is too long"));
        }
        if connection.head_bytes == 0 {
            connection.idle_since = event;
        }
        // The buffer is at least as large as a read.
        state.set_head_bytes(key, bytes.max(READ_BYTES));
        state.bound_heads(self.limits.heads_bytes);
        Ok(())
    }
}

/// Identifies a connection to its filter and to the requests on it.
#[derive(Clone, Debug)]
struct Handle {
    connections: Rc<Connections>,
    key: ConnectionKey,
}

/// Closes the record of a connection with it.
#[derive(Debug)]
struct OpenConnection(Handle);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.close(self.0.key);
    }
}

/// Filter of a connection; see the module.
#[derive(Debug)]
pub struct CountingFilter<F> {
    inner: F,
    handle: Handle,
}

impl<F: Filter> Filter for CountingFilter<F> {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        if id == TypeId::of::<Handle>() {
            return Some(Box::new(self.handle.clone()));
        }
        self.inner.query(id)
    }

    fn process_read_buf(&self, context: &mut FilterCtx<'_>) -> io::Result<()> {
        self.inner.process_read_buf(context)?;
        self.handle.connections.record_undecoded(self.handle.key, context.read_dst_size())
    }

    fn process_write_buf(&self, context: &mut FilterCtx<'_>) -> io::Result<()> {
        self.inner.process_write_buf(context)
    }

    fn shutdown(&self, context: &mut FilterCtx<'_>) -> io::Result<Poll<()>> {
        self.inner.shutdown(context)
    }

    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<Readiness> {
        self.inner.poll_read_ready(context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<Readiness> {
        self.inner.poll_write_ready(context)
    }
}

/// A request in progress; its connection is not closed in favour of others.
#[derive(Debug)]
pub struct ActiveRequest(Handle);

impl ActiveRequest {
    /// Marks a request that the server has decoded; `None` if its connection has no filter.
    #[must_use]
    pub fn begin(http: &HttpRequest) -> Option<Self> {
        let handle = http.io()?.query::<Handle>().as_ref()?.clone();
        let state = &mut *handle.connections.state.borrow_mut();
        state.set_head_bytes(handle.key, 0);
        let connection = state.open.get_mut(handle.key)?;
        connection.requests += 1;
        connection.was_used = true;
        Some(Self(handle.clone()))
    }

    /// Extends the request up to the end of its response.
    #[must_use]
    pub fn until_written(self, response: HttpResponse) -> HttpResponse {
        response.map_body(|_, body| match body.size() {
            BodySize::None | BodySize::Empty => body,
            _ => ResponseBody::Other(Body::from_message(ActiveBody { body, _request: self })),
        })
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.0.connections.state.borrow_mut();
        let event = state.next_event();
        if let Some(connection) = state.open.get_mut(self.0.key) {
            connection.requests -= 1;
            connection.idle_since = event;
        }
    }
}

/// Body of a response whose request is in progress until it has been written.
struct ActiveBody {
    body: ResponseBody<Body>,
    _request: ActiveRequest,
}

impl MessageBody for ActiveBody {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn std::error::Error>>>> {
        self.body.poll_next_chunk(context)
    }
}

/// Service factory that lets connections pass the filter of this module before they reach a server.
#[derive(Debug)]
pub struct BoundedConnections<S> {
    server: S,
    limits: CallerLimits,
}

impl<S> BoundedConnections<S> {
    /// Bounds the connections of a server on each of its threads.
    #[must_use]
    pub fn new(limits: CallerLimits, server: S) -> Self {
        Self { server, limits }
    }
}

impl<S> ServiceFactory<Io, SharedCfg> for BoundedConnections<S>
where
    S: ServiceFactory<Io<CountingFilter<Base>>, SharedCfg>,
{
    type Response = S::Response;
    type Error = S::Error;
    type InitError = S::InitError;
    type Service = BoundedServer<S::Service>;

    async fn create(&self, config: SharedCfg) -> Result<Self::Service, Self::InitError> {
        let connections = Connections { limits: self.limits, state: RefCell::default() };
        let server = self.server.create(config).await?;
        Ok(BoundedServer { server, connections: Rc::new(connections) })
    }
}

/// Server whose connections are bounded.
#[derive(Debug)]
pub struct BoundedServer<S> {
    server: S,
    connections: Rc<Connections>,
}

impl<S: Service<Io<CountingFilter<Base>>>> Service<Io> for BoundedServer<S> {
    type Response = S::Response;
    type Error = S::Error;

    async fn ready(&self, context: ServiceCtx<'_, Self>) -> Result<(), Self::Error> {
        context.ready(&self.server).await
    }

    /// Serves a connection until it is closed.
    async fn call(
        &self,
        io: Io,
        context: ServiceCtx<'_, Self>,
    ) -> Result<Self::Response, Self::Error> {
        let handle = self.connections.open(io.get_ref());
        let _open = OpenConnection(handle.clone());
        let io = io.map_filter(|inner| CountingFilter { inner, handle });
        context.call(&self.server, io).await
    }

    ntex::forward_poll!(server);
    ntex::forward_shutdown!(server);
}

/// Configures the buffers of a server for callers.
#[must_use]
pub fn io_config() -> IoConfig {
    IoConfig::new().set_read_buf(READ_BYTES, MIN_FREE_BYTES, CACHED_BUFFERS)
}

/// Bounds what the kernel keeps of each connection that is accepted.
///
/// # Errors
/// If the listener's socket does not take the option.
pub fn bound_kernel_buffers(listener: &TcpListener) -> io::Result<()> {
    Ok(sockopt::set_socket_recv_buffer_size(listener, KERNEL_BUFFER_BYTES)?)
}
