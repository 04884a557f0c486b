//! Follows a topic of the store: lists it once, then watches it, and lists it again when the store no longer
//! has the history.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use super::control::{Batch, Control, Item, Platform, Topic, UpdateSource, WatchFailure};
use super::evacuation;
use super::policy::outage;
use crate::store;

/// Interval at which an entry that does not read the store checks whether it has to.
const STANDBY_CHECK: Duration = Duration::from_millis(400);
/// Pause after a change of endpoints, so that a burst of changes costs one call. The delay does no harm:
/// endpoints that leave keep serving for seconds after they announce it.
const COALESCE: Duration = Duration::from_millis(300);
/// The same while records that disappear are kept: the grace period counts from when that is seen.
const COALESCE_KEPT: Duration = Duration::from_millis(100);
/// A change that a watch returns after waiting at least this long has just happened: earlier changes are
/// returned immediately, also by a slow store.
const LIVE_MS: u64 = 500;
/// Time after its start before an entry knows whether others read the store.
const DISCOVERY_MS: u64 = 600;

/// Interval between two probes of the store by a reader.
const PROBE: Duration = Duration::from_millis(500);
/// Time within which operators write again after the store has come back from an older copy.
const REWRITE_EVACUATIONS_MS: u64 = 10_000;

/// Probes the store while this entry reads it, for as long as the process lives.
///
/// A waiting watch cannot distinguish a store without changes from one that has stopped answering this
/// instance. If that happened to all readers at the same time, no other entry would take over until the
/// watches time out, and changes would take effect too late everywhere.
pub(super) async fn probe<P: Platform>(control: Rc<Control<P>>) {
    let mut era = None;
    loop {
        time::sleep(PROBE).await;
        // Any call of this entry may have learned the era.
        if era.replace(control.platform.era()) != Some(control.platform.era()) {
            control.store_restored.notify_waiters();
        }
        if !control.reads_store() || !control.is_store_available() {
            continue;
        }
        let called_ms = control.now_ms();
        match control.platform.probe().await {
            Ok(()) => control.store_answered_ms.set(called_ms),
            Err(failure) => {
                slog::info!(control.log, "store gives no sign of life";
                    "failure" => failure.to_string());
                control.store_silent.notify_waiters();
            }
        }
    }
}

/// Follows a topic for as long as the process lives.
pub(super) async fn follow<P: Platform>(control: Rc<Control<P>>, topic: Topic) {
    let mut from = None;
    let mut has_listed = false;
    let leave_ms = control.shared.settings.leave_ms;
    let mut outage = outage::StoreOutage::new(leave_ms);
    let mut known_era = None;
    // When to list again after the store has come back from an older copy.
    let mut relist_ms: Option<u64> = None;
    loop {
        // Each entry reads the topic once by itself: what peers send at its start may be outdated.
        let is_discovering = control.shared.time.age_ms() < DISCOVERY_MS;
        if from.is_some() && (is_discovering || !control.reads_store()) {
            control.record_store_outcome(topic, true);
            // A past outage does not explain endpoints that are missing when this entry reads again.
            outage = outage::StoreOutage::new(leave_ms);
            time::sleep(STANDBY_CHECK).await;
            continue;
        }
        let called_ms = control.now_ms();
        let mut wait_ms = outage.watch_wait_ms(called_ms);
        if let Some(at_ms) = relist_ms {
            wait_ms = wait_ms.min(at_ms.saturating_sub(called_ms).max(1));
            if called_ms >= at_ms {
                relist_ms = None;
                from = None;
            }
        }
        let result = match from {
            None => control.platform.list_all(topic).await.map_err(WatchFailure::Failed),
            Some(revision) => tokio::select! {
                result = control.platform.watch(topic, revision, wait_ms) => result,
                () = control.store_silent.notified() => Err(WatchFailure::Failed(store::Failure::NoAnswer)),
                () = wait_for_restore(&control, revision) => Err(WatchFailure::HistoryGone),
            },
        };
        let now_ms = control.now_ms();
        let is_good = !matches!(result, Err(WatchFailure::Failed(_)));
        control.record_store_outcome(topic, is_good);
        if is_good {
            control.store_answered_ms.set(now_ms);
        }
        match result {
            Ok(batch) => {
                if let Some(away_ms) = outage.record_answer(now_ms) {
                    slog::info!(control.log, "store regained"; "topic" => format!("{topic:?}"),
                        "away_ms" => away_ms);
                }
                let is_list = from.is_none();
                let era = store::Era::of(batch.revision);
                let is_restored = known_era.replace(era).is_some_and(|known| known < era);
                if is_restored {
                    slog::info!(control.log, "list of a new era"; "topic" => format!("{topic:?}"),
                        "era" => era.0);
                    outage.record_restored(now_ms);
                    relist_ms = rewrite_ms(topic).map(|rewrite_ms| now_ms + rewrite_ms);
                }
                if !has_listed {
                    has_listed = true;
                    control.topics_to_list.set(control.topics_to_list.get() - 1);
                }
                from = Some(batch.revision);
                let has_changes = !is_list && !batch.items.is_empty();
                let origin = Origin {
                    is_list,
                    is_restored,
                    is_live: !is_list && now_ms >= called_ms + LIVE_MS,
                    keep_until_ms: outage.keep_missing_until_ms(now_ms),
                    source: match outage.is_over(now_ms) {
                        true => UpdateSource::SoundStore,
                        false => UpdateSource::RecoveringStore,
                    },
                };
                apply(&control, topic, batch, origin);
                if topic == Topic::Endpoints && has_changes {
                    let is_kept = origin.keep_until_ms.is_some();
                    time::sleep(if is_kept { COALESCE_KEPT } else { COALESCE }).await;
                }
            }
            Err(WatchFailure::HistoryGone) => {
                slog::info!(control.log, "history gone, listing again"; "topic" => format!("{topic:?}"));
                from = None;
            }
            Err(WatchFailure::Failed(failure)) => {
                if !outage.is_down() {
                    slog::warn!(control.log, "store lost"; "topic" => format!("{topic:?}"),
                        "failure" => failure.to_string());
                }
                if failure == store::Failure::Conflict {
                    from = None;
                }
                // An entry that has not listed the topic yet cannot serve, so it retries at the full rate.
                let is_standby = has_listed && control.is_standby_reader();
                let pause_ms = match failure {
                    store::Failure::Throttled => {
                        outage.record_refusal(now_ms, is_standby, &mut rand::rng())
                    }
                    store::Failure::Conflict | store::Failure::NoAnswer | store::Failure::Down => {
                        outage.record_failure(now_ms, is_standby, &mut rand::rng())
                    }
                };
                let pause = Duration::from_millis(pause_ms);
                if has_listed {
                    control.wait_to_retry(topic, pause).await;
                } else {
                    time::sleep(pause).await;
                }
            }
        }
    }
}

/// Waits until the store is known to be in another era than this version.
async fn wait_for_restore<P: Platform>(control: &Control<P>, version: u64) {
    while control.platform.era() == store::Era::of(version) {
        control.store_restored.notified().await;
    }
}

/// Returns the time after which what is missing in the store has not been written again.
fn rewrite_ms(topic: Topic) -> Option<u64> {
    match topic {
        // The configuration has a version of its own.
        Topic::Config => None,
        Topic::Endpoints => Some(outage::LAPSE_GRACE_MS),
        Topic::Evacuations => Some(REWRITE_EVACUATIONS_MS),
    }
}

/// How a batch was obtained.
#[derive(Clone, Copy, Debug)]
struct Origin {
    is_list: bool,
    /// Whether it is the first list of a new era of the store.
    is_restored: bool,
    /// Whether a watch waited for it, so that the changes have just happened.
    is_live: bool,
    /// Time until which a missing endpoint is kept.
    keep_until_ms: Option<u64>,
    source: UpdateSource,
}

fn apply<P: Platform>(control: &Control<P>, topic: Topic, batch: Batch, origin: Origin) {
    let revision = batch.revision;
    let Origin { is_list, is_restored, is_live, keep_until_ms, source } = origin;
    match topic {
        Topic::Config => {
            for item in batch.items {
                if let Item::Config(parts) = item {
                    control.apply_config(*parts, "store");
                }
            }
        }
        Topic::Endpoints => control.update_directory(source, |directory| {
            let now_ms = control.now_ms();
            let events = batch.items.into_iter().filter_map(|item| match item {
                Item::Endpoint(event) => Some(event),
                Item::Config(_) | Item::Evacuation(_) => None,
            });
            let is_changed = if is_list {
                directory.list(events.collect(), revision, keep_until_ms, now_ms)
            } else {
                directory.apply_events(events, revision, keep_until_ms, now_ms)
            };
            is_changed | directory.expire(now_ms)
        }),
        Topic::Evacuations => control.update_evacuations("store", |evacuations| {
            let changes = batch.items.into_iter().filter_map(|item| match item {
                Item::Evacuation(change) => Some(change),
                Item::Config(_) | Item::Endpoint(_) => None,
            });
            let now_ms = control.now_ms();
            if is_list {
                let zones = changes.filter_map(|change| match change {
                    evacuation::Change::Evacuated(zone) => Some(zone),
                    evacuation::Change::Restored(_) => None,
                });
                return match is_restored {
                    true => evacuations.restore(zones, revision, now_ms),
                    false => evacuations.replace(zones, revision, now_ms),
                };
            }
            let allowed_ms = control.shared.settings.evacuation_ms.filter(|_| is_live);
            let left_ms = evacuation::leave_ms(allowed_ms.unwrap_or(0));
            evacuations.apply_changes(changes, revision, left_ms, now_ms)
        }),
    }
}
