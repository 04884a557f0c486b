//! Stopping an entry: the balancer is told first, then what is under way and what still comes on
//! open connections is served, then the process ends.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use super::shared;
use crate::clock;

const POLL: Duration = Duration::from_millis(20);
/// The balancer asks once a second and turns away after two misses; a caller that it sent just
/// before then still connects.
const TURN_AWAY_MS: u64 = 2_600;
/// A stopping entry goes on taking new callers for so long at most while few others do. The balancer
/// takes two more seconds to notice, and a stopping entry has to be out of its rotation within four.
const STAY_MS: u64 = 1_800;
/// How long no request has been under way before the end: callers that keep a connection have been
/// told with their last answer that it closes.
const QUIET_MS: u64 = 600;
/// What is kept of the time to the kill, to end by itself.
const SPARE_MS: u64 = 200;
/// Before that end nothing new is begun for so long: callers on open connections are told that their
/// request did not run. Without it the end would cut a request that had just been sent on.
const LAST_CALL_MS: u64 = 900;
/// How long no request has been under way before the end, once nothing new is begun: a refusal has
/// left by then.
const REFUSED_MS: u64 = 100;

/// When a stop that began at this time ends at the latest, and when nothing new is begun any more.
#[derive(Clone, Copy, Debug)]
struct Ends {
    last_call_ms: u64,
    end_ms: u64,
}

impl Ends {
    fn of(since_ms: u64, stop_s: f64) -> Self {
        let end_ms = since_ms.saturating_add((stop_s * 1_000.0) as u64).saturating_sub(SPARE_MS);
        Self { last_call_ms: end_ms.saturating_sub(LAST_CALL_MS), end_ms }
    }
}

/// Whether a stream that begins now and runs for this time would delay a stop that began at `since_ms`.
///
/// When entries are restarted one after the other, each of them waits for its longest stream. If that
/// has only just begun, all are stopping at the same time and nobody is left to serve.
#[must_use]
pub fn delays_stop(since_ms: u64, now_ms: u64, run_ms: u64) -> bool {
    now_ms.saturating_add(run_ms) >= since_ms.saturating_add(TURN_AWAY_MS)
}

/// Whether a stopping entry goes on taking new callers: `serving` of `others` do.
///
/// When all entries are restarted one after the other, the last one would send all callers to the one
/// that is just back; whatever happens to that one happens to everybody.
#[must_use]
pub fn accepts_while_draining(since_ms: u64, now_ms: u64, serving: usize, others: usize) -> bool {
    now_ms < since_ms.saturating_add(STAY_MS) && serving * 2 < others
}

/// What a stopping entry does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Wait,
    /// Begin nothing new, then go on asking.
    Close,
    End,
}

/// A stop under way. Pure.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    begin_ms: u64,
    ends: Ends,
    quiet_since_ms: u64,
    is_closed: bool,
}

impl Stop {
    /// A stop that was asked for now; the process is killed after `stop_s`.
    #[must_use]
    pub fn begin(now_ms: u64, stop_s: f64) -> Self {
        let ends = Ends::of(now_ms, stop_s);
        Self { begin_ms: now_ms, ends, quiet_since_ms: now_ms, is_closed: false }
    }

    /// The balancer is told now.
    pub fn mark_unready(&mut self, now_ms: u64) {
        self.begin_ms = now_ms;
        self.quiet_since_ms = now_ms;
    }

    /// What to do, with so many requests under way, the last one come at `last_request_ms`.
    ///
    /// The end is never decided while a request may still begin: one that came between the decision
    /// and the process's end would be sent to an endpoint and cut.
    pub fn step(&mut self, now_ms: u64, active: u32, last_request_ms: u64) -> Step {
        if active > 0 {
            self.quiet_since_ms = now_ms;
        }
        let quiet_ms = now_ms.saturating_sub(self.quiet_since_ms.max(last_request_ms));
        if now_ms >= self.ends.end_ms {
            return Step::End;
        }
        let is_quiet = quiet_ms >= QUIET_MS && now_ms - self.begin_ms >= TURN_AWAY_MS;
        if !self.is_closed && (is_quiet || now_ms >= self.ends.last_call_ms) {
            self.is_closed = true;
            self.quiet_since_ms = now_ms;
            return Step::Close;
        }
        if self.is_closed && quiet_ms >= REFUSED_MS { Step::End } else { Step::Wait }
    }
}

/// Takes new callers for a while longer if hardly any other entry does.
async fn stay(shared: &shared::Shared, begin_ms: u64, log: &slog::Logger) {
    let others = shared.live_entries.load(Ordering::Relaxed).saturating_sub(1);
    let mut now_ms = begin_ms;
    while accepts_while_draining(
        begin_ms,
        now_ms,
        shared.serving_peers.load(Ordering::Relaxed),
        others,
    ) {
        shared.accepts_while_draining.store(true, Ordering::Release);
        time::sleep(POLL).await;
        now_ms = clock::boot_ms();
        shared.draining_since_ms.store(now_ms, Ordering::Release);
    }
    if shared.accepts_while_draining.swap(false, Ordering::AcqRel) {
        slog::info!(log, "stayed while few others serve"; "took_ms" => now_ms - begin_ms,
            "others" => others);
    }
}

/// Waits until another entry has this one's counts: they would be on nobody's bill.
async fn deliver_counts(shared: &shared::Shared, end_ms: u64) {
    while !shared.counts_delivered.load(Ordering::Acquire) && clock::boot_ms() < end_ms {
        time::sleep(POLL).await;
    }
}

/// Waits until the entry may end.
pub async fn drain(shared: &shared::Shared, log: &slog::Logger) {
    let begin_ms = clock::boot_ms();
    shared.draining_since_ms.store(begin_ms, Ordering::Release);
    shared.is_draining.store(true, Ordering::Release);
    let mut stop = Stop::begin(begin_ms, shared.settings.stop_s);
    slog::info!(log, "draining"; "limit_ms" => stop.ends.end_ms - begin_ms);
    stay(shared, begin_ms, log).await;
    stop.mark_unready(clock::boot_ms());
    loop {
        let now_ms = clock::boot_ms();
        let active = shared.active.load(Ordering::Acquire);
        let last_request_ms = shared.last_request_ms.load(Ordering::Acquire);
        match stop.step(now_ms, active, last_request_ms) {
            Step::Wait => {}
            Step::Close => shared.is_admission_closed.store(true, Ordering::Release),
            Step::End => {
                deliver_counts(shared, stop.ends.end_ms).await;
                slog::info!(log, "drained"; "left" => active, "took_ms" => now_ms - begin_ms);
                return;
            }
        }
        time::sleep(POLL).await;
    }
}
