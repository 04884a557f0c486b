//! Looks over all runs at short intervals: withdrawn keys, deadlines, runs left alone, memory.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use super::Side;
use super::run::{Phase, Run};
use crate::error;

/// How often runs are looked over for withdrawn keys, deadlines and lost links.
const SWEEP_MS: u64 = 100;

/// Looks over all runs at short intervals.
pub(super) async fn run(side: Rc<Side>) {
    loop {
        time::sleep(Duration::from_millis(SWEEP_MS)).await;
        side.sweep_once();
    }
}

impl Side {
    /// Ends runs whose key was withdrawn, whose deadline has passed, or whom nobody came back for;
    /// lets go of ended ones.
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
            let alone_ms = run.alone_since_ms.get().map_or(0, |since| now_ms - since);
            let left_alone = alone_ms > self.settings.linger_ms;
            if ended {
                // An answer that nobody can come back for goes with its last reader.
                let wanted = run.submit.idempotency.is_some() || !run.is_delivered();
                if left_alone || !wanted {
                    self.forget(run);
                }
            } else if now_ms >= run.deadline_ms {
                self.stop(run, error::Kind::DeadlineExceeded);
            } else if left_alone {
                self.stop(run, error::Kind::LinkLost);
            }
        }
        self.trim_kept(&runs, kept_bytes);
        for endpoint in &self.endpoints {
            self.follow_config(endpoint);
            self.pump(endpoint);
            let waiting = endpoint.queue.borrow().len() as f64;
            metrics::gauge!("briarwinch_queue_jobs", "endpoint" => endpoint.id.to_string())
                .set(waiting);
        }
        metrics::gauge!("briarwinch_kept_answer_bytes").set(kept_bytes as f64);
        let draining = self.hub.draining.load(Ordering::Relaxed);
        metrics::gauge!("briarwinch_draining").set(f64::from(u8::from(draining)));
    }

    /// Lets go of ended answers, those left alone longest first, when they hold too much memory.
    fn trim_kept(&self, runs: &[Rc<Run>], mut kept_bytes: usize) {
        if kept_bytes <= self.settings.kept_bytes {
            return;
        }
        let mut ended: Vec<&Rc<Run>> = runs.iter().filter(|run| run.is_delivered()).collect();
        ended.sort_by_key(|run| run.alone_since_ms.get());
        for run in ended {
            if kept_bytes <= self.settings.kept_bytes {
                return;
            }
            kept_bytes -= run.answer.borrow().held_bytes();
            self.forget(run);
        }
    }
}
