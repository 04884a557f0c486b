//! How many endpoints a service needs in an availability zone.
//!
//! Pure: what is seen goes in with its time, an order or none comes out. Need is the work in slots
//! (running and waiting) over what one endpoint carries at a utilisation that still keeps the
//! latency targets. Starts are early: the need is taken as it will be when an endpoint ordered now
//! is up, by the slope of the last minute and the start time as measured. Stops are late: only
//! what was not needed for a whole while is stopped, one at a time.

use std::collections::VecDeque;

use crate::config;

/// Share of an endpoint's slots in use at which latency targets still hold.
const UTILISATION: f64 = 0.85;
/// How far back the slope looks.
const SLOPE_MS: u64 = 60_000;
/// A need must have been lower for this long before an endpoint is stopped.
const STOP_AFTER_MS: u64 = 120_000;
/// Start time assumed before one was measured.
const FIRST_START_MS: f64 = 60_000.0;
/// Weight of the newest measured start.
const NEWEST: f64 = 0.3;
/// Starts under way at most; the weight store's rate bounds loads.
const MAX_STARTING: u32 = 4;

/// What is seen of a service in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    pub live: u32,
    pub starting: u32,
    pub running: u32,
    pub waiting: u32,
    /// Slots of one endpoint.
    pub slots: u32,
}

/// What to order.
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
    /// When starts were ordered that are not up yet, oldest first.
    ordered_ms: VecDeque<u64>,
}

impl Default for Planner {
    fn default() -> Self {
        Self { samples: VecDeque::new(), start_ms: FIRST_START_MS, ordered_ms: VecDeque::new() }
    }
}

impl Planner {
    /// A planner that has been told how long an endpoint takes to start.
    #[must_use]
    pub fn with_start_ms(start_ms: u64) -> Self {
        Self { start_ms: start_ms as f64, ..Self::default() }
    }

    /// An endpoint that was ordered has come up; gives its start time to what is expected.
    pub fn endpoint_started(&mut self, now_ms: u64) {
        if let Some(ordered_ms) = self.ordered_ms.pop_front() {
            let took_ms = now_ms.saturating_sub(ordered_ms) as f64;
            self.start_ms += (took_ms - self.start_ms) * NEWEST;
        }
    }

    /// What to order now; one order at a time.
    pub fn plan(&mut self, seen: Observation, bounds: config::EndpointBounds, now_ms: u64) -> Plan {
        self.note(seen, now_ms);
        let all = seen.live + seen.starting;
        let wanted = self.wanted(seen, now_ms).clamp(bounds.least, bounds.most);
        if all < wanted && seen.starting < MAX_STARTING {
            self.ordered_ms.push_back(now_ms);
            return Plan::Start;
        }
        let keep = self.kept(seen, now_ms).clamp(bounds.least, bounds.most);
        if seen.starting == 0 && seen.live > keep && seen.live > wanted {
            return Plan::Stop;
        }
        Plan::Hold
    }

    fn note(&mut self, seen: Observation, now_ms: u64) {
        let work_slots = f64::from(seen.running + seen.waiting);
        self.samples.push_back(Sample { at_ms: now_ms, work_slots });
        while self.samples.front().is_some_and(|first| first.at_ms + STOP_AFTER_MS < now_ms) {
            self.samples.pop_front();
        }
    }

    fn endpoints_for(work_slots: f64, seen: Observation) -> u32 {
        let carries = f64::from(seen.slots.max(1)) * UTILISATION;
        (work_slots / carries).ceil() as u32
    }

    /// Endpoints needed when one that is ordered now is up.
    fn wanted(&self, seen: Observation, now_ms: u64) -> u32 {
        let now_slots = f64::from(seen.running + seen.waiting);
        let growth = self.slope_per_ms(now_ms).max(0.0) * self.start_ms;
        // A short burst has a steep slope; it is not believed for more than the work there is.
        Self::endpoints_for(now_slots + growth.min(now_slots), seen)
    }

    /// Endpoints that were needed at some moment of the last while.
    fn kept(&self, seen: Observation, now_ms: u64) -> u32 {
        let first_ms = self.samples.front().map_or(now_ms, |first| first.at_ms);
        if now_ms < first_ms + STOP_AFTER_MS - STOP_AFTER_MS / 10 {
            // A new holder has not watched for long enough to say what is not needed.
            return u32::MAX;
        }
        let most = self.samples.iter().map(|sample| sample.work_slots).fold(0.0, f64::max);
        Self::endpoints_for(most, seen)
    }

    fn slope_per_ms(&self, now_ms: u64) -> f64 {
        let recent = self.samples.iter().filter(|sample| sample.at_ms + SLOPE_MS >= now_ms);
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
