//! Following a topic of the store: list once, then watch, list again when history is gone.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time;

use super::control::{Batch, Control, Item, Platform, Topic, WatchFailure};
use super::{directory, measures};
use crate::store;

/// How long a watch waits at the store. Longer would save calls; a watch that is silently dead is
/// then found later, and peers cover that time.
const WAIT_MS: u64 = 5_000;
/// How often an entry that leaves reading to others looks whether they still do.
const ASIDE: Duration = Duration::from_millis(400);
/// Pause after a first failed call; doubled with each.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause: the store's return is seen within this, of the two seconds in which a change has
/// to be in force.
const LONGEST_PAUSE_MS: u64 = 800;
/// Entries of endpoints lapse when the store was away for longer than this: a third of the shortest
/// time after which the platform drops an entry.
const LAPSE_AFTER_MS: u64 = 1_200;

/// When the store failed this watcher, and when it was back.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    since_ms: Option<u64>,
    keep_until_ms: Option<u64>,
    pause_ms: u64,
}

impl Outage {
    fn failed(&mut self, now_ms: u64) -> Duration {
        self.since_ms.get_or_insert(now_ms);
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        let pause_ms = rand::rng().random_range(self.pause_ms / 2..=self.pause_ms);
        Duration::from_millis(pause_ms)
    }

    /// Gives for how long the store was away, if it was.
    fn answered(&mut self, now_ms: u64) -> Option<u64> {
        self.pause_ms = 0;
        let away_ms = now_ms - self.since_ms.take()?;
        if away_ms >= LAPSE_AFTER_MS {
            self.keep_until_ms = Some(now_ms + directory::LAPSE_GRACE_MS);
        }
        Some(away_ms)
    }

    fn keep_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.keep_until_ms.filter(|until_ms| now_ms < *until_ms)
    }
}

/// Follows a topic for as long as the process lives.
pub(super) async fn follow<P: Platform>(control: Rc<Control<P>>, topic: Topic) {
    let mut from = None;
    let mut outage = Outage::default();
    loop {
        // Each entry reads once for itself: what peers tell at the start may be old.
        if from.is_some() && !control.reads_store() {
            control.store_answered(topic, true);
            // An outage of long ago says nothing about what vanishes when this entry reads again.
            outage = Outage::default();
            time::sleep(ASIDE).await;
            continue;
        }
        let wait_ms = if outage.keep_until_ms(control.now_ms()).is_some() { 500 } else { WAIT_MS };
        let brought = match from {
            None => control.platform.list_all(topic).await.map_err(WatchFailure::Failed),
            Some(revision) => control.platform.watch(topic, revision, wait_ms).await,
        };
        let now_ms = control.now_ms();
        let is_good = !matches!(brought, Err(WatchFailure::Failed(_)));
        control.store_answered(topic, is_good);
        measures::store_call(if is_good { "answered" } else { "failed" });
        match brought {
            Ok(batch) => {
                if let Some(away_ms) = outage.answered(now_ms) {
                    slog::info!(control.log, "store regained"; "topic" => format!("{topic:?}"),
                        "away_ms" => away_ms);
                }
                let is_list = from.is_none();
                from = Some(batch.revision);
                take(&control, topic, batch, is_list, outage.keep_until_ms(now_ms));
            }
            Err(WatchFailure::HistoryGone) => {
                slog::info!(control.log, "history gone, listing again"; "topic" => format!("{topic:?}"));
                from = None;
            }
            Err(WatchFailure::Failed(failure)) => {
                if outage.since_ms.is_none() {
                    slog::warn!(control.log, "store lost"; "topic" => format!("{topic:?}"),
                        "failure" => failure.to_string());
                }
                if failure == store::Failure::Conflict {
                    from = None;
                }
                time::sleep(outage.failed(now_ms)).await;
            }
        }
    }
}

fn take<P: Platform>(
    control: &Control<P>,
    topic: Topic,
    batch: Batch,
    is_list: bool,
    keep_until_ms: Option<u64>,
) {
    let revision = batch.revision;
    match topic {
        Topic::Config => {
            for item in batch.items {
                if let Item::Config(parts) = item {
                    control.take_table(*parts, "store");
                }
            }
        }
        Topic::Endpoints => control.change_directory("store", |directory| {
            let changes = batch.items.into_iter().filter_map(|item| match item {
                Item::Endpoint(change) => Some(change),
                Item::Config(_) => None,
            });
            let mut is_changed = false;
            if is_list {
                let listed = changes.filter_map(|change| match change {
                    directory::Change::Present(endpoint) => Some(endpoint),
                    directory::Change::Gone(_) => None,
                });
                is_changed |= directory.replace(listed.collect(), revision, keep_until_ms);
            } else {
                for change in changes {
                    is_changed |= directory.apply(change, revision, keep_until_ms);
                }
            }
            is_changed | directory.expire(control.now_ms())
        }),
    }
}
