//! Connections of callers to one traffic thread: what they hold before it is decoded.
//!
//! The HTTP server keeps what arrives until it can decode it. It bounds the head of a request, but not the line before a
//! chunk of a body. Each connection therefore passes a filter that sees how many bytes wait to be decoded.

use std::any::{Any, TypeId};
use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::task::{Context, Poll};

use ntex::SharedCfg;
use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::io::{Base, Filter, FilterCtx, Io, IoConfig, Readiness};
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use rustix::net::sockopt;
use slotmap::SlotMap;

/// Size of a read from a connection.
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
    /// Requests in progress.
    requests: u32,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Cause {
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
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    open: SlotMap<ConnectionKey, Connection>,
}

impl Connections {
    fn open(self: &Rc<Self>) -> Handle {
        let state = &mut *self.state.borrow_mut();
        let key = state.open.insert(Connection { requests: 0 });
        metrics::gauge!("briarwinch_caller_connections").increment(1.0);
        Handle { connections: Rc::clone(self), key }
    }

    fn close(&self, key: ConnectionKey) {
        let state = &mut *self.state.borrow_mut();
        state.open.remove(key);
        metrics::gauge!("briarwinch_caller_connections").decrement(1.0);
    }

    /// Records that this many bytes of a connection wait to be decoded.
    fn record_undecoded(&self, key: ConnectionKey, bytes: usize) -> io::Result<()> {
        let state = self.state.borrow();
        let Some(connection) = state.open.get(key) else {
            return Ok(());
        };
        if connection.requests == 0 || bytes <= MAX_LINE_BYTES {
            return Ok(());
        }
        count_closed(Cause::Line);
        Err(io::Error::other("a line before a chunk is too long"))
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

/// A request in progress.
#[derive(Debug)]
pub struct ActiveRequest(Handle);

impl ActiveRequest {
    /// Marks a request that the server has decoded; `None` if its connection has no filter.
    #[must_use]
    pub fn begin(http: &HttpRequest) -> Option<Self> {
        let handle = http.io()?.query::<Handle>().as_ref()?.clone();
        let state = &mut *handle.connections.state.borrow_mut();
        let connection = state.open.get_mut(handle.key)?;
        connection.requests += 1;
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
        if let Some(connection) = state.open.get_mut(self.0.key) {
            connection.requests -= 1;
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
}

impl<S> BoundedConnections<S> {
    /// Bounds the connections of a server on each of its threads.
    #[must_use]
    pub fn new(server: S) -> Self {
        Self { server }
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
        let connections = Connections { state: RefCell::default() };
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
        let handle = self.connections.open();
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
