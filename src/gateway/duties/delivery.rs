//! Delivery of each entry's usage counts to the collectors, and the check that a window's counts are
//! complete. Without I/O.
//!
//! Hundreds of entries count requests, and the duty holder seals each billing window for all of them, while
//! any entry may end, freeze or lose datagrams. Counts that arrive after the seal are never billed, so the
//! holder waits until the watermark of every live entry has passed the end of the window, up to a limit that
//! leaves time for the report. Counts only grow, so receiving a batch twice changes nothing.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::duties::tally;

/// Maximum number of counts in a batch.
pub const MAX_COUNTED: usize = 55;
/// Maximum size of a batch's counts; together with the message's other fields they fit a datagram.
const MAX_BYTES: usize = 1_100;
/// Number of newest windows whose counts are delivered.
const DELIVERED_WINDOWS: usize = 4;
/// Number of watermarks (one for each process start of an entry) kept before old ones are evicted.
const MAX_WATERMARKS: usize = 4_096;
/// Maximum number of unacknowledged batches kept for each collector.
const MAX_UNACKNOWLEDGED: usize = 16;
/// Minimum time between a window's end and its seal, for clock skew between instances.
const MIN_WAIT_MS: u64 = 100;
/// Maximum time that a window waits for counts. Its report is due ten seconds after its end, and failover
/// after the holder's death takes nearly six of them.
const MAX_WAIT_MS: u64 = 4_000;
/// Minimum time that a new holder waits before it seals a window with missing watermarks: the other entries
/// begin to send it their counts only when it takes over.
const NEW_HOLDER_WAIT_MS: u64 = 1_000;

/// A message with counts from an entry to a collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountBatch {
    /// Boot id (one for each process start) of the entry that counted.
    pub boot: u64,
    pub number: u32,
    /// Boot id of the collector that acknowledged all earlier counts; none before the first acknowledgement.
    pub collector: Option<u64>,
    pub counts: tally::Counts,
    /// Unix time up to which the counts are complete, given these and the earlier ones. Only in a batch that
    /// carries all counts that the collector lacks.
    pub watermark_ms: Option<u64>,
}

/// Acknowledges a [`CountBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountAck {
    /// Boot id of the entry that sent the batch.
    pub boot: u64,
    pub number: u32,
}

/// Delivery state of one collector: the duty holder or an entry next in line for the duties.
#[derive(Clone, Debug, Default)]
struct Collector {
    boot: Option<u64>,
    acknowledged: tally::Counts,
    watermark_ms: u64,
    unacknowledged: VecDeque<CountBatch>,
}

/// Sends an entry's counts to its collectors until they acknowledge them.
#[derive(Clone, Debug)]
pub struct Outbox {
    boot: u64,
    window_ms: u64,
    number: u32,
    collectors: HashMap<SocketAddr, Collector>,
}

impl Outbox {
    #[must_use]
    pub fn new(boot: u64, window_ms: u64) -> Self {
        Self { boot, window_ms: window_ms.max(1), number: 0, collectors: HashMap::new() }
    }

    /// Returns the batches to send to each collector now. `own` contains every request that began before
    /// `watermark_ms` (Unix time).
    pub fn batches(
        &mut self,
        collectors: &[SocketAddr],
        own: &tally::Counts,
        watermark_ms: u64,
    ) -> Vec<(SocketAddr, CountBatch)> {
        self.collectors.retain(|addr, _| collectors.contains(addr));
        let own = own.newest(DELIVERED_WINDOWS);
        let mut batches = Vec::new();
        for addr in collectors {
            let collector = self.collectors.entry(*addr).or_default();
            let missing = own.difference(&collector.acknowledged);
            let is_next_window =
                watermark_ms / self.window_ms > collector.watermark_ms / self.window_ms;
            if missing.is_empty() && !is_next_window {
                continue;
            }
            let mut pieces =
                missing.split(MAX_COUNTED.min(MAX_BYTES / missing.longest_bytes().max(1)));
            if pieces.is_empty() {
                pieces.push(tally::Counts::default());
            }
            let is_single = pieces.len() == 1;
            for counts in pieces {
                self.number = self.number.wrapping_add(1);
                let batch = CountBatch {
                    boot: self.boot,
                    number: self.number,
                    collector: collector.boot,
                    counts,
                    watermark_ms: is_single.then_some(watermark_ms),
                };
                if collector.unacknowledged.len() >= MAX_UNACKNOWLEDGED {
                    collector.unacknowledged.pop_front();
                }
                collector.unacknowledged.push_back(batch.clone());
                batches.push((*addr, batch));
            }
        }
        batches
    }

    /// Records a collector's acknowledgement of a batch. `collector_boot` is the collector's boot id.
    pub fn acknowledge(&mut self, from: SocketAddr, collector_boot: u64, ack: CountAck) {
        let Some(collector) = self.collectors.get_mut(&from).filter(|_| ack.boot == self.boot)
        else {
            return;
        };
        if collector.boot != Some(collector_boot) {
            // A restarted collector has lost all counts that it received before.
            *collector = Collector { boot: Some(collector_boot), ..Collector::default() };
            return;
        }
        let at = collector.unacknowledged.iter().position(|batch| batch.number == ack.number);
        let Some(batch) = at.and_then(|at| collector.unacknowledged.remove(at)) else {
            return;
        };
        if batch.collector == Some(collector_boot) {
            collector.acknowledged.merge(&batch.counts);
            collector.watermark_ms = collector.watermark_ms.max(batch.watermark_ms.unwrap_or(0));
        }
    }

    /// Whether at least one collector has all of these counts. True without collectors.
    #[must_use]
    pub fn is_delivered(&self, own: &tally::Counts) -> bool {
        let own = own.newest(DELIVERED_WINDOWS);
        let mut collectors = self.collectors.values();
        self.collectors.is_empty()
            || collectors.any(|collector| own.difference(&collector.acknowledged).is_empty())
    }
}

/// A collector's view of the Unix time up to which each entry's counts are complete, by boot id.
#[derive(Clone, Debug, Default)]
pub struct Watermarks {
    by_boot: HashMap<u64, u64>,
}

impl Watermarks {
    /// Updates the sender's watermark from a batch, and returns the acknowledgement. A batch that continues
    /// counts acknowledged by another process start of this collector (not `own_boot`) does not advance the
    /// watermark, since those counts are lost.
    pub fn receive(&mut self, batch: &CountBatch, own_boot: u64) -> CountAck {
        if let Some(watermark_ms) = batch.watermark_ms.filter(|_| batch.collector == Some(own_boot))
        {
            if self.by_boot.len() >= MAX_WATERMARKS {
                self.by_boot.retain(|_, until_ms| *until_ms + MAX_WAIT_MS >= watermark_ms);
            }
            let until_ms = self.by_boot.entry(batch.boot).or_default();
            *until_ms = watermark_ms.max(*until_ms);
        }
        CountAck { boot: batch.boot, number: batch.number }
    }

    /// Whether a holder that has billed for `held_ms` may seal the window that ended at `end_ms`.
    /// `is_complete_here` states that its own counts are complete; `boots` are the boot ids of the other
    /// entries that ran in the window.
    #[must_use]
    pub fn may_seal(
        &self,
        end_ms: u64,
        now_unix_ms: u64,
        held_ms: u64,
        is_complete_here: bool,
        mut boots: impl Iterator<Item = u64>,
    ) -> bool {
        let elapsed_ms = now_unix_ms.saturating_sub(end_ms);
        let is_complete =
            |boot: u64| self.by_boot.get(&boot).is_some_and(|until_ms| *until_ms >= end_ms);
        (elapsed_ms >= MAX_WAIT_MS && held_ms >= NEW_HOLDER_WAIT_MS)
            || (elapsed_ms >= MIN_WAIT_MS && is_complete_here && boots.all(is_complete))
    }
}

/// The counts of one process start of an entry in one window: boot id, window, and counts by account index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedWindow(pub u64, pub u64, pub Vec<(u32, u32)>);

/// The stored form of the counts of many entries; each account name is stored once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedCounts {
    pub accounts: Vec<CompactString>,
    pub starts: Vec<SavedWindow>,
}
