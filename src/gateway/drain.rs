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
pub(super) const TURN_AWAY_MS: u64 = 2_600;
/// How long no request has been under way before the end: callers that keep a connection have been
/// told with their last answer that it closes.
const QUIET_MS: u64 = 600;
/// What is kept of the time to the kill, to end by itself.
const SPARE_MS: u64 = 500;

/// Waits until the entry may end.
pub async fn drain(shared: &shared::Shared, log: &slog::Logger) {
    let begin_ms = clock::boot_ms();
    shared.draining_since_ms.store(begin_ms, Ordering::Release);
    shared.is_draining.store(true, Ordering::Release);
    let limit_ms = ((shared.settings.stop_s * 1_000.0) as u64).saturating_sub(SPARE_MS);
    slog::info!(log, "draining"; "limit_ms" => limit_ms);
    let mut quiet_since_ms = begin_ms;
    loop {
        let now_ms = clock::boot_ms();
        let active = shared.active.load(Ordering::Acquire);
        if active > 0 {
            quiet_since_ms = now_ms;
        }
        let is_quiet = now_ms - quiet_since_ms >= QUIET_MS && now_ms - begin_ms >= TURN_AWAY_MS;
        if is_quiet || now_ms - begin_ms >= limit_ms {
            slog::info!(log, "drained"; "left" => active, "took_ms" => now_ms - begin_ms);
            return;
        }
        time::sleep(POLL).await;
    }
}
