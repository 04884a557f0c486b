//! Store reads of the control thread. A daemon that can't get its state from peers reads the store
//! itself; otherwise a few readers per zone read it on behalf of the others.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use super::{Control, peers};
use crate::store::ObjectStore;
use crate::{gossip, store};

/// Interval at which a daemon that does not read checks whether it should.
const RECHECK_MS: u64 = 1_000;
/// Interval at which a reader fetches the platform's lagging instance list; jitter is added.
const ROSTER_MS: u64 = 2_000;
/// Maximum delay before a reader retries a failed store; the delay is random below it.
const STORE_RETRY_MS: u64 = 4_000;
/// Maximum step by which one read raises the count of reads.
const COUNT_STEP: u64 = 1 << 20;
/// Time a starting daemon gives its peers before it reads the store itself.
const PEERS_FIRST_MS: u64 = 700;

pub(super) async fn start(control: Rc<Control>) {
    for addr in control.settings.seeds.clone() {
        if addr != control.settings.peer_addr {
            peers::spawn_pull(&control, addr);
        }
    }
    time::sleep(Duration::from_millis(PEERS_FIRST_MS)).await;
    loop {
        let knows_fleet = control.with_shared(|shared| shared.fleet_id.is_some());
        let is_needed = !control.hub.ready.load(Ordering::Acquire)
            || !knows_fleet
            || control.fleet_id_in_doubt.take();
        if control.is_reader() || is_needed {
            read_store(&control).await;
        } else {
            time::sleep(Duration::from_millis(RECHECK_MS)).await;
        }
    }
}

/// Lists the shared objects and then watches them, for as long as this daemon is a reader.
async fn read_store(control: &Rc<Control>) {
    // A daemon that reads only to bootstrap or to check its fleet id does not go on to watch.
    let continues = control.is_reader();
    // If the store is down, a daemon that replaces crashed readers waits for its rank's delay again.
    control.last_store_read_ms.set(control.hub.now_ms());
    let listed = control.platform.list(store::SHARED_PREFIX).await;
    control.record_store_outcome(&listed);
    let Ok(listing) = listed else { return wait_for_store().await };
    control.has_store_state.set(true);
    adopt_fleet_id(control, &listing).await;
    let mut after = listing.revision;
    let mut read_count = merge_listing(control, listing);
    control.update_ready();
    if !continues {
        return wait_for_store().await;
    }
    loop {
        let watched = control.platform.watch(store::SHARED_PREFIX, after).await;
        control.record_store_outcome(&watched);
        let Ok(listing) = watched else { return wait_for_store().await };
        if listing.revision < after {
            // The store answered from a state older than its listing; start over with a listing.
            return wait_for_store().await;
        }
        after = listing.revision;
        // Compared before this read is counted: a replacement reader goes on while no other daemon reads.
        let others_read = control.with_shared(|shared| shared.reads) > read_count;
        read_count = merge_listing(control, listing);
        if others_read && !control.is_reader() {
            return wait_for_store().await;
        }
    }
}

/// Adopts the fleet id from the store, and writes one if the store has none yet.
async fn adopt_fleet_id(control: &Control, listing: &store::Listing) {
    let listed = listing.objects.iter().find(|object| object.key == store::FLEET_KEY);
    let fleet_id_text = match listed {
        Some(object) => Ok(object.value.clone()),
        None => create_fleet_id(control).await,
    };
    let fleet_id = match fleet_id_text.map(|text| text.parse::<u64>()) {
        Ok(Ok(fleet_id)) => fleet_id,
        Ok(Err(error)) => {
            slog::error!(control.log, "fleet id in the store is not a number";
                "error" => error.to_string());
            return;
        }
        Err(failure) => {
            slog::info!(control.log, "cannot write or read the fleet id in the store";
                "failure" => failure.to_string());
            return;
        }
    };
    if control.with_shared(|shared| shared.is_foreign(Some(fleet_id))) {
        control.reset_to_fleet(fleet_id);
    }
    control.confirm_fleet_id(fleet_id);
}

/// Writes a new fleet id, or reads the one that another daemon wrote first.
async fn create_fleet_id(control: &Control) -> Result<String, store::Failure> {
    let fleet_id = rand::random::<u64>().to_string();
    let condition = store::Condition::Absent;
    match control.platform.put(store::FLEET_KEY, fleet_id.clone(), condition).await {
        Ok(_) => Ok(fleet_id),
        Err(store::Failure::Conflict) => {
            let object = control.platform.get(store::FLEET_KEY).await?;
            object.map(|object| object.value).ok_or(store::Failure::Conflict)
        }
        Err(failure) => Err(failure),
    }
}

/// Merges a listing and raises the gossiped count of store reads; returns the new count.
fn merge_listing(control: &Control, listing: store::Listing) -> u64 {
    // All watches return on the same change at the same time. If each reader added 1, all would reach
    // the same count, and every replacement reader would assume indefinitely that no other daemon reads.
    let read_count =
        control.with_shared(|shared| shared.reads) + rand::random_range(1..=COUNT_STEP);
    control.raise_store_reads(read_count);
    control.apply(|shared| shared.merge_objects(listing.objects));
    read_count
}

async fn wait_for_store() {
    // All readers lose the store at the same time. Without jitter they would all retry at the same
    // time too, and overload the store in the first minute after its recovery.
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
            control.apply(|shared| gossip::Changed {
                roster: shared.merge_roster(roster),
                ..Default::default()
            });
        }
    }
}
