//! Registration of entries in the store, by which an entry whose seeds are out of date finds the others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time;

use crate::gateway::control::{Control, Platform};
use crate::store::{Condition, ObjectStore};

/// Key prefix in the store under which entries register their peer address.
const MEMBERS_PREFIX: &str = "briarwinch-members/";
/// Interval at which an entry without a live peer lists the registered entries.
const LIST_MS: u64 = 5_000;
/// Interval between checks. Longer than it takes to receive state from live seeds.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Registers this entry in the store if it reads the store for its zone, and lists the registered entries
/// while it has no live peer. A start of all entries thus costs only a few store calls per zone.
pub(in crate::gateway) async fn register_and_discover<P: Platform>(control: Rc<Control<P>>) {
    let own = control.shared.settings.peer_addr();
    let key = format!("{MEMBERS_PREFIX}{}", control.shared.settings.id);
    let mut registered_era = None;
    let mut next_list_ms = 0;
    loop {
        time::sleep(CHECK_INTERVAL).await;
        // A store that comes back from an older copy may lack the registration.
        let is_registered = registered_era == Some(control.platform.era());
        if !is_registered
            && control.reads_store()
            && control.is_store_available()
            && try_register(&control, &key, own).await
        {
            registered_era = Some(control.platform.era());
        }
        let now_ms = control.now_ms();
        if now_ms < next_list_ms || control.exchange.borrow().peers.live_count(now_ms) > 0 {
            continue;
        }
        next_list_ms = now_ms + LIST_MS;
        if let Ok(listing) = control.platform.list(MEMBERS_PREFIX).await {
            let addrs = listing.objects.iter().filter_map(|object| {
                let text: CompactString = serde_json::from_str(&object.value).ok()?;
                text.parse().ok()
            });
            let peers = &mut control.exchange.borrow_mut().peers;
            addrs.for_each(|addr| peers.add_discovered(addr));
        }
    }
}

async fn try_register<P: ObjectStore>(control: &Control<P>, key: &str, own: SocketAddr) -> bool {
    let value = serde_json::Value::from(own.to_string()).to_string();
    match control.platform.get(key).await {
        Ok(Some(object)) if object.value == value => true,
        Ok(Some(object)) => {
            control.platform.put(key, value, Condition::Version(object.version)).await.is_ok()
        }
        Ok(None) => control.platform.put(key, value, Condition::Absent).await.is_ok(),
        Err(_) => false,
    }
}
