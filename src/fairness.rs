//! Fairness between client accounts of one class: virtual token counters.
//!
//! The account with the least weighted service goes first. Output lengths are unknown, so a request
//! is charged an estimate when it starts and the charge is corrected as its output grows and when
//! it ends. An account that comes back from idle is lifted to the least counter of those waiting:
//! idleness earns no credit. (Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.)

use std::collections::{BTreeSet, HashMap};

use compact_str::CompactString;

/// Tokens of service, scaled so that weights divide evenly enough.
const SCALE: u64 = 1024;

/// Service charged to a running request, to be corrected.
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

/// Counters of the accounts of one class at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    accounts: HashMap<CompactString, Counter>,
    waiting: BTreeSet<(u64, CompactString)>,
    /// Where an account starts when none waits.
    floor: u64,
}

impl Counters {
    /// A request of the account begins to wait.
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

    /// A waiting request of the account starts or is given up.
    pub fn leave(&mut self, account: &CompactString) {
        let Some(counter) = self.accounts.get_mut(account) else {
            return;
        };
        counter.waiting = counter.waiting.saturating_sub(1);
        if counter.waiting == 0 {
            self.waiting.remove(&(counter.virtual_tokens, account.clone()));
            self.floor = self.floor.max(counter.virtual_tokens);
        }
        self.forget_idle(account);
    }

    /// The account whose turn it is.
    #[must_use]
    pub fn next(&self) -> Option<&CompactString> {
        self.waiting.first().map(|(_, account)| account)
    }

    /// A request of the account starts, with an estimate of its service.
    pub fn start(&mut self, account: &CompactString, share: u32, estimate: u64) -> Charge {
        self.accounts.entry(account.clone()).or_default().running += 1;
        self.add(account, share, estimate);
        Charge { tokens: estimate }
    }

    /// The request has had this much service in all; more than charged is charged now.
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

    /// The request has ended with this much service in all; the charge becomes exactly that.
    pub fn finish(&mut self, account: &CompactString, share: u32, mut charge: Charge, tokens: u64) {
        self.progress(account, share, &mut charge, tokens);
        let back = (charge.tokens - tokens) * SCALE / u64::from(share.max(1));
        self.shift(account, |virtual_tokens| virtual_tokens.saturating_sub(back));
        if let Some(counter) = self.accounts.get_mut(account) {
            counter.running = counter.running.saturating_sub(1);
        }
        self.forget_idle(account);
    }

    /// Accounts held in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn add(&mut self, account: &CompactString, share: u32, tokens: u64) {
        let more = tokens * SCALE / u64::from(share.max(1));
        self.shift(account, |virtual_tokens| virtual_tokens.saturating_add(more));
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

    /// Drops an account that is idle and not ahead of the floor, so that memory follows the
    /// accounts in use and not all that ever came.
    fn forget_idle(&mut self, account: &CompactString) {
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
