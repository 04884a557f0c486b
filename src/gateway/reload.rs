//! Follows the settings file: after a hang-up signal, and from time to time, since it may change
//! without one. Addresses and names hold for a process's life; the retry budget may change.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time;

use super::{settings, shared};
use crate::settings as files;

/// How often the file is read without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Listens for hang-up signals from now on: until then one ends the process.
pub fn hangup_signals(log: &slog::Logger) -> Option<Signal> {
    signal(SignalKind::hangup())
        .inspect_err(|error| {
            slog::error!(log, "hang-up signals are not seen"; "error" => error.to_string());
        })
        .ok()
}

/// Follows the file for as long as the process lives.
pub async fn follow(
    shared: Arc<shared::Shared>,
    file: PathBuf,
    mut hangup_signals: Option<Signal>,
    log: slog::Logger,
) {
    let mut known = shared.settings.clone();
    loop {
        let hung_up = match &mut hangup_signals {
            Some(hangup_signals) => time::timeout(LOOK, hangup_signals.recv()).await.is_ok(),
            None => {
                time::sleep(LOOK).await;
                false
            }
        };
        take(&shared, &file, &log, &mut known, hung_up);
    }
}

fn take(
    shared: &shared::Shared,
    file: &Path,
    log: &slog::Logger,
    known: &mut settings::Gateway,
    hung_up: bool,
) {
    let settings: settings::Gateway = match files::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            slog::error!(log, "settings not taken"; "error" => format!("{error:#}"));
            return;
        }
    };
    let is_changed = settings != *known;
    if is_changed || hung_up {
        slog::info!(log, "settings read"; "changed" => is_changed, "signal" => hung_up);
        *shared.retries() = settings.retries;
        *known = settings;
    }
}
