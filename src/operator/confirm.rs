//! Waits until a change that the store has accepted is held by several daemons.
//!
//! Daemons learn of changes from the few that read the store. While only one of them has a change, it is lost
//! for as long as the store is away if that one fails together with the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use compact_str::CompactString;
use futures_util::future;
use rand::seq::IteratorRandom;
use tokio::time;

use super::{CommandError, fetch, read_status};
use crate::{admin, cli, membership};

/// Daemons that have to hold a change.
const HOLDERS: usize = 3;
/// Longest wait: a zone whose readers have died is read for again within twenty seconds.
const LIMIT: Duration = Duration::from_secs(30);
/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(50);
/// Daemons asked in one round.
const ASKED: usize = 16;
/// Longest wait for one daemon's answer.
const CALL: Duration = Duration::from_secs(1);

/// What has to be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// The operators' text of this version.
    Config(u64),
    /// The keys up to this revision.
    Keys(u64),
}

impl Change {
    fn is_held_by(self, status: &admin::Status) -> bool {
        match self {
            Self::Config(version) => status.config_version >= version,
            Self::Keys(revision) => status.keys_revision >= revision,
        }
    }
}

/// Whether these daemons, each in its zone, may lose one of them and still spread a change to a fleet of these
/// members.
fn suffice(
    holders: &BTreeMap<CompactString, CompactString>,
    members: &BTreeMap<CompactString, CompactString>,
) -> bool {
    let zones =
        |of: &BTreeMap<CompactString, CompactString>| of.values().collect::<BTreeSet<_>>().len();
    // The record of one that has died is still there.
    let needed = HOLDERS.min(members.len().saturating_sub(1)).max(1);
    holders.len() >= needed && zones(holders) >= zones(members).min(2)
}

/// Waits until enough daemons hold a change.
///
/// # Errors
/// [`CommandError::Unconfirmed`] when they don't within [`LIMIT`].
pub(super) async fn wait_until_held(
    line: &cli::Operator,
    change: Change,
) -> Result<(), CommandError> {
    let mut holders = BTreeMap::new();
    let confirm = async {
        loop {
            if is_held(line, change, &mut holders).await {
                return;
            }
            time::sleep(PAUSE).await;
        }
    };
    if time::timeout(LIMIT, confirm).await.is_ok() {
        return Ok(());
    }
    Err(CommandError::Unconfirmed(format!(
        "accepted by the store, but after {} s held by {} daemons only: while the store is away it may not \
         be in force; see `briarwinch status`",
        LIMIT.as_secs(),
        holders.len()
    )))
}

/// Asks some daemons once, and adds those that hold the change to `holders` with their zones.
async fn is_held(
    line: &cli::Operator,
    change: Change,
    holders: &mut BTreeMap<CompactString, CompactString>,
) -> bool {
    let Ok(Ok(status)) = time::timeout(CALL, read_status(line)).await else {
        return false;
    };
    let gone = membership::State::Gone.to_string();
    let present: Vec<_> = status.members.iter().filter(|member| member.state != gone).collect();
    let unknown = present.iter().filter(|member| !holders.contains_key(&member.id));
    let asked = unknown.choose_multiple(&mut rand::rng(), ASKED).into_iter().map(async |member| {
        let base = format!("http://{}", member.admin_addr);
        let asked = time::timeout(CALL, fetch::<admin::Status>(&base, "/status")).await;
        let is_holder = matches!(asked, Ok(Ok(Some(status))) if change.is_held_by(&status));
        is_holder.then(|| (member.id.clone(), member.zone.clone()))
    });
    holders.extend(future::join_all(asked).await.into_iter().flatten());
    let members = present.iter().map(|member| (member.id.clone(), member.zone.clone())).collect();
    suffice(holders, &members)
}
