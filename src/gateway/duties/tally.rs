//! Counts of the requests that began to run, by client account and billing window.
//!
//! Each entry counts its own requests and sends the counts to the collectors, so that nearly all counts of
//! an entry outlive it.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::duties::delivery;

/// Size in a message of a count with an account name of typical length.
pub const MAX_COUNT_BYTES: usize = 20;
/// Maximum size in a message of a count without its account name.
const COUNT_BYTES: usize = 6;
/// Number of windows that are sent and kept; a report is due two windows after a window's end.
pub(in crate::gateway) const KEPT_WINDOWS: u64 = 6;

/// The counts of one process start of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    windows: BTreeMap<u64, BTreeMap<CompactString, u32>>,
}

impl Counts {
    /// Counts one request of an account.
    pub fn add(&mut self, window: u64, account: &str) {
        *self.windows.entry(window).or_default().entry(account.into()).or_default() += 1;
        while let Some((&oldest, _)) = self.windows.first_key_value()
            && oldest + KEPT_WINDOWS < window
        {
            self.windows.pop_first();
        }
    }

    /// Returns the counts of the newest `count` windows.
    #[must_use]
    pub fn newest(&self, count: usize) -> Self {
        let newest = self.windows.iter().rev().take(count);
        Self { windows: newest.map(|(window, counts)| (*window, counts.clone())).collect() }
    }

    fn since(&self, first: u64) -> Self {
        let newest = self.windows.range(first..);
        Self { windows: newest.map(|(window, counts)| (*window, counts.clone())).collect() }
    }

    /// Returns the counts that are higher here than in another copy of the same counts.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Self {
        let mut difference = Self::default();
        for (window, counts) in &self.windows {
            let known = other.windows.get(window);
            let is_higher = |(account, count): &(&CompactString, &u32)| {
                known.and_then(|known| known.get(*account)).is_none_or(|known| known < *count)
            };
            let counts: BTreeMap<CompactString, u32> = counts
                .iter()
                .filter(is_higher)
                .map(|(name, count)| (name.clone(), *count))
                .collect();
            if !counts.is_empty() {
                difference.windows.insert(*window, counts);
            }
        }
        difference
    }

    /// Returns the maximum size in a message of any count with its account name.
    #[must_use]
    pub fn longest_bytes(&self) -> usize {
        let names = self.windows.values().flat_map(BTreeMap::keys);
        names.map(|name| name.len() + COUNT_BYTES).max().unwrap_or(0)
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    /// Splits the counts into pieces of at most `max_accounts` accounts.
    #[must_use]
    pub fn split(&self, max_accounts: usize) -> Vec<Self> {
        let mut pieces = Vec::new();
        for (window, counts) in &self.windows {
            let accounts: Vec<(&CompactString, &u32)> = counts.iter().collect();
            for piece in accounts.chunks(max_accounts.max(1)) {
                let counts = piece.iter().map(|(name, count)| ((*name).clone(), **count)).collect();
                pieces.push(Self { windows: BTreeMap::from([(*window, counts)]) });
            }
        }
        pieces
    }

    /// Merges another copy of the same counts. The higher count wins, since counts only grow.
    pub fn merge(&mut self, other: &Self) {
        for (window, counts) in &other.windows {
            let mine = self.windows.entry(*window).or_default();
            for (account, count) in counts {
                let known = mine.entry(account.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        while self.windows.len() > KEPT_WINDOWS as usize {
            self.windows.pop_first();
        }
    }
}

/// The counts of all entries that one entry knows of.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// By boot id (one for each process start of an entry).
    by_boot: HashMap<u64, Counts>,
}

impl Tally {
    /// Counts one request of an account for a boot id.
    pub fn add(&mut self, boot: u64, window: u64, account: &str) {
        self.by_boot.entry(boot).or_default().add(window, account);
    }

    /// Returns the counts of one boot id in its newest windows.
    #[must_use]
    pub fn newest_of(&self, boot: u64, windows: usize) -> Counts {
        self.by_boot.get(&boot).map(|counts| counts.newest(windows)).unwrap_or_default()
    }

    /// Merges counts that were received from the entry with this boot id.
    pub fn merge(&mut self, boot: u64, counts: &Counts) {
        self.by_boot.entry(boot).or_default().merge(counts);
    }

    /// Returns all entries' counts of the newest windows, by boot id.
    #[must_use]
    pub fn newest(&self, windows: usize) -> BTreeMap<u64, Counts> {
        let last = self.by_boot.values().filter_map(|counts| counts.windows.last_key_value());
        let last = last.map(|(window, _)| *window).max().unwrap_or(0);
        let first = (last + 1).saturating_sub(windows as u64);
        let newest = self.by_boot.iter().map(|(boot, counts)| (*boot, counts.since(first)));
        newest.filter(|(_, counts)| !counts.is_empty()).collect()
    }

    /// Returns the stored form of all entries' counts from the window `first` on.
    #[must_use]
    pub fn save(&self, first: u64) -> delivery::SavedCounts {
        let mut indices: HashMap<&CompactString, u32> = HashMap::new();
        let mut saved = delivery::SavedCounts::default();
        for (boot, counts) in &self.by_boot {
            for (window, counts) in counts.windows.range(first..) {
                let mut row = Vec::with_capacity(counts.len());
                for (account, count) in counts {
                    let index = *indices.entry(account).or_insert_with(|| {
                        saved.accounts.push(account.clone());
                        saved.accounts.len() as u32 - 1
                    });
                    row.push((index, *count));
                }
                saved.starts.push(delivery::SavedWindow(*boot, *window, row));
            }
        }
        saved
    }

    /// Merges stored counts.
    pub fn load(&mut self, saved: &delivery::SavedCounts) {
        for delivery::SavedWindow(boot, window, row) in &saved.starts {
            let named = row.iter().filter_map(|(index, count)| {
                Some((saved.accounts.get(*index as usize)?.clone(), *count))
            });
            let counts = Counts { windows: BTreeMap::from([(*window, named.collect())]) };
            self.merge(*boot, &counts);
        }
    }

    /// Merges counts by boot id, as [`Tally::newest`] returns them.
    pub fn merge_all(&mut self, counts_by_boot: BTreeMap<u64, Counts>) {
        for (boot, counts) in counts_by_boot {
            self.merge(boot, &counts);
        }
    }

    /// Sums all entries' counts of a window, by account.
    #[must_use]
    pub fn sum(&self, window: u64) -> BTreeMap<CompactString, u32> {
        let mut sum: BTreeMap<CompactString, u32> = BTreeMap::new();
        for counts in self.by_boot.values().filter_map(|counts| counts.windows.get(&window)) {
            for (account, count) in counts {
                *sum.entry(account.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Evicts entries that have counted nothing since this window.
    pub fn forget_before(&mut self, window: u64) {
        self.by_boot.retain(|_, counts| {
            counts.windows.last_key_value().is_some_and(|(last, _)| *last >= window)
        });
    }
}
