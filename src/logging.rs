//! The log as rate-limited JSON lines, the destination of trace spans, and the stop signal.

use std::io;
use std::sync::{Mutex, PoisonError};

use slog::Drain;

use crate::{clock, settings, trace};

/// Capacity of the queue of lines to be written. Lines beyond it are dropped, counted and reported, so
/// that writing never delays a request.
const QUEUED_LINES: usize = 4096;

/// Destination of a program's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    Stderr,
    Stdout,
}

/// Opens a log of JSON lines. Dropping the guard flushes the queued lines.
pub fn open(daemon: &str, output: Output) -> (slog::Logger, slog_async::AsyncGuard) {
    let writer: Box<dyn io::Write + Send> = match output {
        Output::Stderr => Box::new(io::stderr()),
        Output::Stdout => Box::new(io::stdout()),
    };
    let lines = slog_json::Json::new(writer)
        .add_key_value(common_fields())
        .set_newlines(true)
        .set_flush(true)
        .build();
    // If the log's reader is gone, lines are lost and can't be reported; requests continue.
    let (drain, guard) = slog_async::Async::new(Mutex::new(lines).ignore_res())
        .chan_size(QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let limited = RateLimited { inner: drain.fuse(), limiter: Mutex::new(RateLimiter::new()) };
    (slog::Logger::root(limited.fuse(), slog::o!("daemon" => daemon.to_owned())), guard)
}

/// Fields of each line besides its own fields and its time.
fn common_fields() -> slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + 'static> {
    slog::o!(
        "level" => slog::FnValue(|record: &slog::Record<'_>| record.level().as_short_str()),
        "msg" => slog::PushFnValue(|record: &slog::Record<'_>, out| out.emit(record.msg())),
    )
}

/// Formats the process's time of day for a line: RFC 3339 with microseconds, so that lines sort as
/// text.
fn timestamp() -> String {
    const LAYOUT: &[time::format_description::BorrowedFormatItem<'_>] = time::macros::format_description!(
        "[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:6]Z"
    );
    let unix_us = i128::from(clock::time_of_day().unix_us());
    let at = time::OffsetDateTime::from_unix_timestamp_nanos(unix_us * 1_000);
    at.ok().and_then(|at| at.format(LAYOUT).ok()).unwrap_or_default()
}

/// Limit on lines below level info, which requests that end well write. An entry at its processor's
/// limit serves about 150 requests per second with two such lines each.
const ROUTINE_LINES_PER_S: u64 = 400;
/// Limit on all other lines: failures and changes of state. They have a token bucket of their own, so
/// that requests that end well never displace them.
const OTHER_LINES_PER_S: u64 = 400;
/// Capacity of each token bucket, in seconds of its rate.
const BURST_S: u64 = 3;
/// Interval at which the number of dropped lines is reported.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Rate limiter for lines: one token bucket for routine lines and one for all others.
#[derive(Debug)]
struct RateLimiter {
    routine: Bucket,
    other: Bucket,
    dropped: u64,
    reported_ms: u64,
}

/// Token bucket; a token is one line.
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
        let has_token = self.lines > 0;
        self.lines -= u64::from(has_token);
        has_token
    }
}

impl RateLimiter {
    fn new() -> Self {
        Self {
            routine: Bucket::new(ROUTINE_LINES_PER_S),
            other: Bucket::new(OTHER_LINES_PER_S),
            dropped: 0,
            reported_ms: 0,
        }
    }

    /// Whether a line of this level may be written.
    fn admit(&mut self, level: slog::Level, now_ms: u64) -> bool {
        let bucket =
            if level.is_at_least(slog::Level::Info) { &mut self.other } else { &mut self.routine };
        let admitted = bucket.take(now_ms);
        self.dropped += u64::from(!admitted);
        admitted
    }

    /// Number of lines dropped since the last report, if a report is due.
    fn due_report(&mut self, now_ms: u64) -> Option<u64> {
        if self.dropped == 0 || now_ms < self.reported_ms + REPORT_INTERVAL_MS {
            return None;
        }
        self.reported_ms = now_ms;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Log drain that limits the number of lines per second.
struct RateLimited<D> {
    inner: D,
    limiter: Mutex<RateLimiter>,
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let now_ms = clock::boot_ms();
        let (admitted, dropped) = {
            let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
            (limiter.admit(record.level(), now_ms), limiter.due_report(now_ms))
        };
        if let Some(dropped) = dropped {
            metrics::counter!("briarwinch_log_lines_left_out_total").increment(dropped);
            self.inner.log(
                &slog::record!(
                    slog::Level::Warning,
                    "",
                    &format_args!("lines left out"),
                    slog::b!("count" => dropped)
                ),
                values,
            )?;
        }
        if !admitted {
            return Ok(());
        }
        // The time is taken on the logging thread: a writer that lags would put in a later one.
        let with_time = (slog::SingleKV("ts", timestamp()), record.kv());
        let origin = slog::RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        self.inner
            .log(&slog::Record::new(&origin, record.msg(), slog::BorrowedKV(&with_time)), values)
    }
}

/// Returns the destination of a daemon's spans.
#[must_use]
pub fn span_sink(settings: &settings::Daemon) -> trace::Sink {
    trace::Sink {
        enabled: settings.traces == settings::Traces::Lines,
        daemon: settings.id.to_string(),
    }
}

/// Waits for the signal to stop. The handlers are installed at the call; before it, a signal ends the
/// process immediately.
pub fn stop_signal() -> impl Future<Output = ()> {
    use tokio::signal::unix::{SignalKind, signal};
    let listening = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    async move {
        let (Ok(mut terminate), Ok(mut interrupt)) = listening else {
            // Without handlers the signals still end the process, but without a graceful stop.
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}
