//! Reading the store: by every daemon that starts without peers, and then by the few readers of a
//! zone for all the others.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use super::{Control, peers};
use crate::store::ObjectStore;
use crate::{gossip, store};

/// How often a daemon that does not read looks whether it should.
const RECHECK_MS: u64 = 1_000;
/// How often a reader looks at the platform's lagging list.
const ROSTER_MS: u64 = 2_000;
/// Longest a reader waits before it tries a store again that was down; with jitter below.
const STORE_RETRY_MS: u64 = 4_000;
/// Largest step by which a read raises the count of reads.
const COUNT_STEP: u64 = 1 << 20;
/// How long a starting daemon waits for peers before it reads the store itself.
const PEERS_FIRST_MS: u64 = 700;

pub(super) async fn start(control: Rc<Control>) {
    for addr in control.settings.seeds.clone() {
        if addr != control.settings.peer_addr {
            peers::pull_soon(&control, addr);
        }
    }
    time::sleep(Duration::from_millis(PEERS_FIRST_MS)).await;
    loop {
        let knows_fleet = control.with_shared(|shared| shared.fleet_id.is_some());
        let is_needed = !control.hub.ready.load(Ordering::Acquire)
            || !knows_fleet
            || control.doubts_fleet.take();
        if control.is_reader() || is_needed {
            read_store(&control).await;
        } else {
            time::sleep(Duration::from_millis(RECHECK_MS)).await;
        }
    }
}

/// Lists the shared objects and then watches them, for as long as this daemon is a reader.
async fn read_store(control: &Rc<Control>) {
    // One that reads only because it has no configuration yet does not stay.
    let stays = control.is_reader();
    // A daemon that stands in for dead readers and finds the store down waits its turn again.
    control.reads_grew_ms.set(control.hub.now_ms());
    let listed = control.platform.list(store::SHARED_PREFIX).await;
    control.record_store_outcome(&listed);
    let Ok(listing) = listed else { return wait_for_store().await };
    control.read_store.set(true);
    know_fleet(control, &listing).await;
    let mut after = listing.revision;
    let mut counted = take(control, listing);
    control.update_ready();
    if !stays {
        return wait_for_store().await;
    }
    loop {
        let watched = control.platform.watch(store::SHARED_PREFIX, after).await;
        control.record_store_outcome(&watched);
        let Ok(listing) = watched else { return wait_for_store().await };
        if listing.revision < after {
            // The store answers from an older state than it listed; start over with a listing.
            return wait_for_store().await;
        }
        after = listing.revision;
        // Looked at before this read is counted: one that stands in goes on while nobody else reads.
        let others_read = control.with_shared(|shared| shared.reads) > counted;
        counted = take(control, listing);
        if others_read && !control.is_reader() {
            return wait_for_store().await;
        }
    }
}

/// Believes the store on which fleet this is, and writes the fleet's number if there is none yet.
async fn know_fleet(control: &Control, listing: &store::Listing) {
    let listed = listing.objects.iter().find(|object| object.key == store::FLEET_KEY);
    let named = match listed {
        Some(object) => Ok(object.value.clone()),
        None => name_fleet(control).await,
    };
    let fleet_id = match named.map(|text| text.parse::<u64>()) {
        Ok(Ok(fleet_id)) => fleet_id,
        Ok(Err(error)) => {
            slog::error!(control.log, "fleet's number not readable"; "error" => error.to_string());
            return;
        }
        Err(failure) => {
            slog::info!(control.log, "fleet's number not written"; "failure" => failure.to_string());
            return;
        }
    };
    if control.with_shared(|shared| shared.is_foreign(Some(fleet_id))) {
        control.begin_anew(fleet_id);
    }
    control.set_fleet(fleet_id);
}

/// Writes the fleet's number, or reads what another daemon wrote first.
async fn name_fleet(control: &Control) -> Result<String, store::Failure> {
    let number = rand::random::<u64>().to_string();
    let condition = store::Condition::Absent;
    match control.platform.put(store::FLEET_KEY, number.clone(), condition).await {
        Ok(_) => Ok(number),
        Err(store::Failure::Conflict) => {
            let object = control.platform.get(store::FLEET_KEY).await?;
            object.map(|object| object.value).ok_or(store::Failure::Conflict)
        }
        Err(failure) => Err(failure),
    }
}

/// Takes in what was read, and counts the read for all to hear of; gives the count.
fn take(control: &Control, listing: store::Listing) -> u64 {
    // All watches answer to the same change at the same moment. Were each to count one, all would
    // come to the same count, and each stand-in would take itself for the only reader for ever.
    let counted = control.with_shared(|shared| shared.reads) + rand::random_range(1..=COUNT_STEP);
    control.reads_grew(counted);
    control.take(|shared| shared.merge_objects(listing.objects));
    counted
}

async fn wait_for_store() {
    // All readers lose the store at the same moment. Without jitter they would come back to it at
    // the same moment too, and its first minute would be its worst.
    let wait_ms = rand::random_range(STORE_RETRY_MS / 8..STORE_RETRY_MS);
    time::sleep(Duration::from_millis(wait_ms)).await;
}

pub(super) async fn read_roster(control: Rc<Control>) {
    loop {
        let jitter_ms = rand::random_range(0..ROSTER_MS / 4);
        time::sleep(Duration::from_millis(ROSTER_MS + jitter_ms)).await;
        if !control.is_reader() {
            continue;
        }
        let read = control.platform.roster().await;
        control.hub.store_calls.fetch_add(1, Ordering::Relaxed);
        if let Ok(roster) = read {
            control.take(|shared| gossip::Changed {
                roster: shared.merge_roster(roster),
                ..Default::default()
            });
        }
    }
}
