//! Logs as JSON lines, the span sink, and the signal to stop.

use std::io;
use std::sync::{Mutex, PoisonError};

use slog::Drain;

use crate::{clock, settings, trace};

/// Lines that wait to be written. What does not fit is counted and said; writing never holds up a
/// request.
const WAITING_LINES: usize = 4096;

/// Where a program's log goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    Stderr,
    Stdout,
}

/// Opens a log of JSON lines. The guard, when dropped, writes what still waits.
pub fn open(daemon: &str, output: Output) -> (slog::Logger, slog_async::AsyncGuard) {
    let writer: Box<dyn io::Write + Send> = match output {
        Output::Stderr => Box::new(io::stderr()),
        Output::Stdout => Box::new(io::stdout()),
    };
    let lines = slog_json::Json::new(writer)
        .add_key_value(keys())
        .set_newlines(true)
        .set_flush(true)
        .build();
    // When whoever reads the log is gone, lines are lost and there is nobody to tell; requests go on.
    let (drain, guard) = slog_async::Async::new(Mutex::new(lines).ignore_res())
        .chan_size(WAITING_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let bounded = Bounded { inner: drain.fuse(), allowance: Mutex::new(Allowance::new()) };
    (slog::Logger::root(bounded.fuse(), slog::o!("daemon" => daemon.to_owned())), guard)
}

/// What each line has beside its own fields and its time.
fn keys() -> slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + 'static> {
    slog::o!(
        "level" => slog::FnValue(|record: &slog::Record<'_>| record.level().as_short_str()),
        "msg" => slog::PushFnValue(|record: &slog::Record<'_>, out| out.emit(record.msg())),
    )
}

/// The process's time of day as a line shows it: RFC 3339 with microseconds, so that lines sort as
/// text.
fn stamp() -> String {
    const LAYOUT: &[time::format_description::BorrowedFormatItem<'_>] = time::macros::format_description!(
        "[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:6]Z"
    );
    let unix_us = i128::from(clock::time_of_day().unix_us());
    let at = time::OffsetDateTime::from_unix_timestamp_nanos(unix_us * 1_000);
    at.ok().and_then(|at| at.format(LAYOUT).ok()).unwrap_or_default()
}

/// Lines a second of requests that end well. An entry at its processor's limit serves about 150
/// requests a second with two such lines each.
const WELL_PER_S: u64 = 400;
/// Lines a second of all else: what fails, and what changes. They have an allowance of their own, so
/// that requests that end well never displace them.
const OTHER_PER_S: u64 = 400;
/// Seconds of lines that may come at once.
const BURST_S: u64 = 3;
/// How often what was left out is said.
const SAY_MS: u64 = 1_000;

/// How many lines may still be written.
#[derive(Debug)]
struct Allowance {
    well: Bucket,
    other: Bucket,
    left_out: u64,
    said_ms: u64,
}

#[derive(Debug)]
struct Bucket {
    lines: u64,
    per_s: u64,
    filled_ms: u64,
}

impl Bucket {
    fn new(per_s: u64) -> Self {
        Self { lines: per_s * BURST_S, per_s, filled_ms: clock::boot_ms() }
    }

    fn take(&mut self, now_ms: u64) -> bool {
        let new = now_ms.saturating_sub(self.filled_ms) * self.per_s / 1_000;
        if new > 0 {
            self.lines = (self.lines + new).min(self.per_s * BURST_S);
            self.filled_ms = now_ms;
        }
        let has_one = self.lines > 0;
        self.lines -= u64::from(has_one);
        has_one
    }
}

impl Allowance {
    fn new() -> Self {
        Self {
            well: Bucket::new(WELL_PER_S),
            other: Bucket::new(OTHER_PER_S),
            left_out: 0,
            said_ms: 0,
        }
    }

    /// Whether a line of this level may be written.
    fn admit(&mut self, level: slog::Level, now_ms: u64) -> bool {
        let bucket =
            if level.is_at_least(slog::Level::Info) { &mut self.other } else { &mut self.well };
        let admitted = bucket.take(now_ms);
        self.left_out += u64::from(!admitted);
        admitted
    }

    /// How many lines were left out, when it is time to say so.
    fn due_report(&mut self, now_ms: u64) -> Option<u64> {
        if self.left_out == 0 || now_ms < self.said_ms + SAY_MS {
            return None;
        }
        self.said_ms = now_ms;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// Bounds the lines a second.
struct Bounded<D> {
    inner: D,
    allowance: Mutex<Allowance>,
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for Bounded<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let now_ms = clock::boot_ms();
        let (admitted, left_out) = {
            let mut allowance = self.allowance.lock().unwrap_or_else(PoisonError::into_inner);
            (allowance.admit(record.level(), now_ms), allowance.due_report(now_ms))
        };
        if let Some(left_out) = left_out {
            metrics::counter!("briarwinch_log_lines_left_out_total").increment(left_out);
            self.inner.log(
                &slog::record!(
                    slog::Level::Warning,
                    "",
                    &format_args!("lines left out"),
                    slog::b!("count" => left_out)
                ),
                values,
            )?;
        }
        if !admitted {
            return Ok(());
        }
        // Taken here, on the thread that logs: a writer that is behind would give its own time.
        let stamped = (slog::SingleKV("ts", stamp()), record.kv());
        let origin = slog::RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        self.inner
            .log(&slog::Record::new(&origin, record.msg(), slog::BorrowedKV(&stamped)), values)
    }
}

/// Where a daemon's spans go.
#[must_use]
pub fn span_sink(settings: &settings::Daemon) -> trace::Sink {
    trace::Sink { on: settings.traces == settings::Traces::Lines, daemon: settings.id.to_string() }
}

/// Waits until the process is asked to stop. Listens from the call on: until then a signal ends the process.
pub fn stop_signal() -> impl Future<Output = ()> {
    use tokio::signal::unix::{SignalKind, signal};
    let listening = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    async move {
        let (Ok(mut terminate), Ok(mut interrupt)) = listening else {
            // Without handlers the process still ends by the signals themselves, only not gently.
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}
