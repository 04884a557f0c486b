//! The retry budget: a token bucket that successes fill and retries empty.
//!
//! When a third of the endpoints die, each failed request would be sent again, and the survivors
//! would get a multiple of their load just when they have the least room. The bucket caps retries
//! at a share of all requests, whatever fails.

/// Retries allowed for each request, in thousandths.
const EARNED_MILLI: u64 = 100;
/// One retry.
const SPENT_MILLI: u64 = 1000;
/// Most that is saved up: this many retries at once.
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
    /// A request has been sent for the first time.
    pub fn earn(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(CAP_MILLI);
    }

    /// Takes one retry out, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.milli < SPENT_MILLI {
            return false;
        }
        self.milli -= SPENT_MILLI;
        true
    }
}

/// Most retries that `requests` requests can cause.
#[must_use]
pub fn max_retries(requests: u64) -> u64 {
    (CAP_MILLI + requests * EARNED_MILLI) / SPENT_MILLI
}
