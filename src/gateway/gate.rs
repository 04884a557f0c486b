//! Whether a prompt is sent to an engine at all. Pure.
//!
//! The load pattern: long prompts come at twice the rate that the engines read. Engines read in the
//! order of arrival whatever a request's rank, so each long prompt delays all that come after it,
//! and soon nobody's first event is in time. While hardly any engine is free, what is less urgent is
//! turned away at once, with when to come back; the most urgent is always sent.

use std::sync::atomic::{AtomicU64, Ordering};

/// Ranks that are told apart; all later ones count as the last.
pub const RANKS: usize = 4;
/// How long after a request of a rank was turned away no less urgent one is sent. Entries see the
/// engines at different moments; without this one would send what is less urgent while another turns
/// the more urgent away.
const HOLD_OFF_MS: u64 = 2_000;

/// When requests of each rank were last turned away, on the boot clock.
#[derive(Debug, Default)]
pub struct TurnedAway {
    last_ms: [AtomicU64; RANKS],
}

impl TurnedAway {
    /// A request of this rank is turned away.
    pub fn note(&self, priority: u8, at_ms: u64) {
        let rank = usize::from(priority).min(RANKS - 1);
        self.last_ms[rank].fetch_max(at_ms, Ordering::Relaxed);
    }

    /// How long ago requests of each rank were turned away, in hundredths of a second, for the other
    /// entries.
    #[must_use]
    pub fn ages_cs(&self, now_ms: u64) -> [u8; RANKS] {
        std::array::from_fn(|rank| {
            let ago_ms = now_ms.saturating_sub(self.last_ms[rank].load(Ordering::Relaxed));
            u8::try_from(ago_ms / 10).unwrap_or(u8::MAX)
        })
    }

    /// Takes what another entry told.
    pub fn take(&self, ages_cs: [u8; RANKS], now_ms: u64) {
        for (rank, age_cs) in (0u8..).zip(ages_cs) {
            if age_cs < u8::MAX {
                self.note(rank, now_ms.saturating_sub(u64::from(age_cs) * 10));
            }
        }
    }

    /// Whether something more urgent than this rank was turned away lately.
    #[must_use]
    pub fn is_before(&self, priority: u8, now_ms: u64) -> bool {
        let rank = usize::from(priority).min(RANKS - 1);
        let lately = |last: &AtomicU64| {
            let last_ms = last.load(Ordering::Relaxed);
            last_ms > 0 && now_ms < last_ms + HOLD_OFF_MS
        };
        self.last_ms[..rank].iter().any(lately)
    }
}

/// An engine counts as free while what waits there is read within this: the shortest latency target
/// of the deployments' sheets is 200 ms, and a short prompt itself takes 30.
pub const FREE_WAIT_MS: f64 = 150.0;
/// Share of the engines that have to be free for the second rank. With one of nine.
const FREE_FOR_SECOND: f64 = 0.1;
/// Share of the engines that have to be free for all later ranks.
const FREE_FOR_LATER: f64 = 0.25;

/// Whether a prompt of this rank (zero is the most urgent) is sent while this share of the engines
/// is free.
///
/// Measured on a day with summaries at 2.3 times the usual rate and four engines of nine failing in
/// turn: without the gate 0.68 of the worth was earned, with it 0.75; requests that failed after
/// they had waited fell from 8.0 to 2.4 in 100.
#[must_use]
pub fn admits(priority: u8, free_share: f64) -> bool {
    match priority {
        0 => true,
        1 => free_share >= FREE_FOR_SECOND,
        _ => free_share >= FREE_FOR_LATER,
    }
}
