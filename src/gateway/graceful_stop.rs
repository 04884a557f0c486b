//! Graceful shutdown of an entry: it first becomes unready for the load balancer, then serves the requests
//! in flight and those that still arrive on open connections, and then exits.
//!
//! Shortly before a forced exit every request that has no answer yet gets a final one, and streams end after
//! a complete event. The decisions are those of [`crate::drain`].

use std::sync::atomic::Ordering;

use tokio::time;

use super::shared;
use crate::{clock, drain};

/// Goes on accepting new callers for a limited time while fewer than half of the other entries serve.
async fn accept_while_few_serve(
    shared: &shared::Shared,
    deadlines: drain::Deadlines,
    begin_ms: u64,
    log: &slog::Logger,
) {
    let mut now_ms = begin_ms;
    while deadlines.accepts_new_callers(shared.others(), now_ms) {
        shared.accepts_while_draining.store(true, Ordering::Release);
        time::sleep(drain::POLL).await;
        now_ms = clock::boot_ms();
    }
    if shared.accepts_while_draining.swap(false, Ordering::AcqRel) {
        slog::info!(log, "accepted new callers while few other entries serve";
            "took_ms" => now_ms - begin_ms, "others" => shared.others().count);
    }
}

/// Waits until another entry has received this one's billing counts; otherwise they would never be billed.
async fn deliver_counts(shared: &shared::Shared, end_ms: u64) {
    while !shared.counts_delivered.load(Ordering::Acquire) && clock::boot_ms() < end_ms {
        time::sleep(drain::POLL).await;
    }
}

/// Stops the entry and returns when the process may exit.
pub async fn stop(shared: &shared::Shared, log: &slog::Logger) {
    let begin_ms = clock::boot_ms();
    let others = shared.others();
    let mut stop = drain::Stop::begin(begin_ms, shared.settings.stop_s, others);
    let end_ms = stop.deadlines.end_ms;
    shared.stop.begin(stop.deadlines);
    slog::info!(log, "draining"; "limit_ms" => end_ms - begin_ms, "others" => others.count,
        "serving" => others.serving);
    accept_while_few_serve(shared, stop.deadlines, begin_ms, log).await;
    stop.mark_unready(clock::boot_ms());
    let left = shared.stop.finish(stop, log).await;
    let took_ms = clock::boot_ms() - begin_ms;
    deliver_counts(shared, end_ms).await;
    slog::info!(log, "drained"; "left" => left, "took_ms" => took_ms);
}
