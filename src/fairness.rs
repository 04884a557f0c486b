//! Fair sharing between the client accounts of one class with virtual token counters.
//!
//! The account with the least weighted service goes first. Output lengths are unknown, so a request
//! is charged an estimate when it starts, and the charge is corrected while its output grows and when
//! it ends. The counter of an account that was idle is raised to the lowest counter of the waiting
//! accounts, so that idle time earns no credit. (Sheng et al., "Fairness in Serving Large Language
//! Models", OSDI 2024.)

use std::collections::{BTreeSet, HashMap};

use compact_str::CompactString;

/// Scale of the virtual counters, so that the division by a share loses little precision.
const SCALE: u64 = 1024;

/// Service charged for a running request; corrected as the request progresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    virtual_tokens: u64,
    waiting: u32,
    running: u32,
}

/// Virtual token counters of the accounts of one class at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    accounts: HashMap<CompactString, Counter>,
    waiting: BTreeSet<(u64, CompactString)>,
    /// Initial counter of an account when no account waits.
    floor: u64,
}

impl Counters {
    /// Records that a request of the account begins to wait.
    pub fn wait(&mut self, account: &CompactString) {
        let least = self.waiting.first().map_or(self.floor, |(counter, _)| *counter);
        let counter = self.accounts.entry(account.clone()).or_default();
        if counter.waiting == 0 {
            if counter.running == 0 {
                counter.virtual_tokens = counter.virtual_tokens.max(least);
            }
            self.waiting.insert((counter.virtual_tokens, account.clone()));
        }
        counter.waiting += 1;
    }

    /// Records that a waiting request of the account has started or was removed.
    pub fn leave(&mut self, account: &CompactString) {
        let Some(counter) = self.accounts.get_mut(account) else {
            return;
        };
        counter.waiting = counter.waiting.saturating_sub(1);
        if counter.waiting == 0 {
            self.waiting.remove(&(counter.virtual_tokens, account.clone()));
            self.floor = self.floor.max(counter.virtual_tokens);
        }
        self.evict_idle(account);
    }

    /// Returns the account that goes next.
    #[must_use]
    pub fn next(&self) -> Option<&CompactString> {
        self.waiting.first().map(|(_, account)| account)
    }

    /// Returns the accounts with the least service among the waiting ones.
    pub fn least(&self) -> impl Iterator<Item = &CompactString> {
        let least = self.waiting.first().map(|(counter, _)| *counter);
        self.waiting
            .iter()
            .take_while(move |(counter, _)| Some(*counter) == least)
            .map(|(_, account)| account)
    }

    /// Returns the accounts whose last waiting request starts last if each is charged `cost`.
    #[must_use]
    pub fn latest(&self, cost: u64) -> Vec<CompactString> {
        let last_start = |counter: u64, account: &CompactString| {
            let waiting = self.accounts.get(account).map_or(0, |one| u64::from(one.waiting));
            counter.saturating_add(waiting * cost * SCALE)
        };
        let starts = self.waiting.iter().map(|(counter, account)| last_start(*counter, account));
        let Some(latest) = starts.max() else {
            return Vec::new();
        };
        let waiting = self.waiting.iter();
        let accounts = waiting.filter(|(counter, account)| last_start(*counter, account) == latest);
        accounts.map(|(_, account)| account.clone()).collect()
    }

    /// Records the start of a request and charges the estimate of its service.
    pub fn start(&mut self, account: &CompactString, share: u32, estimate: u64) -> Charge {
        self.accounts.entry(account.clone()).or_default().running += 1;
        self.add(account, share, estimate);
        Charge { tokens: estimate }
    }

    /// Records the total service of a request so far and charges what exceeds the charge.
    pub fn progress(
        &mut self,
        account: &CompactString,
        share: u32,
        charge: &mut Charge,
        tokens: u64,
    ) {
        if tokens > charge.tokens {
            self.add(account, share, tokens - charge.tokens);
            charge.tokens = tokens;
        }
    }

    /// Records the end of a request and corrects its charge to the total service.
    pub fn finish(&mut self, account: &CompactString, share: u32, mut charge: Charge, tokens: u64) {
        self.progress(account, share, &mut charge, tokens);
        let refund = (charge.tokens - tokens) * SCALE / u64::from(share.max(1));
        self.shift(account, |virtual_tokens| virtual_tokens.saturating_sub(refund));
        if let Some(counter) = self.accounts.get_mut(account) {
            counter.running = counter.running.saturating_sub(1);
        }
        self.evict_idle(account);
    }

    /// Returns the number of accounts in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn add(&mut self, account: &CompactString, share: u32, tokens: u64) {
        let added = tokens * SCALE / u64::from(share.max(1));
        self.shift(account, |virtual_tokens| virtual_tokens.saturating_add(added));
    }

    fn shift(&mut self, account: &CompactString, to: impl Fn(u64) -> u64) {
        let Some(counter) = self.accounts.get_mut(account) else {
            return;
        };
        let before = counter.virtual_tokens;
        counter.virtual_tokens = to(before);
        if counter.waiting > 0 {
            self.waiting.remove(&(before, account.clone()));
            self.waiting.insert((counter.virtual_tokens, account.clone()));
        }
    }

    /// Removes an account that is idle and whose counter is not above the floor, so that memory grows with
    /// the accounts in use, not with all accounts ever seen.
    fn evict_idle(&mut self, account: &CompactString) {
        let floor = self.waiting.first().map_or(self.floor, |(counter, _)| *counter);
        if let Some(counter) = self.accounts.get(account)
            && counter.waiting == 0
            && counter.running == 0
            && counter.virtual_tokens <= floor
        {
            self.accounts.remove(account);
        }
    }
}
