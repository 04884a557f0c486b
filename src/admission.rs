//! Admission control of client accounts: token buckets without a global counter.
//!
//! Each entry enforces its part of an account's rate: the rate divided by the number of ready entries.
//! The cost of an answer is known only when it ends, so a request is admitted while the balance of the
//! account is positive, and its cost is deducted afterwards. The balance may become negative; the
//! account then waits until it is positive again. If the load balancer spreads requests evenly, an
//! account gets its full rate; otherwise it gets less, but never more.

use std::collections::HashMap;

use compact_str::CompactString;

/// Bucket size, in seconds of the rate.
const BUCKET_S: f64 = 5.0;

#[derive(Clone, Copy, Debug)]
struct Balance {
    tokens: f64,
    at_ms: u64,
}

/// Token buckets of the accounts in one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    accounts: HashMap<CompactString, Balance>,
}

impl Budgets {
    /// Admits a request if the balance of the account is positive.
    ///
    /// `rate_per_s` is this thread's part of the account's rate.
    ///
    /// # Errors
    /// Returns the time in ms until a request would be admitted.
    pub fn admit(&mut self, account: &str, rate_per_s: f64, now_ms: u64) -> Result<(), u32> {
        let balance = self.refilled(account, rate_per_s, now_ms);
        if balance.tokens > 0.0 {
            return Ok(());
        }
        let wait_ms = (1.0 - balance.tokens) / rate_per_s.max(f64::MIN_POSITIVE) * 1000.0;
        Err(wait_ms.min(f64::from(u32::MAX)) as u32)
    }

    /// Deducts the cost of a finished request.
    pub fn charge(&mut self, account: &str, rate_per_s: f64, tokens: u64, now_ms: u64) {
        self.refilled(account, rate_per_s, now_ms).tokens -= tokens as f64;
    }

    /// Refills the bucket of an account up to `now_ms` and returns it.
    fn refilled(&mut self, account: &str, rate_per_s: f64, now_ms: u64) -> &mut Balance {
        let capacity = rate_per_s * BUCKET_S;
        let balance = self
            .accounts
            .entry(CompactString::from(account))
            .or_insert(Balance { tokens: capacity, at_ms: now_ms });
        let elapsed_s = now_ms.saturating_sub(balance.at_ms) as f64 / 1000.0;
        balance.tokens = (balance.tokens + rate_per_s * elapsed_s).min(capacity);
        balance.at_ms = now_ms;
        balance
    }
}

/// Returns the part of an account's rate for one of `threads` threads of one of `entries` entries.
#[must_use]
pub fn thread_rate_per_s(rate_per_s: u32, entries: usize, threads: usize) -> f64 {
    f64::from(rate_per_s) / (entries.max(1) * threads.max(1)) as f64
}
