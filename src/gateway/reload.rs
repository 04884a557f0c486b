//! Reloads the settings file on a hang-up signal, and at a fixed interval since it may change without one.
//! Only the retry budget takes effect at run time; addresses and names need a restart.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time;

use super::{settings, shared};
use crate::settings as files;

/// Interval at which the file is read without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Installs the handler for hang-up signals. Before this call such a signal ends the process.
pub fn hangup_signals(log: &slog::Logger) -> Option<Signal> {
    signal(SignalKind::hangup())
        .inspect_err(|error| {
            slog::error!(log, "cannot handle hang-up signals"; "error" => error.to_string());
        })
        .ok()
}

/// Reloads the file for as long as the process lives.
pub async fn follow(
    shared: Arc<shared::Shared>,
    file: PathBuf,
    mut hangup_signals: Option<Signal>,
    log: slog::Logger,
) {
    let mut known = shared.settings.clone();
    loop {
        let is_signaled = match &mut hangup_signals {
            Some(hangup_signals) => {
                time::timeout(POLL_INTERVAL, hangup_signals.recv()).await.is_ok()
            }
            None => {
                time::sleep(POLL_INTERVAL).await;
                false
            }
        };
        reload(&shared, &file, &log, &mut known, is_signaled);
    }
}

fn reload(
    shared: &shared::Shared,
    file: &Path,
    log: &slog::Logger,
    known: &mut settings::Gateway,
    is_signaled: bool,
) {
    let settings: settings::Gateway = match files::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            slog::error!(log, "settings file rejected"; "error" => format!("{error:#}"));
            return;
        }
    };
    let is_changed = settings != *known;
    if is_changed || is_signaled {
        slog::info!(log, "settings read"; "changed" => is_changed, "signal" => is_signaled);
        *shared.retries() = settings.retries;
        *known = settings;
    }
}
