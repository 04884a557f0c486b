//! The periodic sweep over all runs: withdrawn keys, deadlines, detached runs and kept answers.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use super::Side;
use super::run::{Phase, Run};
use crate::error;

/// Interval of the sweep.
const SWEEP_MS: u64 = 100;

/// Sweeps for the lifetime of the process.
pub(super) async fn run(side: Rc<Side>) {
    loop {
        time::sleep(Duration::from_millis(SWEEP_MS)).await;
        side.sweep_once();
    }
}

impl Side {
    /// Stops runs whose key was withdrawn, whose deadline has passed, or that stayed detached for longer
    /// than the linger time; removes ended runs whose answer is no longer needed.
    pub(super) fn sweep_once(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let revision = self.hub.snapshot.load().keys.revision();
        if self.keys_revision.replace(revision) != revision {
            self.stop_withdrawn();
        }
        let runs: Vec<Rc<Run>> = self.runs.borrow().values().cloned().collect();
        let mut kept_bytes = 0;
        for run in &runs {
            let ended = matches!(*run.phase.borrow(), Phase::Ended);
            kept_bytes += run.answer.borrow().held_bytes();
            let detached_ms = run.detached_since_ms.get().map_or(0, |since| now_ms - since);
            let is_abandoned = detached_ms > self.settings.linger_ms;
            if ended {
                // Without an idempotency key no other reader can follow, so a delivered answer is removed.
                let needed = run.submit.idempotency.is_some() || !run.is_delivered();
                if is_abandoned || !needed {
                    self.remove_run(run);
                }
            } else if now_ms >= run.deadline_ms {
                self.stop(run, error::Kind::DeadlineExceeded);
            } else if is_abandoned {
                self.stop(run, error::Kind::LinkLost);
            }
        }
        self.evict_answers(&runs, kept_bytes);
        for endpoint in &self.endpoints {
            self.apply_config(endpoint);
            self.start_queued(endpoint);
            let waiting = endpoint.queue.borrow().len() as f64;
            metrics::gauge!("briarwinch_queue_jobs", "endpoint" => endpoint.id.to_string())
                .set(waiting);
        }
        metrics::gauge!("briarwinch_kept_answer_bytes").set(kept_bytes as f64);
        let draining = self.hub.draining.load(Ordering::Relaxed);
        metrics::gauge!("briarwinch_draining").set(f64::from(u8::from(draining)));
    }

    /// Evicts delivered answers when kept answers exceed their memory limit, those detached
    /// longest first.
    fn evict_answers(&self, runs: &[Rc<Run>], mut kept_bytes: usize) {
        if kept_bytes <= self.settings.kept_bytes {
            return;
        }
        let mut ended: Vec<&Rc<Run>> = runs.iter().filter(|run| run.is_delivered()).collect();
        ended.sort_by_key(|run| run.detached_since_ms.get());
        for run in ended {
            if kept_bytes <= self.settings.kept_bytes {
                return;
            }
            kept_bytes -= run.answer.borrow().held_bytes();
            self.remove_run(run);
        }
    }
}
