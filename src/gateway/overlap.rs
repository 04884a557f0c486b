//! The time in which a request may be at two endpoints: one that is silent, and one that may take it over.

use std::cell::Cell;
use std::time::Duration;

use tokio::time;

/// Maximum time for which a silent endpoint keeps a request that another one has received. A refusal arrives within
/// it.
const MAX_OVERLAP_MS: u64 = 250;
/// Interval at which this time is checked.
const POLL: Duration = Duration::from_millis(20);

/// Runs `send`, which sends a request to another endpoint and sets `sent_ms` once it has done so. The silent endpoint
/// keeps the request until that one responds, but not for long once it has the request: two endpoints would work on
/// it. Dropping `silent` closes the connection. `None` if the silent endpoint has responded first.
pub(super) async fn send_beside<T, S>(
    silent: &mut Option<S>,
    sent_ms: &Cell<Option<u64>>,
    now_ms: impl Fn() -> u64,
    has_responded: impl Fn(&S) -> bool,
    send: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(send);
    while let Some(one) = silent.as_ref() {
        if let Ok(result) = time::timeout(POLL, &mut send).await {
            return Some(result);
        }
        if has_responded(one) {
            return None;
        }
        if sent_ms.get().is_some_and(|sent_ms| now_ms() >= sent_ms + MAX_OVERLAP_MS) {
            *silent = None;
        }
    }
    Some(send.await)
}
