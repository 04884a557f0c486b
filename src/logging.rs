//! Logs as JSON lines, the span sink, and the signal to stop.

use std::io;
use std::sync::Mutex;

use slog::Drain;

use crate::{settings, trace};

/// Opens a log of JSON lines on standard error.
pub fn open(daemon: &str) -> slog::Logger {
    let lines = slog_json::Json::new(io::stderr())
        .add_default_keys()
        .set_newlines(true)
        .set_flush(true)
        .build();
    let drain = slog_async::Async::new(Mutex::new(lines).fuse())
        .chan_size(4096)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    let daemon = daemon.to_owned();
    slog::Logger::root(drain.fuse(), slog::o!("daemon" => daemon))
}

/// Where a daemon's spans go.
#[must_use]
pub fn span_sink(settings: &settings::Daemon) -> trace::Sink {
    trace::Sink { on: settings.traces == settings::Traces::Lines, daemon: settings.id.to_string() }
}

/// Waits until the process is asked to stop.
pub async fn stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        // Without handlers the process still ends by the signals themselves, only not gently.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
