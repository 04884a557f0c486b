//! What the engines still hold, asked when an entry starts.
//!
//! The load pattern: all entries die at once and are back a second later, with all callers at the door.
//! Nobody knows any more which engine has read which document, so that each is read again, and everybody
//! waits behind that reading. The engines themselves have outlived it and can list what they hold.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future;
use tokio::time;

use crate::gateway::control::{Control, Platform};
use crate::gateway::directory::Endpoint;

/// How often it is looked whether the endpoints are known.
const LOOK: Duration = Duration::from_millis(5);
/// Smaller parts are not told to the other entries: they are read again sooner than told of.
const LEAST_TOLD_TOKENS: u32 = 1_000;

/// Asks the engines of this entry's availability zone, once, and tells the other entries.
pub(in crate::gateway) async fn ask_engines<P: Platform>(control: Rc<Control<P>>) {
    while !control.shared.is_ready.load(Ordering::Acquire) {
        time::sleep(LOOK).await;
    }
    let engines = engines_of_zone(&control);
    future::join_all(engines.iter().map(|engine| ask(&control, engine))).await;
}

fn engines_of_zone<P>(control: &Control<P>) -> Vec<Endpoint> {
    let snapshot = control.shared.snapshot.load();
    let Some(table) = &snapshot.table else {
        return Vec::new();
    };
    let zone = &control.shared.settings.zone;
    let services = table.services().iter().filter(|service| service.engine.is_some());
    let engines = services.flat_map(|service| snapshot.directory.accepting(&service.name));
    let is_asked =
        |engine: &&Endpoint| engine.zone == *zone && !snapshot.evacuations.contains(zone);
    engines.filter(is_asked).cloned().collect()
}

async fn ask<P: Platform>(control: &Control<P>, engine: &Endpoint) {
    let parts = match control.platform.held_parts(engine).await {
        Ok(parts) => parts,
        Err(failure) => {
            slog::info!(control.log, "engine not asked"; "endpoint" => engine.id.as_str(),
                "failure" => failure.to_string());
            return;
        }
    };
    slog::info!(control.log, "parts recalled"; "endpoint" => engine.id.as_str(),
        "parts" => parts.len());
    let (large, small): (Vec<_>, Vec<_>) =
        parts.into_iter().partition(|part| part.tokens >= LEAST_TOLD_TOKENS);
    let now_ms = control.now_ms();
    let mut homes = control.shared.prefix_locations();
    homes.place(engine.key, &large, now_ms);
    homes.recall(engine.key, &small, now_ms);
}
