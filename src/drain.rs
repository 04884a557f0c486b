//! Decisions of a planned stop, for each program that serves callers: the times follow from the stop signal alone,
//! admission closes before the exit is decided, and what has no answer shortly before it gets a final one.
//!
//! [`Stop`] and [`Deadlines`] do no I/O and read no clock. [`Progress`] is what the threads of an entry share.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use crate::{clock, durations, error};

/// Interval at which a stop checks whether all requests have ended.
pub(crate) const POLL: Duration = Duration::from_millis(20);
/// How long the load balancer may still send new callers: it probes once a second and removes an entry
/// after two failed probes, and a caller that it sent just before that still connects.
const DEREGISTRATION_MS: u64 = 2_600;
/// Idle time before the exit. Callers with an open connection have been informed in their last response
/// that it closes.
const IDLE_MS: u64 = 600;
/// Margin before the process is killed, within which it exits by itself.
const EXIT_MARGIN_MS: u64 = 200;
/// Latest time after the stop signal at which a stream is admitted: the rest of the stop is left for it.
const LAST_STREAM_MS: u64 = 2_900;
/// Longest time for which a stopping entry accepts new callers while few other entries serve. The load
/// balancer takes two more seconds to notice, and a stopping entry must be out of its rotation within
/// four seconds.
const MAX_ACCEPT_MS: u64 = 1_800;
/// Mean duration of streams before any has ended.
const PRIOR_MEAN_MS: u64 = 1_000;
/// Duration that few streams exceed before any has ended.
const PRIOR_UPPER_MS: u64 = 2_000;
/// How long before the exit no new request is admitted; callers on open connections are informed that
/// their request did not run. Without this the exit would cut off a request that had just been forwarded.
const CLOSED_ADMISSION_MS: u64 = 900;
/// Idle time before the exit once admission is closed; long enough for a refusal to be sent.
const CLOSED_IDLE_MS: u64 = 100;
/// How long before the exit requests without an answer get a final one: enough for a busy process to write
/// them all.
const FINAL_ANSWERS_MS: u64 = 300;
/// How long before the exit streams end that are still being sent.
const END_STREAMS_MS: u64 = 60;

/// Retry delay for callers refused by a stopping entry. It is short, since the next attempt reaches another entry.
const RETRY_MS: u32 = 50;

/// The refusal of a request that a stopping entry did not run.
#[must_use]
pub fn refusal() -> error::Refusal {
    error::Refusal::not_run(error::Kind::Draining).retry_after_ms(RETRY_MS)
}

/// How far a stop has come. Each phase includes the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    #[default]
    Serving,
    Draining,
    /// No new request is admitted.
    Closed,
    /// Requests without an answer get a final one.
    FinalAnswers,
    /// Streams that are still being sent end.
    EndStreams,
}

/// Times of a stop on the boot clock. They follow from the stop signal alone and do not move.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Whether few other entries served at the signal. An entry that others can stand in for leaves soon, so that
    /// it is back before the last ones of a rolling restart leave.
    is_among_last: bool,
    signal_ms: u64,
    close_ms: u64,
    pub(crate) end_ms: u64,
}

impl Deadlines {
    /// Returns the times of a stop that was requested now, when `others` were the other entries; the process is
    /// killed after `stop_s`.
    #[must_use]
    pub fn of(signal_ms: u64, stop_s: f64, others: Others) -> Self {
        let end_ms =
            signal_ms.saturating_add((stop_s * 1_000.0) as u64).saturating_sub(EXIT_MARGIN_MS);
        Self {
            is_among_last: others.few_serve(),
            signal_ms,
            close_ms: end_ms.saturating_sub(CLOSED_ADMISSION_MS),
            end_ms,
        }
    }

    /// Returns the time since the stop signal.
    #[must_use]
    pub fn stopping_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.signal_ms)
    }

    /// Returns whether the entry still accepts new callers.
    ///
    /// Otherwise the last entry of a rolling restart would send all callers to the one entry that is back, and
    /// a fault of that entry would affect all of them.
    #[must_use]
    pub fn accepts_new_callers(&self, others: Others, now_ms: u64) -> bool {
        self.stopping_ms(now_ms) < MAX_ACCEPT_MS && others.count > 0 && others.few_serve()
    }

    /// Returns whether a request that takes `took_ms` from now on is answered before the last requests get
    /// a final answer.
    fn has_time_for(&self, took_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_add(took_ms) <= self.end_ms.saturating_sub(FINAL_ANSWERS_MS)
    }

    /// Returns whether a stream with this expected run, if it is known, is admitted now, where `streams` are the
    /// durations of its service's streams and `others` the entries that could take it instead.
    ///
    /// While few others serve, as at the signal, a refused caller probably gets nothing, so a stream is admitted if
    /// one of mean duration ends before the exit. Otherwise also a long one has to end before it, and the stream must
    /// not delay the stop. Its own run counts for no more than the mean then, since urgent prompts have the highest
    /// output limits, which most streams do not reach, and for the mean if it is unknown.
    #[must_use]
    pub fn admits_stream(
        &self,
        run_ms: Option<u64>,
        streams: &durations::Durations,
        others: Others,
        now_ms: u64,
    ) -> bool {
        let mean_ms = streams.mean_ms().unwrap_or(PRIOR_MEAN_MS);
        if self.stopping_ms(now_ms) >= LAST_STREAM_MS {
            return false;
        }
        if self.is_among_last && others.few_serve() {
            return self.has_time_for(mean_ms, now_ms);
        }
        self.has_time_for(streams.upper_ms().unwrap_or(PRIOR_UPPER_MS), now_ms)
            && !delays_stop(self.signal_ms, now_ms, run_ms.unwrap_or(mean_ms).min(mean_ms))
    }

    /// Returns whether a request with a single response is admitted now. One that may run only once and
    /// is cut off leaves its caller without knowing the outcome.
    #[must_use]
    pub fn admits_call(
        &self,
        calls: &durations::Durations,
        latency_target_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.has_time_for(calls.upper_ms().unwrap_or(latency_target_ms), now_ms)
    }
}

/// Returns whether a stream that begins now and runs for `run_ms` would delay a stop that began at
/// `since_ms`.
///
/// In a rolling restart each entry waits for its longest stream. If long streams could begin during a stop,
/// all entries would be stopping at the same time and none would serve.
#[must_use]
pub fn delays_stop(since_ms: u64, now_ms: u64, run_ms: u64) -> bool {
    now_ms.saturating_add(run_ms) >= since_ms.saturating_add(DEREGISTRATION_MS)
}

/// The other entries of the fleet, as known to this one; by default none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Others {
    pub count: usize,
    /// Those that are not stopping.
    pub serving: usize,
}

impl Others {
    /// Whether a caller who is sent elsewhere probably meets another stopping entry, or none.
    fn few_serve(self) -> bool {
        self.serving == 0 || self.serving * 2 < self.count
    }
}

/// When the last requests arrived, in milliseconds on the boot clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastArrivals {
    pub any_ms: u64,
    /// The last one that was not refused for the stop.
    pub admitted_ms: u64,
}

/// Next action of a stopping entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Wait,
    /// Close admission, then continue to call [`Stop::step`].
    Close,
    /// Answer the requests that have no answer yet, then continue to call [`Stop::step`].
    AnswerAll,
    /// End the streams that are still being sent, then continue to call [`Stop::step`].
    EndStreams,
    End,
}

/// State machine of a stop in progress. It does no I/O and reads no clock.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    begin_ms: u64,
    pub(crate) deadlines: Deadlines,
    idle_since_ms: u64,
    phase: Phase,
}

impl Stop {
    /// Begins a stop that was requested now; the process is killed after `stop_s`.
    #[must_use]
    pub fn begin(now_ms: u64, stop_s: f64, others: Others) -> Self {
        let deadlines = Deadlines::of(now_ms, stop_s, others);
        Self { begin_ms: now_ms, deadlines, idle_since_ms: now_ms, phase: Phase::Draining }
    }

    /// Notes that the entry reports itself unready to the load balancer from now on.
    pub fn mark_unready(&mut self, now_ms: u64) {
        self.begin_ms = now_ms;
        self.idle_since_ms = now_ms;
    }

    /// Returns the next action, with `active` requests in flight.
    ///
    /// Admission always closes before the exit is decided. A request admitted between that decision and the
    /// exit would be sent to an endpoint and cut off. No phase is skipped, however late this is called.
    ///
    /// Requests that are refused do not delay the close: their callers would hold the entry that refuses them. They
    /// delay the exit after it, so that each gets its refusal.
    pub fn step(&mut self, now_ms: u64, active: u32, last: LastArrivals) -> Step {
        if active > 0 {
            self.idle_since_ms = now_ms;
        }
        let last_ms = match self.phase {
            Phase::Serving | Phase::Draining => last.admitted_ms,
            Phase::Closed | Phase::FinalAnswers | Phase::EndStreams => last.any_ms,
        };
        let idle_ms = now_ms.saturating_sub(self.idle_since_ms.max(last_ms));
        let is_idle = idle_ms >= IDLE_MS && now_ms - self.begin_ms >= DEREGISTRATION_MS;
        let left_ms = self.deadlines.end_ms.saturating_sub(now_ms);
        match self.phase {
            Phase::Serving | Phase::Draining if is_idle || now_ms >= self.deadlines.close_ms => {
                self.phase = Phase::Closed;
                self.idle_since_ms = now_ms;
                Step::Close
            }
            Phase::Serving | Phase::Draining => Step::Wait,
            _ if idle_ms >= CLOSED_IDLE_MS => Step::End,
            Phase::Closed if left_ms <= FINAL_ANSWERS_MS => {
                self.phase = Phase::FinalAnswers;
                Step::AnswerAll
            }
            Phase::FinalAnswers if left_ms <= END_STREAMS_MS => {
                self.phase = Phase::EndStreams;
                Step::EndStreams
            }
            Phase::EndStreams if left_ms == 0 => Step::End,
            Phase::Closed | Phase::FinalAnswers | Phase::EndStreams => Step::Wait,
        }
    }
}

/// Requests in flight and the progress of a stop, shared by the threads of an entry.
#[derive(Debug, Default)]
pub struct Progress {
    /// Number of requests in flight.
    pub active: AtomicU32,
    /// Parts of [`LastArrivals`].
    last_any_ms: AtomicU64,
    last_admitted_ms: AtomicU64,
    phase: watch::Sender<Phase>,
    /// Times of the stop in progress; unset if the entry is not stopping.
    deadlines: OnceLock<Deadlines>,
}

impl Progress {
    /// Begins a stop. Only the first call has an effect on its times.
    pub fn begin(&self, deadlines: Deadlines) {
        self.deadlines.get_or_init(|| deadlines);
        self.enter(Phase::Draining);
    }

    fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Notes that a request has arrived.
    pub fn record_arrival(&self, now_ms: u64) {
        self.last_any_ms.store(now_ms, Ordering::Release);
    }

    /// Notes that a request that has arrived is not refused for the stop.
    pub fn record_admission(&self, now_ms: u64) {
        self.last_admitted_ms.store(now_ms, Ordering::Release);
    }

    fn last_arrivals(&self) -> LastArrivals {
        LastArrivals {
            any_ms: self.last_any_ms.load(Ordering::Acquire),
            admitted_ms: self.last_admitted_ms.load(Ordering::Acquire),
        }
    }

    /// Waits until a stop has come to this phase.
    pub async fn phase_reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // The sender lives as long as this state.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Waits for the end of `work`; returns `None` if a stop comes to this phase before.
    pub async fn until<T>(&self, phase: Phase, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.phase_reached(phase) => None,
        }
    }

    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() >= Phase::Draining
    }

    /// Returns whether no new request is admitted because the process is about to exit.
    #[must_use]
    pub fn is_admission_closed(&self) -> bool {
        *self.phase.borrow() >= Phase::Closed
    }

    /// Returns the times of the stop in progress; `None` if the entry is not stopping.
    #[must_use]
    pub fn deadlines(&self) -> Option<&Deadlines> {
        self.deadlines.get()
    }

    /// Returns the time since the stop signal; `None` if the entry is not stopping.
    #[must_use]
    pub fn stopping_ms(&self) -> Option<u64> {
        self.deadlines().map(|stop| stop.stopping_ms(clock::boot_ms()))
    }

    /// Goes through the phases of a stop until the process may exit; returns the number of requests that are left.
    pub async fn finish(&self, mut stop: Stop, log: &slog::Logger) -> u32 {
        loop {
            let active = self.active.load(Ordering::Acquire);
            match stop.step(clock::boot_ms(), active, self.last_arrivals()) {
                Step::Wait => {}
                Step::Close => self.enter(Phase::Closed),
                Step::AnswerAll => {
                    slog::info!(log, "answering requests in flight before the exit"; "left" => active);
                    self.enter(Phase::FinalAnswers);
                }
                Step::EndStreams => self.enter(Phase::EndStreams),
                Step::End => return active,
            }
            time::sleep(POLL).await;
        }
    }
}
