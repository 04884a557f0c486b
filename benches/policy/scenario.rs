//! The scenarios: two deployments of the current size, each under normal load, overload, failures and growth.

use briarwinch::config::ClassSpec;

/// The policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The router unchanged.
    Router,
    /// The router, with a first-come, first-served queue at the endpoint.
    Fcfs,
    /// The router, with strict priority and no guaranteed shares at the endpoint.
    Strict,
    /// The router's queue; endpoints are chosen round robin.
    RoundRobin,
    /// The router's queue; chooses the endpoint with the fewest open requests of the same entry.
    LeastConnections,
    /// The router's queue; chooses the least loaded endpoint according to load reports that lag.
    CachedLoad,
    /// The router's queue; chooses with exact knowledge of all queues. Not possible in practice.
    Exact,
    /// A fixed number of endpoints, sized for the peak.
    FixedPeak,
    /// Scaling by utilisation thresholds.
    Threshold,
}

impl Policy {
    /// Policies compared in scenarios with a fixed number of endpoints.
    pub const ROUTING: [Self; 7] = [
        Self::Router,
        Self::Fcfs,
        Self::Strict,
        Self::RoundRobin,
        Self::LeastConnections,
        Self::CachedLoad,
        Self::Exact,
    ];
    /// Policies compared in scenarios with scaling.
    pub const SCALING: [Self; 3] = [Self::Router, Self::FixedPeak, Self::Threshold];

    pub fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Fcfs => "fcfs",
            Self::Strict => "strict-priority",
            Self::RoundRobin => "round-robin",
            Self::LeastConnections => "least-connections",
            Self::CachedLoad => "cached-load",
            Self::Exact => "exact",
            Self::FixedPeak => "fixed-peak",
            Self::Threshold => "threshold",
        }
    }
}

/// A class and the shape of its requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub spec: ClassSpec,
    /// Fraction of all requests.
    pub share: f64,
    pub prompt_tokens: u32,
    /// Mean of the exponentially distributed output length.
    pub output_tokens: f64,
}

/// The disturbance in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    None,
    /// From 100 s to 200 s, this class adds a load of `capacity` times the capacity of all endpoints.
    Burst {
        class: &'static str,
        capacity: f64,
    },
    /// From 50 s on, one account adds a load of `capacity` times the capacity of all endpoints in one class.
    Flood {
        class: &'static str,
        capacity: f64,
    },
    /// The first engine runs at this fraction of its normal speed.
    Straggler {
        speed: f64,
    },
    /// A third of the engines fail at 100 s.
    Deaths,
    /// From 100 s on, outputs are this many times as long.
    LongOutputs {
        times: f64,
    },
    /// Demand rises in the morning and falls again later.
    Morning,
}

/// A deployment, its load and a disturbance.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub classes: Vec<Class>,
    pub endpoints: usize,
    pub accounts: usize,
    /// Normal demand as a fraction of capacity.
    pub load: f64,
    pub seconds: u64,
    pub event: Event,
    /// Age of the load reports that `Policy::CachedLoad` uses.
    pub report_lag_ms: u64,
    /// Whether the number of endpoints changes, and the scaling policies are compared.
    pub scales: bool,
}

fn class(
    name: &'static str,
    latency_target_ms: u32,
    priority: u8,
    protected: bool,
    shape: (f64, u32, f64),
) -> Class {
    let spec = ClassSpec {
        latency_target_ms,
        priority,
        protected,
        guaranteed_ppm: 50_000,
        max_wait_ms: None,
    };
    let (share, prompt_tokens, output_tokens) = shape;
    Class { name, spec, share, prompt_tokens, output_tokens }
}

fn sidang() -> Vec<Class> {
    vec![
        class("hearing-summary", 800, 90, true, (0.20, 800, 120.0)),
        class("filing", 1500, 70, false, (0.10, 400, 60.0)),
        class("index-draft", 2000, 60, false, (0.20, 800, 200.0)),
        class("rush-order", 1500, 50, false, (0.25, 300, 80.0)),
        class("lookup", 2000, 20, false, (0.20, 100, 40.0)),
        class("archive", 10_000, 10, false, (0.05, 1500, 300.0)),
    ]
}

fn pullikkal() -> Vec<Class> {
    vec![
        class("plot-reading", 500, 90, true, (0.25, 500, 60.0)),
        class("quick-answer", 800, 60, false, (0.30, 150, 50.0)),
        class("grazing-advice", 2000, 40, false, (0.35, 600, 150.0)),
        class("board-summary", 10_000, 20, false, (0.10, 2000, 400.0)),
    ]
}

/// Returns all scenarios for both deployments.
pub fn all() -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for (site, classes, burst) in
        [("sidang", sidang(), "rush-order"), ("pullikkal", pullikkal(), "grazing-advice")]
    {
        let base = Scenario {
            name: String::new(),
            classes,
            endpoints: 10,
            accounts: 10,
            load: 0.55,
            seconds: 300,
            event: Event::None,
            report_lag_ms: 1_000,
            scales: false,
        };
        let mut add = |name: &str, event: Event, change: &dyn Fn(&mut Scenario)| {
            let mut scenario = Scenario { name: format!("{site}/{name}"), event, ..base.clone() };
            change(&mut scenario);
            scenarios.push(scenario);
        };
        add("calm", Event::None, &|_| {});
        add("burst", Event::Burst { class: burst, capacity: 2.0 }, &|_| {});
        add("flood", Event::Flood { class: burst, capacity: 1.5 }, &|_| {});
        add("straggler", Event::Straggler { speed: 0.2 }, &|_| {});
        add("deaths", Event::Deaths, &|scenario| scenario.load = 0.5);
        add("late-reports", Event::None, &|scenario| {
            scenario.report_lag_ms = 5_000;
            scenario.load = 0.8;
        });
        add("long-outputs", Event::LongOutputs { times: 10.0 }, &|scenario| scenario.load = 0.12);
        add("morning", Event::Morning, &|scenario| {
            scenario.seconds = 3_600;
            scenario.scales = true;
        });
    }
    scenarios
}
