//! Recovery of prefix cache locations from the engines when an entry starts.
//!
//! When all entries die together and restart a second later under full load, no entry knows which engine
//! has which prompt in its prefix cache. Every prompt is then prefilled again, and all requests wait behind
//! that. The engines keep running meanwhile and can list the prompt parts that they hold.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future;
use tokio::time;

use crate::gateway::control::{Control, Platform};
use crate::gateway::directory::Endpoint;

/// Interval between checks whether the endpoints are known.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Smaller parts are not sent to the other entries: an engine prefills them again sooner than they are sent.
const MIN_SENT_TOKENS: u32 = 1_000;

/// Queries the engines of this entry's availability zone once for the prompt parts that they hold, and
/// queues the large parts for the other entries.
pub(in crate::gateway) async fn query_engines<P: Platform>(control: Rc<Control<P>>) {
    while !control.shared.is_ready.load(Ordering::Acquire) {
        time::sleep(READY_CHECK_INTERVAL).await;
    }
    let engines = engines_of_zone(&control);
    future::join_all(engines.iter().map(|engine| query(&control, engine))).await;
}

fn engines_of_zone<P>(control: &Control<P>) -> Vec<Endpoint> {
    let snapshot = control.shared.snapshot.load();
    let Some(table) = &snapshot.table else {
        return Vec::new();
    };
    let zone = &control.shared.settings.zone;
    let services = table.services().iter().filter(|service| service.engine.is_some());
    let engines = services.flat_map(|service| snapshot.directory.accepting(&service.name));
    let is_queried =
        |engine: &&Endpoint| engine.zone == *zone && !snapshot.evacuations.contains(zone);
    engines.filter(is_queried).cloned().collect()
}

async fn query<P: Platform>(control: &Control<P>, engine: &Endpoint) {
    let parts = match control.platform.held_parts(engine).await {
        Ok(parts) => parts,
        Err(failure) => {
            slog::info!(control.log, "prompt parts not read from engine"; "endpoint" => engine.id.as_str(),
                "failure" => failure.to_string());
            return;
        }
    };
    slog::info!(control.log, "parts recalled"; "endpoint" => engine.id.as_str(),
        "parts" => parts.len());
    let (large, small): (Vec<_>, Vec<_>) =
        parts.into_iter().partition(|part| part.tokens >= MIN_SENT_TOKENS);
    let now_ms = control.now_ms();
    let mut prefix_index = control.shared.prefix_index();
    prefix_index.record_sent(engine.key, &large, now_ms);
    prefix_index.record_cached(engine.key, &small, now_ms);
}
