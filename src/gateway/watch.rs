//! Following a topic of the store: list once, then watch, list again when history is gone.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use super::control::{Batch, Control, Item, Platform, Topic, WatchFailure};
use super::policy::outage;
use super::{directory, evacuation};
use crate::store;

/// How often an entry that leaves reading to others looks whether they still do.
const ASIDE: Duration = Duration::from_millis(400);
/// Changes of endpoints are gathered for this time, so that many at once cost one call. They serve on for
/// seconds after they say that they leave.
const GATHER: Duration = Duration::from_millis(300);
/// What a watch brings after it has waited for so long has happened just now: what had happened before it
/// was asked for comes at once, also from a slow store.
const LIVE_MS: u64 = 500;
/// An entry that has just started knows only after this time whether others read the store.
const MEET_MS: u64 = 600;

/// Pause between two signs of life that a reader asks of the store.
const PROBE: Duration = Duration::from_millis(500);

/// Asks the store for signs of life while this entry reads it, for as long as the process lives.
///
/// A watch that waits cannot tell a store that has nothing new from one that has fallen silent for this
/// instance alone. Where all readers are hit at once, nobody would take over for as long as watches wait, and
/// changes would be in force too late everywhere.
pub(super) async fn probe<P: Platform>(control: Rc<Control<P>>) {
    loop {
        time::sleep(PROBE).await;
        if !control.reads_store() || !control.has_store() {
            continue;
        }
        if let Err(failure) = control.platform.probe().await {
            slog::info!(control.log, "store gives no sign of life"; "failure" => failure.to_string());
            control.silence.notify_waiters();
        }
    }
}

/// Follows a topic for as long as the process lives.
pub(super) async fn follow<P: Platform>(control: Rc<Control<P>>, topic: Topic) {
    let mut from = None;
    let mut has_listed = false;
    let leave_ms = control.shared.settings.leave_ms;
    let mut outage = outage::Outage::new(leave_ms);
    loop {
        // Each entry reads once for itself: what peers tell at the start may be old.
        let is_young = control.shared.time.age_ms() < MEET_MS;
        if from.is_some() && (is_young || !control.reads_store()) {
            control.store_answered(topic, true);
            // An outage of long ago says nothing about what vanishes when this entry reads again.
            outage = outage::Outage::new(leave_ms);
            time::sleep(ASIDE).await;
            continue;
        }
        let asked_ms = control.now_ms();
        let wait_ms = outage.wait_ms(asked_ms);
        let brought = match from {
            None => control.platform.list_all(topic).await.map_err(WatchFailure::Failed),
            Some(revision) => tokio::select! {
                brought = control.platform.watch(topic, revision, wait_ms) => brought,
                () = control.silence.notified() => Err(WatchFailure::Failed(store::Failure::NoAnswer)),
            },
        };
        let now_ms = control.now_ms();
        let is_good = !matches!(brought, Err(WatchFailure::Failed(_)));
        control.store_answered(topic, is_good);
        match brought {
            Ok(batch) => {
                if let Some(away_ms) = outage.answered(now_ms) {
                    slog::info!(control.log, "store regained"; "topic" => format!("{topic:?}"),
                        "away_ms" => away_ms);
                }
                let is_list = from.is_none();
                if !has_listed {
                    has_listed = true;
                    control.topics_to_list.set(control.topics_to_list.get() - 1);
                }
                from = Some(batch.revision);
                let has_changes = !is_list && !batch.items.is_empty();
                let origin = Origin {
                    is_list,
                    is_live: !is_list && now_ms >= asked_ms + LIVE_MS,
                    keep_until_ms: outage.keep_until_ms(now_ms),
                };
                take(&control, topic, batch, origin);
                if topic == Topic::Endpoints && has_changes {
                    time::sleep(GATHER).await;
                }
            }
            Err(WatchFailure::HistoryGone) => {
                slog::info!(control.log, "history gone, listing again"; "topic" => format!("{topic:?}"));
                from = None;
            }
            Err(WatchFailure::Failed(failure)) => {
                if !outage.is_away() {
                    slog::warn!(control.log, "store lost"; "topic" => format!("{topic:?}"),
                        "failure" => failure.to_string());
                }
                if failure == store::Failure::Conflict {
                    from = None;
                }
                // One that has listed nothing yet cannot serve, and looks as often as the first.
                let is_behind = has_listed && control.is_behind_readers();
                let pause_ms = outage.failed(now_ms, is_behind, &mut rand::rng());
                let pause = Duration::from_millis(pause_ms);
                if has_listed {
                    control.other_topic_is_answered(topic, pause).await;
                } else {
                    time::sleep(pause).await;
                }
            }
        }
    }
}

/// Where a batch comes from.
#[derive(Clone, Copy, Debug)]
struct Origin {
    is_list: bool,
    /// A watch had waited for it, so it happened just now.
    is_live: bool,
    /// Until when an endpoint that is missing is kept.
    keep_until_ms: Option<u64>,
}

fn take<P: Platform>(control: &Control<P>, topic: Topic, batch: Batch, origin: Origin) {
    let revision = batch.revision;
    let Origin { is_list, is_live, keep_until_ms } = origin;
    match topic {
        Topic::Config => {
            for item in batch.items {
                if let Item::Config(parts) = item {
                    control.take_table(*parts, "store");
                }
            }
        }
        Topic::Endpoints => control.change_directory("store", |directory| {
            let now_ms = control.now_ms();
            let events = batch.items.into_iter().filter_map(|item| match item {
                Item::Endpoint(event) => Some(event),
                Item::Config(_) | Item::Evacuation(_) => None,
            });
            let is_changed = if is_list {
                let events: Vec<directory::Event> = events.collect();
                let listed = events.iter().filter_map(|event| match &event.change {
                    directory::Change::Present(endpoint) => Some(endpoint.clone()),
                    directory::Change::Gone(_) => None,
                });
                directory.replace(listed.collect(), revision, keep_until_ms)
                    | directory.update_cold(&events, revision, now_ms)
            } else {
                directory.apply_events(events, revision, keep_until_ms, now_ms)
            };
            is_changed | directory.expire(now_ms)
        }),
        Topic::Evacuations => control.change_evacuations("store", |evacuations| {
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
                return evacuations.replace(zones, revision, now_ms);
            }
            let allowed_ms = control.shared.settings.evacuation_ms.filter(|_| is_live);
            let left_ms = evacuation::leave_ms(allowed_ms.unwrap_or(0));
            evacuations.apply_changes(changes, revision, left_ms, now_ms)
        }),
    }
}
