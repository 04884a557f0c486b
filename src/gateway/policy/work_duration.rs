//! Duration of work at each endpoint, as the endpoints report it.
//!
//! Load pattern: endpoints of one service are of unequal speed (0.55 to 1.2 times the usual duration),
//! and each has slow phases of 2.5 times that, which change about every 600 ms. The last report tells
//! the phase, and an average over many phases what to expect once the report is old.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::{Endpoint, EndpointKey};

/// How long a report counts fully.
const FRESH_MS: f64 = 100.0;
/// Age at which only the average counts: a phase lasts about that long.
const PHASE_MS: f64 = 600.0;
/// Time constant of the average: about sixteen phases.
const AVERAGE_MS: f64 = 10_000.0;
/// Weight of a report that comes together with others. One that comes later counts for the time since
/// the one before, since a slow endpoint answers less often than a fast one.
const MIN_WEIGHT_MS: f64 = 20.0;
/// Age at which the reports of an endpoint no longer count.
const MAX_AGE_MS: u64 = 10_000;
/// Interval between two log lines about malformed reports of one endpoint.
const MALFORMED_LOG_INTERVAL_MS: u64 = 60_000;

/// Reports that are this young are sent to the other entries.
const SENT_AGE_MS: u64 = 1_000;
/// Unit of ages in messages.
const AGE_STEP_MS: u64 = 25;

/// A report of an endpoint, as entries send it to each other. An entry alone hears from an endpoint of a large service
/// less often than its phases change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub endpoint: EndpointKey,
    pub duration_percent: u16,
    /// Age in steps of 25 ms.
    age_steps: u8,
}

/// Reports of one start of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Reported {
    started_unix_ms: u64,
    factor: f64,
    at_ms: u64,
    /// Sum of the reports, each with its weight, and sum of the weights.
    weighted: f64,
    weight: f64,
    /// Lowest and highest recent report.
    lowest: f64,
    highest: f64,
}

impl Reported {
    fn average(&self) -> f64 {
        self.weighted / self.weight
    }

    fn phases(&self) -> Phases {
        let (usual, slow) = (self.lowest, self.highest);
        let slow_share = (self.average() - usual) / (slow - usual).max(f64::MIN_POSITIVE);
        Phases { usual, slow, slow_share: slow_share.clamp(0.0, 1.0) }
    }
}

/// Duration of work at an endpoint in its two phases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phases {
    pub usual: f64,
    pub slow: f64,
    /// Share of the time in the slow phase.
    pub slow_share: f64,
}

impl Phases {
    /// An endpoint without phases.
    #[must_use]
    pub fn constant(factor: f64) -> Self {
        Self { usual: factor, slow: factor, slow_share: 0.0 }
    }
}

/// Duration of work at each endpoint, relative to the usual duration.
#[derive(Clone, Debug, Default)]
pub struct WorkDurations {
    reported: HashMap<EndpointKey, Reported>,
    /// When any endpoint last reported.
    last_report_ms: Option<u64>,
    /// When a malformed report of an endpoint was last logged.
    malformed_logged_ms: HashMap<EndpointKey, u64>,
}

impl WorkDurations {
    /// Records the duration that an endpoint reported, in percent of the usual one. Reports of a
    /// process that was replaced are ignored.
    pub fn record(&mut self, endpoint: &Endpoint, duration_percent: u32, now_ms: u64) {
        let factor = f64::from(duration_percent) / 100.0;
        let started_unix_ms = endpoint.started_unix_ms;
        let known = self.reported.get(&endpoint.key).copied();
        if known.is_some_and(|one| {
            started_unix_ms < one.started_unix_ms && is_recent(one.at_ms, now_ms)
        }) {
            return;
        }
        let known = known.filter(|one| one.started_unix_ms == started_unix_ms);
        let elapsed_ms = known.map_or(0.0, |one| now_ms.saturating_sub(one.at_ms) as f64);
        let kept = (-elapsed_ms / AVERAGE_MS).exp();
        let (weighted, weight) = known.map_or((factor * PHASE_MS, PHASE_MS), |one| {
            let weight = elapsed_ms.clamp(MIN_WEIGHT_MS, PHASE_MS);
            (one.weighted * kept + factor * weight, one.weight * kept + weight)
        });
        // Extremes that are not reported again decay toward the average.
        let average = weighted / weight;
        let (lowest, highest) = known.map_or((factor, factor), |one| {
            let decayed = |extreme: f64| average + (extreme - average) * kept;
            (decayed(one.lowest).min(factor), decayed(one.highest).max(factor))
        });
        let reported =
            Reported { started_unix_ms, factor, at_ms: now_ms, weighted, weight, lowest, highest };
        self.reported.insert(endpoint.key, reported);
        self.last_report_ms = Some(now_ms);
    }

    /// Returns the newest reports, of this entry and the others, for the other entries; at most `max`.
    #[must_use]
    pub fn recent(&self, max: usize, now_ms: u64) -> Vec<Report> {
        let mut recent: Vec<(u64, Report)> = self
            .reported
            .iter()
            .filter(|(_, one)| now_ms < one.at_ms + SENT_AGE_MS)
            .map(|(endpoint, one)| {
                let age_steps = now_ms.saturating_sub(one.at_ms).div_ceil(AGE_STEP_MS);
                let report = Report {
                    endpoint: *endpoint,
                    duration_percent: (one.factor * 100.0).round() as u16,
                    age_steps: u8::try_from(age_steps).unwrap_or(u8::MAX),
                };
                (one.at_ms, report)
            })
            .collect();
        recent.sort_unstable_by_key(|(at_ms, one)| (std::cmp::Reverse(*at_ms), one.endpoint));
        recent.into_iter().map(|(_, one)| one).take(max).collect()
    }

    /// Records a report that another entry has heard, unless a newer one is known.
    pub fn record_heard(&mut self, endpoint: &Endpoint, report: Report, now_ms: u64) {
        let at_ms = now_ms.saturating_sub(u64::from(report.age_steps) * AGE_STEP_MS);
        let known = self.known(endpoint, now_ms);
        // A report that comes back through others has lost up to a step of its age.
        if known.is_none_or(|one| one.at_ms + AGE_STEP_MS < at_ms) {
            self.record(endpoint, u32::from(report.duration_percent), at_ms);
        }
    }

    /// Returns how long work takes at an endpoint now, relative to the usual duration; 1.0 if it has
    /// not reported within 10 s.
    #[must_use]
    pub fn factor(&self, endpoint: &Endpoint, now_ms: u64) -> f64 {
        self.known(endpoint, now_ms).map_or(1.0, |one| {
            let age_ms = now_ms.saturating_sub(one.at_ms) as f64;
            let freshness = ((PHASE_MS - age_ms) / (PHASE_MS - FRESH_MS)).clamp(0.0, 1.0);
            one.average() + (one.factor - one.average()) * freshness
        })
    }

    /// Returns the phases of an endpoint, as far as it has reported them.
    #[must_use]
    pub fn phases(&self, endpoint: &Endpoint, now_ms: u64) -> Phases {
        self.known(endpoint, now_ms).map_or(Phases::constant(1.0), Reported::phases)
    }

    /// Returns the mean factor of an endpoint over the last `took_ms`. The longer that is, the less
    /// of it was spent in the current phase.
    #[must_use]
    pub fn factor_over(&self, endpoint: &Endpoint, took_ms: u64, now_ms: u64) -> f64 {
        self.known(endpoint, now_ms).map_or(1.0, |one| {
            let in_phase = 1.0 - (took_ms as f64 / PHASE_MS).min(1.0);
            one.average() + (self.factor(endpoint, now_ms) - one.average()) * in_phase
        })
    }

    /// Returns the age of the last report of an endpoint, if it counts.
    #[must_use]
    pub fn age_ms(&self, endpoint: &Endpoint, now_ms: u64) -> Option<u64> {
        self.known(endpoint, now_ms).map(|one| now_ms.saturating_sub(one.at_ms))
    }

    /// Returns whether any endpoint has reported within 10 s.
    #[must_use]
    pub fn is_reported(&self, now_ms: u64) -> bool {
        self.last_report_ms.is_some_and(|at_ms| is_recent(at_ms, now_ms))
    }

    /// Returns whether one of these endpoints has reported within 10 s.
    #[must_use]
    pub fn is_reported_by_any(&self, endpoints: &[&Endpoint], now_ms: u64) -> bool {
        self.is_reported(now_ms) && endpoints.iter().any(|one| self.known(one, now_ms).is_some())
    }

    /// Returns the averages of the endpoints that have reported within 10 s.
    pub fn averages(&self, now_ms: u64) -> impl Iterator<Item = f64> {
        let recent = self.reported.values().filter(move |one| is_recent(one.at_ms, now_ms));
        recent.map(Reported::average)
    }

    /// Records a malformed report. Returns whether it is to be logged, once a minute for an endpoint.
    pub fn record_malformed(&mut self, endpoint: EndpointKey, now_ms: u64) -> bool {
        let logged_ms = self.malformed_logged_ms.get(&endpoint);
        let is_due = logged_ms.is_none_or(|at_ms| now_ms >= at_ms + MALFORMED_LOG_INTERVAL_MS);
        if is_due {
            self.malformed_logged_ms.insert(endpoint, now_ms);
        }
        is_due
    }

    /// Removes endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(EndpointKey) -> bool) {
        self.reported.retain(|endpoint, _| is_known(*endpoint));
        self.malformed_logged_ms.retain(|endpoint, _| is_known(*endpoint));
    }

    fn known(&self, endpoint: &Endpoint, now_ms: u64) -> Option<&Reported> {
        self.reported.get(&endpoint.key).filter(|one| {
            one.started_unix_ms == endpoint.started_unix_ms && is_recent(one.at_ms, now_ms)
        })
    }
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    now_ms < at_ms + MAX_AGE_MS
}
