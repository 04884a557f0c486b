//! How long the requests of a service take, from their arrival to the end of the response.
//!
//! Load pattern: most streams end long before their output limit, and a few run several times as long as the
//! others, so a mean says little about one request. The upper estimate adds a multiple of the mean deviation,
//! as retransmission timers do (Jacobson, Congestion Avoidance and Control, 1988).

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;

/// Smallest weight of a new duration in the averages.
const MIN_WEIGHT: f64 = 0.02;
/// Mean deviations above the mean that a duration seldom exceeds.
const UPPER_DEVIATIONS: f64 = 4.0;

/// Moving averages of the durations of one service's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    count: u32,
    mean_ms: f64,
    deviation_ms: f64,
}

impl Durations {
    /// Adds the duration of a request that has ended.
    pub fn observe(&mut self, took_ms: u64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        let error_ms = took_ms as f64 - self.mean_ms;
        if self.count > 1 {
            self.deviation_ms += (error_ms.abs() - self.deviation_ms) * weight;
        }
        self.mean_ms += error_ms * weight;
    }

    /// Returns the mean duration in ms; `None` before any request has ended.
    #[must_use]
    pub fn mean_ms(&self) -> Option<u64> {
        (self.count > 0).then_some(self.mean_ms as u64)
    }

    /// Returns a duration in ms that few requests exceed; `None` before any has ended.
    #[must_use]
    pub fn upper_ms(&self) -> Option<u64> {
        let upper_ms = self.mean_ms + UPPER_DEVIATIONS * self.deviation_ms;
        (self.count > 0).then_some(upper_ms as u64)
    }
}

/// Durations of complete responses by service, as measured by this entry.
#[derive(Debug, Default)]
pub struct ByService(Mutex<HashMap<CompactString, Durations>>);

impl ByService {
    /// Records how long a request took from its arrival to the end of its response.
    pub fn observe(&self, service: &CompactString, took_ms: u64) {
        self.lock().entry(service.clone()).or_default().observe(took_ms);
    }

    /// Returns the durations of a service's requests.
    #[must_use]
    pub fn of(&self, service: &str) -> Durations {
        self.lock().get(service).copied().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CompactString, Durations>> {
        // An update never leaves the map half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
