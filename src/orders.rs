//! Orders that start and stop endpoints, and the fencing that rejects orders of former lease holders.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::lease;

/// Time limit for sending an order; after it the connection is closed.
pub const SEND_TIMEOUT_MS: u64 = 1_000;

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    Start { service: CompactString },
    Stop { endpoint: CompactString },
}

/// An order to start or stop an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub epoch: lease::Epoch,
    pub holder: CompactString,
    /// Identifies the order; a retransmitted order keeps its nonce.
    pub nonce: u64,
    #[serde(flatten)]
    pub action: Action,
}

/// The record that a holder writes before it sends an order: its epoch and the order about to be sent.
/// A holder with a lower epoch must not replace it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    pub epoch: lease::Epoch,
    pub order: Option<Order>,
}

/// Rejects orders with an epoch older than the newest one seen, for endpoints that do not check
/// fencing tokens themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    newest: lease::Epoch,
}

impl Fence {
    /// Creates a fence at the current epoch.
    #[must_use]
    pub fn at(epoch: lease::Epoch) -> Self {
        Self { newest: epoch }
    }

    /// Returns whether an order with this epoch is accepted; after a greater epoch, all lower
    /// ones are rejected.
    pub fn admit(&mut self, epoch: lease::Epoch) -> bool {
        if epoch < self.newest {
            return false;
        }
        self.newest = epoch;
        true
    }
}
