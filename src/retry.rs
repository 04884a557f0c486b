//! The retry budget: a token bucket to which each first send adds and from which each retry deducts.
//!
//! When a third of the endpoints fail, retrying every failed request would multiply the load of the
//! remaining endpoints just when they have the least spare capacity. The bucket limits retries to a
//! fixed share of all requests, regardless of how many fail.

/// Retries earned by each request, in thousandths.
const EARNED_MILLI: u64 = 100;
/// Cost of one retry.
const SPENT_MILLI: u64 = 1000;
/// Bucket size, which allows 20 retries at once.
const CAP_MILLI: u64 = 20 * SPENT_MILLI;

/// The retry budget of one traffic thread.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { milli: CAP_MILLI }
    }
}

impl Budget {
    /// Adds the share of a retry that a first send earns.
    pub fn earn(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(CAP_MILLI);
    }

    /// Deducts one retry if the balance allows it; returns whether it did.
    pub fn spend(&mut self) -> bool {
        if self.milli < SPENT_MILLI {
            return false;
        }
        self.milli -= SPENT_MILLI;
        true
    }
}

/// Returns the maximum number of retries that `requests` requests can cause.
#[must_use]
pub fn max_retries(requests: u64) -> u64 {
    (CAP_MILLI + requests * EARNED_MILLI) / SPENT_MILLI
}
