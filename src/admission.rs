//! Token budgets of client accounts, without a global counter.
//!
//! Each entry holds its part of an account's rate: the rate over the number of entries that are
//! ready. What an answer costs is known only at its end, so a request is admitted while the
//! account's balance is above zero and its cost is taken afterwards, which may bring the balance
//! below; the account then waits until it has grown back. A balancer that spreads evenly gives the
//! account its whole rate; one that does not gives it less, never more than all parts together.

use std::collections::HashMap;

use compact_str::CompactString;

/// Seconds of rate that an idle account saves up.
const SAVED_S: f64 = 5.0;

#[derive(Clone, Copy, Debug)]
struct Balance {
    tokens: f64,
    at_ms: u64,
}

/// Balances of the accounts at one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    accounts: HashMap<CompactString, Balance>,
}

impl Budgets {
    /// Admits a request, or says when the account is in balance again.
    ///
    /// `rate_per_s` is this thread's part of the account's rate.
    ///
    /// # Errors
    /// The wait in ms until a request would be admitted.
    pub fn admit(&mut self, account: &str, rate_per_s: f64, now_ms: u64) -> Result<(), u32> {
        let balance = self.grown(account, rate_per_s, now_ms);
        if balance.tokens > 0.0 {
            return Ok(());
        }
        let wait_ms = (1.0 - balance.tokens) / rate_per_s.max(f64::MIN_POSITIVE) * 1000.0;
        Err(wait_ms.min(f64::from(u32::MAX)) as u32)
    }

    /// Takes what an ended request has cost.
    pub fn charge(&mut self, account: &str, rate_per_s: f64, tokens: u64, now_ms: u64) {
        self.grown(account, rate_per_s, now_ms).tokens -= tokens as f64;
    }

    fn grown(&mut self, account: &str, rate_per_s: f64, now_ms: u64) -> &mut Balance {
        let most = rate_per_s * SAVED_S;
        let balance = self
            .accounts
            .entry(CompactString::from(account))
            .or_insert(Balance { tokens: most, at_ms: now_ms });
        let passed_s = now_ms.saturating_sub(balance.at_ms) as f64 / 1000.0;
        balance.tokens = (balance.tokens + rate_per_s * passed_s).min(most);
        balance.at_ms = now_ms;
        balance
    }
}

/// The part of an account's rate that one of `threads` threads of one of `entries` entries holds.
#[must_use]
pub fn thread_rate_per_s(rate_per_s: u32, entries: usize, threads: usize) -> f64 {
    f64::from(rate_per_s) / (entries.max(1) * threads.max(1)) as f64
}
