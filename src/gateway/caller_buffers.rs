//! What the HTTP server holds of the responses to callers that read slowly: it is counted toward the allowance, and
//! responses are ended when that is used up. The decisions are those of [`slow_readers`].
//!
//! The HTTP server's write buffer is the read-ahead buffer of a stream, so that an event takes the same path whether
//! its caller reads or not.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use compact_str::CompactString;
use ntex::io::{IoRef, OnDisconnect};
use tokio::time;

use super::policy::slow_readers;
use super::{Gateway, buffer_allowance, job, metrics};
use crate::drain;

/// Size at which the HTTP server stops asking a response for more. Streams stop before, so that the server does not wait
/// until half of it is sent.
pub const WRITE_BUFFER_BYTES: usize = slow_readers::READ_AHEAD_BYTES + (64 << 10);
/// Responses of stated length that do not wait for room in the allowance.
const SHORT_BYTES: usize = 4 << 10;
/// Interval at which a stream that may not be read asks again, and shortest time between two searches for slow
/// readers that found none.
const RETRY: Duration = Duration::from_millis(20);
/// Interval at which records of responses that callers have taken are removed.
const TICK: Duration = Duration::from_millis(100);
/// Time without progress after which a written stream no longer delays the exit.
const STALLED_MS: u64 = 1_000;
/// Age of unsent bytes from which a stream is cut when the last answers are due, and not with the other streams.
const CUT_AGE_MS: u64 = 100;

/// What a response consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Stream,
    Complete,
}

/// One response.
#[derive(Debug)]
struct Record {
    io: IoRef,
    request: CompactString,
    kind: Kind,
    unsent: slow_readers::Unsent,
    reservation: buffer_allowance::Reservation,
    /// When the caller last took bytes, or all of them.
    progress_ms: u64,
    /// Whether its body is not yet taken but for what the HTTP server may hold when it closes a connection.
    is_open: bool,
    /// Delays the exit while the caller takes the rest of a written response.
    active: Option<job::ActiveGuard>,
}

impl Record {
    /// Reads what the caller has not taken, and reserves as much.
    fn refresh(&mut self, now_ms: u64) -> slow_readers::Held {
        let held = self.unsent.held(unsent_bytes(&self.io), now_ms);
        if held.bytes < self.reservation.bytes() || held.bytes == 0 {
            self.progress_ms = now_ms;
        }
        self.reservation.resize_always(held.bytes);
        if now_ms.saturating_sub(self.progress_ms) >= STALLED_MS {
            self.active = None;
        }
        held
    }
}

/// Bytes that the kernel has not taken.
fn unsent_bytes(io: &IoRef) -> usize {
    if io.is_closed() { 0 } else { io.with_write_dst_buf(|buffer| buffer.len()) }
}

/// The responses of a traffic thread that callers have not taken.
#[derive(Debug, Default)]
pub struct CallerBuffers {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    records: slab::Slab<Record>,
    next_search_ms: u64,
}

impl State {
    /// Updates all records and removes those of responses that have been taken.
    fn refresh(&mut self, now_ms: u64) {
        self.records.retain(|_, record| {
            let held = record.refresh(now_ms);
            record.is_open || held.bytes > 0
        });
    }

    /// Ends responses until this much of the allowance is left. Returns false if no caller is a slow reader.
    fn make_room(
        &mut self,
        allowance: &buffer_allowance::BufferAllowance,
        left_bytes: isize,
        now_ms: u64,
        log: &slog::Logger,
    ) -> bool {
        if allowance.left_bytes() >= left_bytes {
            return true;
        }
        if now_ms < self.next_search_ms {
            return false;
        }
        self.refresh(now_ms);
        while allowance.left_bytes() < left_bytes {
            let held = self.records.iter_mut().map(|(key, one)| (key, one.refresh(now_ms)));
            let Some((key, held)) = slow_readers::first_to_end(held) else {
                self.next_search_ms = now_ms + RETRY.as_millis() as u64;
                return false;
            };
            let record = &mut self.records[key];
            log_drop(log, record, held, "allowance");
            record.io.terminate();
            record.io.with_write_dst_buf(|buffer| buffer.clear());
            record.refresh(now_ms);
        }
        true
    }

    /// Ends the streams whose oldest unsent byte has at least this age: of what is unsent the first complete event
    /// is kept, since a part of it may have been sent.
    fn cut_streams(&mut self, min_age_ms: u64, now_ms: u64, log: &slog::Logger) {
        for (_, record) in &mut self.records {
            let held = record.refresh(now_ms);
            if record.kind == Kind::Complete || held.bytes == 0 || held.age_ms < min_age_ms {
                continue;
            }
            log_drop(log, record, held, "exit");
            record.io.with_write_dst_buf(|buffer| {
                if let Some(end) = first_event_end(buffer.iter()) {
                    *buffer = buffer.split_to(end);
                }
            });
            record.io.close();
        }
    }
}

fn log_drop(log: &slog::Logger, record: &Record, held: slow_readers::Held, cause: &'static str) {
    metrics::slow_reader_dropped(cause);
    slog::info!(log, "slow reader dropped"; "request" => record.request.as_str(),
        "bytes" => held.bytes, "age_ms" => held.age_ms, "cause" => cause,
        "is_stream" => record.kind != Kind::Complete);
}

/// End of the first chunk that ends with the empty line after an event; `None` if there is none.
pub fn first_event_end<'a>(pages: impl Iterator<Item = &'a [u8]>) -> Option<usize> {
    let mut last = [0_u8; 5];
    for (at, byte) in pages.flatten().enumerate() {
        last.rotate_left(1);
        last[4] = *byte;
        if last == *b"\n\r\n\r\n" || last[1..] == *b"\n\n\r\n" {
            return Some(at + 1);
        }
    }
    None
}

/// What the HTTP server holds of one response.
#[derive(Debug)]
pub struct ResponseBuffer {
    gateway: Rc<Gateway>,
    io: IoRef,
    key: usize,
    closed: OnDisconnect,
    retry: Option<Pin<Box<time::Sleep>>>,
    is_written: bool,
}

impl ResponseBuffer {
    /// Returns whether the stream may be read from its endpoint; wakes the task when it is to ask again.
    pub fn poll_room(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.poll_until(context, |gateway, unsent_bytes| gateway.may_read(unsent_bytes))
    }

    /// Waits until the caller has taken a response that is written up to its end. The HTTP server cuts off what it still
    /// holds a second after it has closed a connection, so it is told the end only when that is little.
    pub fn poll_taken(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let is_taken = |bytes| bytes <= slow_readers::ALWAYS_READ_BYTES;
        if !self.is_written && !is_taken(unsent_bytes(&self.io)) {
            let active = job::ActiveGuard::begin(&self.gateway.shared);
            let mut state = self.gateway.caller_buffers.state.borrow_mut();
            state.records[self.key].active = Some(active);
        }
        self.is_written = true;
        self.poll_until(context, |_, unsent_bytes| is_taken(unsent_bytes))
    }

    fn poll_until(
        &mut self,
        context: &mut Context<'_>,
        condition: impl Fn(&Gateway, usize) -> bool,
    ) -> Poll<()> {
        loop {
            let unsent_bytes = unsent_bytes(&self.io);
            if unsent_bytes > 0 {
                // The server waits for the connection's end only while it waits for the write buffer.
                let _ = Pin::new(&mut self.closed).poll(context);
            }
            if condition(&self.gateway, unsent_bytes) {
                self.retry = None;
                return Poll::Ready(());
            }
            let retry = self.retry.get_or_insert_with(|| Box::pin(time::sleep(RETRY)));
            ready!(retry.as_mut().poll(context));
            self.retry = None;
        }
    }

    /// Records bytes that are handed to the HTTP server next.
    pub fn write(&mut self, bytes: usize) {
        let gateway = &self.gateway;
        let now_ms = gateway.now_ms();
        let state = &mut *gateway.caller_buffers.state.borrow_mut();
        let record = &mut state.records[self.key];
        let written_bytes = match record.kind {
            Kind::Stream => bytes + chunk_frame_bytes(bytes),
            Kind::Complete => bytes,
        };
        record.unsent.write(written_bytes, now_ms);
        let held = record.unsent.held(unsent_bytes(&self.io) + written_bytes, now_ms);
        if held.bytes <= written_bytes {
            record.progress_ms = now_ms;
        }
        record.reservation.resize_always(held.bytes);
        state.make_room(&gateway.shared.buffer_allowance, 0, now_ms, &gateway.log);
    }
}

/// Size of the length line and the line ends of a chunk.
fn chunk_frame_bytes(bytes: usize) -> usize {
    const LINE_ENDS: usize = 4;
    bytes.checked_ilog2().unwrap_or(0) as usize / 4 + 1 + LINE_ENDS
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        let state = &mut *self.gateway.caller_buffers.state.borrow_mut();
        let record = &mut state.records[self.key];
        record.is_open = false;
        record.active = None;
        if record.refresh(now_ms).bytes == 0 {
            state.records.remove(self.key);
        }
    }
}

impl Gateway {
    /// Begins to count what the HTTP server holds of a response; `None` without overload control.
    #[must_use]
    pub fn buffer_response(
        self: &Rc<Self>,
        io: &IoRef,
        request: &str,
        kind: Kind,
    ) -> Option<ResponseBuffer> {
        if !self.shared.settings.overload_control {
            return None;
        }
        let record = Record {
            io: io.clone(),
            request: request.into(),
            kind,
            unsent: slow_readers::Unsent::default(),
            reservation: buffer_allowance::Reservation::new(&self.shared.buffer_allowance),
            progress_ms: self.now_ms(),
            is_open: true,
            active: None,
        };
        let key = self.caller_buffers.state.borrow_mut().records.insert(record);
        Some(ResponseBuffer {
            gateway: Rc::clone(self),
            io: io.clone(),
            key,
            closed: io.on_disconnect(),
            retry: None,
            is_written: false,
        })
    }

    fn may_read(&self, unsent_bytes: usize) -> bool {
        let allowance = &self.shared.buffer_allowance;
        let total_bytes = allowance.total_bytes();
        let may_read = || slow_readers::may_read(unsent_bytes, allowance.left_bytes(), total_bytes);
        may_read() || {
            self.make_room(slow_readers::kept_free_bytes(total_bytes));
            may_read()
        }
    }

    fn make_room(&self, left_bytes: isize) -> bool {
        let state = &mut *self.caller_buffers.state.borrow_mut();
        state.make_room(&self.shared.buffer_allowance, left_bytes, self.now_ms(), &self.log)
    }

    /// Reserves what a response needs that has buffered this much, as [`buffer_allowance::Reservation::resize`]. With
    /// overload control, slow readers are ended for it.
    pub(super) fn reserve(
        &self,
        reservation: &mut buffer_allowance::Reservation,
        buffered_bytes: usize,
    ) -> bool {
        if reservation.resize(buffered_bytes) {
            return true;
        }
        let more_bytes = buffered_bytes.saturating_sub(reservation.bytes());
        self.shared.settings.overload_control
            && self.make_room(isize::try_from(more_bytes).unwrap_or(isize::MAX))
            && reservation.resize(buffered_bytes)
    }

    /// Like [`Gateway::reserve`], for a response that holds nothing and can wait. With overload control, only short ones
    /// do not wait.
    pub(super) fn reserve_whole(
        &self,
        reservation: &mut buffer_allowance::Reservation,
        stated_bytes: usize,
    ) -> bool {
        let has_room = !self.shared.settings.overload_control
            || stated_bytes <= SHORT_BYTES
            || self.make_room(isize::try_from(stated_bytes).unwrap_or(isize::MAX));
        has_room && self.reserve(reservation, stated_bytes)
    }

    /// Removes the records of responses that have been taken and ends slow readers while more than the allowance is
    /// held, until a stop comes to this phase.
    async fn settle_until(&self, phase: drain::Phase) {
        let settle = async {
            loop {
                time::sleep(TICK).await;
                self.caller_buffers.state.borrow_mut().refresh(self.now_ms());
                self.make_room(0);
                let allowance = &self.shared.buffer_allowance;
                metrics::buffered(allowance.reserved_bytes(), allowance.total_bytes());
            }
        };
        let _: Option<()> = self.shared.stop.until(phase, settle).await;
    }

    fn cut_streams(&self, min_age_ms: u64) {
        let mut state = self.caller_buffers.state.borrow_mut();
        state.cut_streams(min_age_ms, self.now_ms(), &self.log);
    }
}

/// Keeps the records up to date, and ends streams to slow readers before the process exits.
pub(super) async fn watch(gateway: Rc<Gateway>) {
    gateway.settle_until(drain::Phase::FinalAnswers).await;
    gateway.cut_streams(CUT_AGE_MS);
    gateway.settle_until(drain::Phase::EndStreams).await;
    gateway.cut_streams(0);
}
