//! Waits until several daemons hold a change that the store has accepted.
//!
//! Only a few daemons read the store; the others receive changes from them. If only one daemon holds a
//! change and fails together with the store, the change is not in force until the store is available
//! again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use compact_str::CompactString;
use futures_util::future;
use rand::seq::IteratorRandom;
use tokio::time;

use super::{CommandError, fetch, read_status};
use crate::{admin, cli, membership};

/// Number of daemons that have to hold a change.
const REQUIRED_HOLDERS: usize = 3;
/// Longest wait. A zone whose readers have failed has a new reader within 20 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two polling rounds.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of daemons polled in one round.
const MAX_POLLED_PER_ROUND: usize = 16;
/// Time limit for one daemon's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A change that daemons have to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// The configuration of this version.
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

/// Returns whether the holders of a change, given with their zones, can lose one of them and still spread
/// the change to the members of the fleet.
fn is_durable(
    holders: &BTreeMap<CompactString, CompactString>,
    members: &BTreeMap<CompactString, CompactString>,
) -> bool {
    let zones =
        |of: &BTreeMap<CompactString, CompactString>| of.values().collect::<BTreeSet<_>>().len();
    // The members may still include the record of a daemon that has failed.
    let required = REQUIRED_HOLDERS.min(members.len().saturating_sub(1)).max(1);
    holders.len() >= required && zones(holders) >= zones(members).min(2)
}

/// Waits until enough daemons hold a change.
///
/// # Errors
/// [`CommandError::Unconfirmed`] if they do not within [`CONFIRM_TIMEOUT`].
pub(super) async fn wait_until_held(
    args: &cli::Operator,
    change: Change,
) -> Result<(), CommandError> {
    let mut holders = BTreeMap::new();
    let confirm = async {
        loop {
            if poll_holders(args, change, &mut holders).await {
                return;
            }
            time::sleep(POLL_PAUSE).await;
        }
    };
    if time::timeout(CONFIRM_TIMEOUT, confirm).await.is_ok() {
        return Ok(());
    }
    Err(CommandError::Unconfirmed(format!(
        "the store has accepted the change, but after {} s only {} daemons are known to hold it: while the \
         store is unavailable the change may not be in force; see `briarwinch status`",
        CONFIRM_TIMEOUT.as_secs(),
        holders.len()
    )))
}

/// Polls some daemons once, adds those that hold the change to `holders` with their zones, and returns
/// whether the holders suffice.
async fn poll_holders(
    args: &cli::Operator,
    change: Change,
    holders: &mut BTreeMap<CompactString, CompactString>,
) -> bool {
    let Ok(Ok(status)) = time::timeout(CALL_TIMEOUT, read_status(args)).await else {
        return false;
    };
    let gone = membership::State::Gone.to_string();
    let present: Vec<_> = status.members.iter().filter(|member| member.state != gone).collect();
    let unknown = present.iter().filter(|member| !holders.contains_key(&member.id));
    let polled = unknown.choose_multiple(&mut rand::rng(), MAX_POLLED_PER_ROUND).into_iter().map(
        async |member| {
            let base = format!("http://{}", member.admin_addr);
            let answer =
                time::timeout(CALL_TIMEOUT, fetch::<admin::Status>(&base, "/status")).await;
            let is_holder = matches!(answer, Ok(Ok(Some(status))) if change.is_held_by(&status));
            is_holder.then(|| (member.id.clone(), member.zone.clone()))
        },
    );
    holders.extend(future::join_all(polled).await.into_iter().flatten());
    let members = present.iter().map(|member| (member.id.clone(), member.zone.clone())).collect();
    is_durable(holders, &members)
}
