//! Allowance for the bodies of callers' requests, shared by all traffic threads of a process.
//!
//! A large body reserves all of its length before it is read, and waits for that in a queue; meanwhile the caller is not
//! read. Bodies of the account that has reserved least are next. Those that do not arrive any further are given up while
//! others wait, so that a caller who stops short of the end cannot keep the allowance. Small bodies do not wait.
//!
//! What reading costs besides the bodies has an allowance of its own, which also bounds the queue. Where it is used up, a
//! new body takes the place of another one, in the order of [`Rank`], or is refused.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::SlotMap;
use tokio::sync::Notify;
use tokio::time;

use crate::caller_connections::{KERNEL_BUFFER_BYTES, READ_BYTES};
use crate::caller_limits::CallerLimits;
use crate::clock;

/// Maximum size of a body that is read without waiting.
pub const SMALL_BYTES: usize = 16 << 10;
/// What the server holds of a body that it has not handed over.
const SERVER_BYTES: usize = 2 * READ_BYTES;
/// The same for a body in chunks, each of which takes a record.
const CHUNKED_SERVER_BYTES: usize = 64 << 10;
/// Time without progress after which a body is given up while others wait.
const STALLED_MS: u64 = 500;
/// Part of a body that has to arrive in that time. One that arrives more slowly is not complete within the time limit for
/// bodies.
const PROGRESS_PART: usize = 20;
/// Bytes that have to arrive in that time if this is more.
pub const MIN_PROGRESS_BYTES: usize = READ_BYTES;
/// Interval at which a waiting body asks again.
const RETRY: Duration = Duration::from_millis(50);

/// Bytes of a body of this size that make progress.
fn progress_bytes(body_bytes: usize) -> usize {
    (body_bytes / PROGRESS_PART).max(MIN_PROGRESS_BYTES)
}

slotmap::new_key_type! {
    /// Key of a body that has not arrived completely.
    struct IncomingKey;
}

/// What becomes of the bytes of a body that arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Read,
    /// Waits to reserve this many bytes; the lowest turn has waited longest.
    Waits {
        turn: u64,
        bytes: usize,
    },
    Dropped,
}

/// Why a body is not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum GivenUp {
    /// There is no memory for it.
    #[display("memory")]
    Memory,
    /// It has not arrived any further while others waited.
    #[display("stalled")]
    Stalled,
}

impl GivenUp {
    fn count(self) {
        metrics::counter!("briarwinch_request_bodies_given_up_total", "cause" => self.to_string())
            .increment(1);
    }
}

/// A body that has not arrived completely.
#[derive(Debug)]
struct Incoming {
    account: u64,
    /// Part of the allowance for reading.
    reading_bytes: usize,
    /// Part of the allowance for bodies.
    reserved_bytes: usize,
    phase: Phase,
    /// When it was first read.
    begun_ms: u64,
    /// When it last made progress.
    progress_ms: u64,
    /// Bytes that have arrived since then.
    bytes_since_progress: usize,
    /// Bytes that make progress.
    progress_bytes: usize,
    given_up: Option<GivenUp>,
    /// Wakes its reader when it is given up or may be read.
    wake: Arc<Notify>,
}

/// A body that is about to be read.
#[derive(Clone, Copy, Debug)]
struct NewBody {
    account: u64,
    is_small: bool,
}

/// Order in which bodies are given up in favour of a new one; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// What is dropped anyway, by its last progress.
    Dropped(u64),
    /// By its last progress.
    Stalled(u64),
    /// The last in the queue, of the account that has most bodies.
    Waits(Reverse<usize>, Reverse<u64>),
    /// What has been read longest, likewise.
    Slow(Reverse<usize>, u64),
}

impl Rank {
    fn cause(self) -> GivenUp {
        match self {
            Self::Dropped(_) | Self::Waits(..) => GivenUp::Memory,
            Self::Stalled(_) | Self::Slow(..) => GivenUp::Stalled,
        }
    }
}

impl Incoming {
    /// Returns its place in the order; `None` if it is not given up. Unless it `may_yield`, that happens only if it makes no
    /// progress. `by_account` is the number of bodies of its account.
    fn rank(&self, by_account: usize, may_yield: bool, now_ms: u64) -> Option<Rank> {
        let is_old = now_ms.saturating_sub(self.begun_ms) >= STALLED_MS;
        match self.phase {
            Phase::Dropped => Some(Rank::Dropped(self.progress_ms)),
            Phase::Read if self.is_stalled(now_ms) => Some(Rank::Stalled(self.progress_ms)),
            Phase::Waits { turn, .. } if may_yield => {
                Some(Rank::Waits(Reverse(by_account), Reverse(turn)))
            }
            Phase::Read if may_yield && is_old => {
                Some(Rank::Slow(Reverse(by_account), self.begun_ms))
            }
            Phase::Read | Phase::Waits { .. } => None,
        }
    }

    fn is_stalled(&self, now_ms: u64) -> bool {
        self.phase == Phase::Read && now_ms.saturating_sub(self.progress_ms) >= STALLED_MS
    }

    fn give_up(&mut self, cause: GivenUp) {
        self.given_up = Some(cause);
        self.wake.notify_waiters();
        cause.count();
    }
}

#[derive(Debug, Default)]
struct State {
    incoming: SlotMap<IncomingKey, Incoming>,
    reading_bytes: usize,
    /// Of incoming bodies and of those that are complete.
    reserved_bytes: usize,
    /// Number of large bodies among them.
    large_bodies: usize,
    /// Number of bodies that have begun to wait.
    turns: u64,
    /// When those that wait are looked at next, apart from releases.
    next_check_ms: u64,
}

impl State {
    /// Gives up bodies in favour of a new one until this much of the allowance for reading is or will be left. Returns
    /// false if there are not enough.
    fn make_reading_room(&mut self, needed_bytes: usize, new: NewBody, now_ms: u64) -> bool {
        let leaving = self.incoming.values().filter(|one| one.given_up.is_some());
        let mut left_bytes = leaving.map(|one| one.reading_bytes).sum::<usize>();
        while left_bytes < needed_bytes {
            let counts = self.count_by_account();
            let count = |account| counts.get(&account).copied().unwrap_or_default();
            let candidates = self.incoming.values_mut().filter(|one| one.given_up.is_none());
            let ranked = candidates.filter_map(|one| {
                let by_account = count(one.account);
                let may_yield = new.is_small || by_account > count(new.account) + 1;
                Some((one.rank(by_account, may_yield, now_ms)?, one))
            });
            let Some((rank, one)) = ranked.min_by_key(|(rank, _)| *rank) else {
                return false;
            };
            one.give_up(rank.cause());
            left_bytes += one.reading_bytes;
        }
        true
    }

    /// Returns the number of bodies that are not given up, by account.
    fn count_by_account(&self) -> HashMap<u64, usize> {
        let mut counts = HashMap::new();
        for one in self.incoming.values().filter(|one| one.given_up.is_none()) {
            *counts.entry(one.account).or_default() += 1;
        }
        counts
    }

    /// Returns the body that is next among those that wait, with the bytes that it asks for.
    fn next_waiting(&self) -> Option<(IncomingKey, usize)> {
        // Each body that is released asks, and mostly none waits.
        if !self.incoming.values().any(|one| matches!(one.phase, Phase::Waits { .. })) {
            return None;
        }
        let mut reserved_by_account = HashMap::<u64, usize>::new();
        for one in self.incoming.values() {
            *reserved_by_account.entry(one.account).or_default() += one.reserved_bytes;
        }
        let waiting = self.incoming.iter().filter_map(|(key, one)| match one.phase {
            Phase::Waits { turn, bytes } if one.given_up.is_none() => {
                Some((reserved_by_account[&one.account], turn, key, bytes))
            }
            _ => None,
        });
        waiting
            .min_by_key(|(reserved_bytes, turn, ..)| (*reserved_bytes, *turn))
            .map(|(.., key, bytes)| (key, bytes))
    }

    /// Lets those that wait reserve as much as there is room for, and gives up stalled bodies in favour of the next.
    fn admit_waiting(&mut self, max_bytes: usize, now_ms: u64) {
        while let Some((key, bytes)) = self.next_waiting() {
            let wanted_bytes = self.reserved_bytes.saturating_add(bytes);
            // A body of the largest size that the operators allow has to pass, whatever the memory.
            if wanted_bytes > max_bytes && self.large_bodies > 0 {
                self.make_body_room(wanted_bytes - max_bytes, now_ms);
                return;
            }
            self.reserved_bytes = wanted_bytes;
            self.large_bodies += 1;
            let one = &mut self.incoming[key];
            one.reserved_bytes = bytes;
            one.phase = Phase::Read;
            one.begun_ms = now_ms;
            one.progress_ms = now_ms;
            one.wake.notify_waiters();
        }
    }

    /// Gives up stalled bodies until this much of the allowance for bodies will be left.
    fn make_body_room(&mut self, mut missing_bytes: usize, now_ms: u64) {
        let leaving = self.incoming.values().filter(|one| one.given_up.is_some());
        let leaving_bytes = leaving.map(|one| one.reserved_bytes).sum();
        missing_bytes = missing_bytes.saturating_sub(leaving_bytes);
        while missing_bytes > 0 {
            let stalled = self.incoming.values_mut().filter(|one| {
                one.given_up.is_none() && one.reserved_bytes > 0 && one.is_stalled(now_ms)
            });
            let Some(one) = stalled.min_by_key(|one| one.progress_ms) else {
                return;
            };
            one.give_up(GivenUp::Stalled);
            missing_bytes = missing_bytes.saturating_sub(one.reserved_bytes);
        }
    }
}

/// The allowance; see the module.
#[derive(Debug)]
pub struct BodyAllowance {
    limits: CallerLimits,
    /// Number of copies that the process makes of a body.
    copies: usize,
    state: Mutex<State>,
}

impl BodyAllowance {
    /// Creates the allowance of a process that holds each body this many times.
    #[must_use]
    pub fn new(limits: CallerLimits, copies: usize) -> Arc<Self> {
        Arc::new(Self { limits, copies, state: Mutex::default() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a body to be read; `None` if there is no memory even for that. Its length is `None` if it is not stated.
    #[must_use]
    pub fn begin(
        self: &Arc<Self>,
        account: u64,
        stated_bytes: Option<usize>,
    ) -> Option<IncomingBody> {
        let now_ms = clock::boot_ms();
        let is_small = stated_bytes.is_none_or(|bytes| bytes <= SMALL_BYTES);
        let reading_bytes = match stated_bytes {
            None => CHUNKED_SERVER_BYTES + SMALL_BYTES,
            Some(bytes) if is_small => SERVER_BYTES + bytes,
            // It may wait, and then the kernel's buffer is full.
            Some(_) => SERVER_BYTES + 2 * KERNEL_BUFFER_BYTES,
        };
        let state = &mut *self.state();
        let wanted_bytes = state.reading_bytes + reading_bytes;
        let missing_bytes = wanted_bytes.saturating_sub(self.limits.reading_bytes);
        let new = NewBody { account, is_small };
        let is_full = state.reserved_bytes > self.limits.bodies_bytes / 2 * 3;
        if is_full || !state.make_reading_room(missing_bytes, new, now_ms) {
            GivenUp::Memory.count();
            return None;
        }
        state.reading_bytes += reading_bytes;
        let wake = Arc::new(Notify::new());
        let key = state.incoming.insert(Incoming {
            account,
            reading_bytes,
            reserved_bytes: 0,
            phase: Phase::Read,
            begun_ms: now_ms,
            progress_ms: now_ms,
            bytes_since_progress: 0,
            progress_bytes: progress_bytes(stated_bytes.unwrap_or_default()),
            given_up: None,
            wake: Arc::clone(&wake),
        });
        Some(IncomingBody { allowance: Arc::clone(self), key, wake })
    }

    fn release(&self, state: &mut State, reserved_bytes: usize) {
        state.reserved_bytes -= reserved_bytes;
        state.large_bodies -= usize::from(self.is_large(reserved_bytes));
        state.admit_waiting(self.limits.bodies_bytes, clock::boot_ms());
        self.record(state);
    }

    /// Whether a body that has reserved this much had to wait for it.
    fn is_large(&self, reserved_bytes: usize) -> bool {
        reserved_bytes > SMALL_BYTES * self.copies
    }

    fn record(&self, state: &State) {
        metrics::gauge!("briarwinch_request_body_bytes", "kind" => "reserved")
            .set(state.reserved_bytes as f64);
        metrics::gauge!("briarwinch_request_body_bytes", "kind" => "reading")
            .set(state.reading_bytes as f64);
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct IncomingBody {
    allowance: Arc<BodyAllowance>,
    key: IncomingKey,
    wake: Arc<Notify>,
}

impl IncomingBody {
    /// Waits until the body is given up in favour of others.
    pub async fn given_up(&self) -> GivenUp {
        loop {
            let woken = self.wake.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            let given_up = self.allowance.state().incoming[self.key].given_up;
            if let Some(cause) = given_up {
                return cause;
            }
            woken.await;
        }
    }

    /// Waits until there is room for a body of this size.
    pub async fn reserve(&self, bytes: usize) {
        let bytes = bytes.saturating_mul(self.allowance.copies);
        {
            let state = &mut *self.allowance.state();
            state.turns += 1;
            let incoming = &mut state.incoming[self.key];
            incoming.phase = Phase::Waits { turn: state.turns, bytes };
            incoming.progress_bytes = progress_bytes(bytes / self.allowance.copies);
            state.admit_waiting(self.allowance.limits.bodies_bytes, clock::boot_ms());
        }
        loop {
            let woken = self.wake.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            if self.is_admitted() {
                return;
            }
            let _ = time::timeout(RETRY, woken).await;
        }
    }

    fn is_admitted(&self) -> bool {
        let allowance = &*self.allowance;
        let state = &mut *allowance.state();
        let now_ms = clock::boot_ms();
        if now_ms >= state.next_check_ms {
            state.next_check_ms = now_ms + RETRY.as_millis() as u64;
            state.admit_waiting(allowance.limits.bodies_bytes, now_ms);
            allowance.record(state);
        }
        state.incoming[self.key].phase == Phase::Read
    }

    /// Records that this much of the body has arrived.
    pub fn record_arrival(&self, bytes: usize) {
        let state = &mut *self.allowance.state();
        let incoming = &mut state.incoming[self.key];
        incoming.bytes_since_progress += bytes;
        if incoming.bytes_since_progress >= incoming.progress_bytes {
            incoming.bytes_since_progress = 0;
            incoming.progress_ms = clock::boot_ms();
        }
    }

    /// Releases what is reserved; what still arrives is dropped.
    pub fn drop_rest(&self) {
        let state = &mut *self.allowance.state();
        let incoming = &mut state.incoming[self.key];
        incoming.phase = Phase::Dropped;
        let reserved_bytes = std::mem::take(&mut incoming.reserved_bytes);
        self.allowance.release(state, reserved_bytes);
    }

    /// Turns a complete body of this size into a reservation, which lasts as long as the process holds the body.
    #[must_use]
    pub fn complete(self, bytes: usize) -> Reservation {
        let allowance = &self.allowance;
        let state = &mut *allowance.state();
        let bytes = bytes.saturating_mul(allowance.copies);
        let reserved_bytes = std::mem::take(&mut state.incoming[self.key].reserved_bytes);
        state.reserved_bytes += bytes;
        state.large_bodies += usize::from(allowance.is_large(bytes));
        allowance.release(state, reserved_bytes);
        Reservation { allowance: Arc::clone(allowance), bytes }
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        let state = &mut *self.allowance.state();
        if let Some(incoming) = state.incoming.remove(self.key) {
            state.reading_bytes -= incoming.reading_bytes;
            self.allowance.release(state, incoming.reserved_bytes);
        }
    }
}

/// Part of the allowance that a complete body takes.
#[derive(Debug)]
pub struct Reservation {
    allowance: Arc<BodyAllowance>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let state = &mut *self.allowance.state();
        self.allowance.release(state, self.bytes);
    }
}
