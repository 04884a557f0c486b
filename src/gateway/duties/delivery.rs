//! How each entry's counts come to those who bill, and when a window's counts are complete. Pure.
//!
//! The pattern it answers: hundreds of entries count requests, one of them seals a window for all, and any
//! of them may end, freeze or lose datagrams meanwhile. Counts that come after the seal are on nobody's
//! bill, so a window waits for the word of every live entry that it has counted all of it, and only for so
//! long that a report can still be in time. Counts only grow, so that what comes twice changes nothing.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::duties::tally;

/// Counts in a batch, at most.
pub const MAX_COUNTED: usize = 55;
/// Bytes of a batch's counts, at most; with what goes with them they fit a datagram.
const MAX_BYTES: usize = 1_100;
/// Windows whose counts are delivered.
const DELIVERED_WINDOWS: usize = 4;
/// Starts of entries that are remembered before old ones are dropped.
const MAX_STARTS: usize = 4_096;
/// Parcels without a ack that are remembered.
const MAX_OPEN: usize = 16;
/// A window is not sealed sooner: clocks differ a little.
const LEAST_MS: u64 = 100;
/// A window waits no longer for counts. Its report is due ten seconds after its end, and a holder's death
/// in between takes nearly six.
const LATEST_MS: u64 = 4_000;
/// Who has just begun to bill waits for so long at least: the others send it their counts now.
const BEGIN_MS: u64 = 1_000;

/// Counts on their way to one who keeps them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountBatch {
    /// The start of the entry that has counted.
    pub boot: u64,
    pub number: u32,
    /// The start of the collector that has taken all former counts, if one has.
    pub collector: Option<u64>,
    pub counts: tally::Counts,
    /// With these counts and the former ones, everything that ran before this time of day is counted.
    pub watermark_ms: Option<u64>,
}

/// A batch has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountAck {
    /// The start of the entry that sent it.
    pub boot: u64,
    pub number: u32,
}

/// What one collector has taken.
#[derive(Clone, Debug, Default)]
struct Collector {
    start: Option<u64>,
    taken: tally::Counts,
    watermark_ms: u64,
    open: VecDeque<CountBatch>,
}

/// An entry's counts on their way.
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

    /// What to send to each collector now. `watermark_ms`: everything that ran before is in `own`.
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
            let left = own.difference(&collector.taken);
            let is_next_window =
                watermark_ms / self.window_ms > collector.watermark_ms / self.window_ms;
            if left.is_empty() && !is_next_window {
                continue;
            }
            let mut pieces = left.split(MAX_COUNTED.min(MAX_BYTES / left.longest_bytes().max(1)));
            if pieces.is_empty() {
                pieces.push(tally::Counts::default());
            }
            let is_all = pieces.len() == 1;
            for counts in pieces {
                self.number = self.number.wrapping_add(1);
                let batch = CountBatch {
                    boot: self.boot,
                    number: self.number,
                    collector: collector.start,
                    counts,
                    watermark_ms: is_all.then_some(watermark_ms),
                };
                if collector.open.len() >= MAX_OPEN {
                    collector.open.pop_front();
                }
                collector.open.push_back(batch.clone());
                batches.push((*addr, batch));
            }
        }
        batches
    }

    /// A collector has taken a batch.
    pub fn acknowledge(&mut self, from: SocketAddr, start: u64, ack: CountAck) {
        let Some(collector) = self.collectors.get_mut(&from).filter(|_| ack.boot == self.boot)
        else {
            return;
        };
        if collector.start != Some(start) {
            // Another start of it has nothing of what the former one had.
            *collector = Collector { start: Some(start), ..Collector::default() };
            return;
        }
        let at = collector.open.iter().position(|batch| batch.number == ack.number);
        let Some(batch) = at.and_then(|at| collector.open.remove(at)) else {
            return;
        };
        if batch.collector == Some(start) {
            collector.taken.merge(&batch.counts);
            collector.watermark_ms = collector.watermark_ms.max(batch.watermark_ms.unwrap_or(0));
        }
    }

    /// Whether some collector has all of these counts, or there is none.
    #[must_use]
    pub fn is_delivered(&self, own: &tally::Counts) -> bool {
        let own = own.newest(DELIVERED_WINDOWS);
        let mut collectors = self.collectors.values();
        self.collectors.is_empty()
            || collectors.any(|collector| own.difference(&collector.taken).is_empty())
    }
}

/// Up to when each start of an entry has counted everything, as a collector knows.
#[derive(Clone, Debug, Default)]
pub struct Watermarks {
    until_ms: HashMap<u64, u64>,
}

impl Watermarks {
    /// Takes a batch that has come to this start of the collector, and gives its ack.
    pub fn receive(&mut self, batch: &CountBatch, own_boot: u64) -> CountAck {
        if let Some(watermark_ms) = batch.watermark_ms.filter(|_| batch.collector == Some(own_boot))
        {
            if self.until_ms.len() >= MAX_STARTS {
                self.until_ms.retain(|_, until_ms| *until_ms + LATEST_MS >= watermark_ms);
            }
            let until_ms = self.until_ms.entry(batch.boot).or_default();
            *until_ms = watermark_ms.max(*until_ms);
        }
        CountAck { boot: batch.boot, number: batch.number }
    }

    /// Whether a window that ended then may be sealed now by one who has billed for `held_ms`, after these
    /// starts of entries ran in it.
    #[must_use]
    pub fn may_seal(
        &self,
        end_ms: u64,
        now_unix_ms: u64,
        held_ms: u64,
        is_complete_here: bool,
        mut boots: impl Iterator<Item = u64>,
    ) -> bool {
        let passed_ms = now_unix_ms.saturating_sub(end_ms);
        let is_settled =
            |boot: u64| self.until_ms.get(&boot).is_some_and(|until_ms| *until_ms >= end_ms);
        (passed_ms >= LATEST_MS && held_ms >= BEGIN_MS)
            || (passed_ms >= LEAST_MS && is_complete_here && boots.all(is_settled))
    }
}

/// What one start of an entry has counted in a window, by index of the account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedWindow(pub u64, pub u64, pub Vec<(u32, u32)>);

/// Counts of several starts of entries, as they are saved: accounts are named once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedCounts {
    pub accounts: Vec<CompactString>,
    pub starts: Vec<SavedWindow>,
}
