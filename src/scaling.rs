//! Autoscaling: how many endpoints a service needs in an availability zone.
//!
//! The planner does no I/O and has no clock: it takes observations with their times and returns at most
//! one action. The demand is the work in slots (running and waiting) divided by the slots that one
//! endpoint can use while it still meets the latency targets. Scaling up is predictive: demand is
//! extrapolated to the time when an endpoint started now is ready, with the slope of the last minute and
//! the measured start time. Scaling down is delayed: endpoints are stopped one at a time, and only if
//! they were not needed for the whole of `STOP_DELAY_MS`.

use std::collections::VecDeque;

use crate::config;

/// Share of an endpoint's slots in use at which the latency targets are still met.
const UTILISATION: f64 = 0.85;
/// Window over which the slope of the demand is computed.
const SLOPE_WINDOW_MS: u64 = 60_000;
/// How long the demand must have been lower before an endpoint is stopped.
const STOP_DELAY_MS: u64 = 120_000;
/// Start time of an endpoint assumed before one was measured.
const INITIAL_START_MS: f64 = 60_000.0;
/// Weight of the newest measured start time in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;
/// Maximum number of concurrent starts; the throughput of the weight store limits model loading.
const MAX_STARTING: u32 = 4;

/// Observed state of a service in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    pub live: u32,
    pub starting: u32,
    pub running: u32,
    pub waiting: u32,
    /// Number of slots of one endpoint.
    pub slots: u32,
}

/// Action returned by [`Planner::plan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    Hold,
    Start,
    Stop,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    work_slots: f64,
}

/// Plans the number of endpoints of one service in one zone.
#[derive(Clone, Debug)]
pub struct Planner {
    samples: VecDeque<Sample>,
    start_ms: f64,
    /// Times of the start orders whose endpoints are not up yet, oldest first.
    ordered_ms: VecDeque<u64>,
}

impl Default for Planner {
    fn default() -> Self {
        Self { samples: VecDeque::new(), start_ms: INITIAL_START_MS, ordered_ms: VecDeque::new() }
    }
}

impl Planner {
    /// Creates a planner with a given initial estimate of the start time.
    #[must_use]
    pub fn with_start_ms(start_ms: u64) -> Self {
        Self { start_ms: start_ms as f64, ..Self::default() }
    }

    /// Records that an ordered endpoint is up and updates the estimated start time.
    pub fn endpoint_started(&mut self, now_ms: u64) {
        if let Some(ordered_ms) = self.ordered_ms.pop_front() {
            let took_ms = now_ms.saturating_sub(ordered_ms) as f64;
            self.start_ms += (took_ms - self.start_ms) * NEWEST_WEIGHT;
        }
    }

    /// Records an observation and returns the action to take now, at most one start or stop.
    pub fn plan(
        &mut self,
        observed: Observation,
        bounds: config::EndpointBounds,
        now_ms: u64,
    ) -> Plan {
        self.record(observed, now_ms);
        let all = observed.live + observed.starting;
        let predicted_need = self.predicted_need(observed, now_ms).clamp(bounds.least, bounds.most);
        if all < predicted_need && observed.starting < MAX_STARTING {
            self.ordered_ms.push_back(now_ms);
            return Plan::Start;
        }
        let keep = self.recent_peak_need(observed, now_ms).clamp(bounds.least, bounds.most);
        if observed.starting == 0 && observed.live > keep && observed.live > predicted_need {
            return Plan::Stop;
        }
        Plan::Hold
    }

    fn record(&mut self, observed: Observation, now_ms: u64) {
        let work_slots = f64::from(observed.running + observed.waiting);
        self.samples.push_back(Sample { at_ms: now_ms, work_slots });
        while self.samples.front().is_some_and(|first| first.at_ms + STOP_DELAY_MS < now_ms) {
            self.samples.pop_front();
        }
    }

    fn endpoints_for(work_slots: f64, observed: Observation) -> u32 {
        let slots_per_endpoint = f64::from(observed.slots.max(1)) * UTILISATION;
        (work_slots / slots_per_endpoint).ceil() as u32
    }

    /// Returns the number of endpoints needed by the time an endpoint ordered now is up.
    fn predicted_need(&self, observed: Observation, now_ms: u64) -> u32 {
        let now_slots = f64::from(observed.running + observed.waiting);
        let growth = self.slope_per_ms(now_ms).max(0.0) * self.start_ms;
        // A short burst has a steep slope, so the predicted growth is limited to the current work.
        Self::endpoints_for(now_slots + growth.min(now_slots), observed)
    }

    /// Returns the largest number of endpoints needed at any time in the last `STOP_DELAY_MS`.
    fn recent_peak_need(&self, observed: Observation, now_ms: u64) -> u32 {
        let first_ms = self.samples.front().map_or(now_ms, |first| first.at_ms);
        if now_ms < first_ms + STOP_DELAY_MS - STOP_DELAY_MS / 10 {
            // A new lease holder has not observed the demand for long enough to stop endpoints.
            return u32::MAX;
        }
        let most = self.samples.iter().map(|sample| sample.work_slots).fold(0.0, f64::max);
        Self::endpoints_for(most, observed)
    }

    /// Returns the slope of the demand by linear regression over the last `SLOPE_WINDOW_MS`.
    fn slope_per_ms(&self, now_ms: u64) -> f64 {
        let recent = self.samples.iter().filter(|sample| sample.at_ms + SLOPE_WINDOW_MS >= now_ms);
        let (mut count, mut sum_x, mut sum_y, mut sum_xx, mut sum_xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for sample in recent {
            let x = sample.at_ms as f64 - now_ms as f64;
            count += 1.0;
            sum_x += x;
            sum_y += sample.work_slots;
            sum_xx += x * x;
            sum_xy += x * sample.work_slots;
        }
        let spread = count * sum_xx - sum_x * sum_x;
        if count < 3.0 || spread <= 0.0 {
            return 0.0;
        }
        (count * sum_xy - sum_x * sum_y) / spread
    }
}
