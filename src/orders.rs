//! Orders for endpoints, and the fencing numbers that keep an old holder's orders out.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::lease;

/// Longest time an order is under way; then its connection is closed.
pub const SEND_TIMEOUT_MS: u64 = 1_000;

/// What is ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    Start { service: CompactString },
    Stop { endpoint: CompactString },
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub epoch: lease::Epoch,
    pub holder: CompactString,
    /// Tells orders apart; an order that is sent again keeps it.
    pub nonce: u64,
    #[serde(flatten)]
    pub action: Action,
}

/// What a holder writes before it sends: who is in charge of a zone's endpoints, and what it is
/// about to order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    pub epoch: lease::Epoch,
    pub order: Option<Order>,
}

/// Refuses orders older than the newest seen, for endpoints that do not check.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    newest: lease::Epoch,
}

impl Fence {
    /// A fence that knows the epoch in force.
    #[must_use]
    pub fn at(epoch: lease::Epoch) -> Self {
        Self { newest: epoch }
    }

    /// Whether an order of this epoch may pass; a greater one closes the way for all before it.
    pub fn admit(&mut self, epoch: lease::Epoch) -> bool {
        if epoch < self.newest {
            return false;
        }
        self.newest = epoch;
        true
    }
}
