//! The scenarios: two deployments of today's size, each under what can happen to it.

use briarwinch::config::ClassSpec;

/// Policies compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The router as it is.
    Router,
    /// The router with first come first served at the endpoint.
    Fcfs,
    /// The router with strict priority and no shares at the endpoint.
    Strict,
    /// The router's queue; endpoints in turn.
    RoundRobin,
    /// The router's queue; the endpoint with the fewest requests of the entry's own.
    LeastConnections,
    /// The router's queue; the least loaded by reports that lag.
    CachedLoad,
    /// The router's queue; every endpoint's queue seen exactly. Not to be had in practice.
    Exact,
    /// Endpoints for the peak all the time.
    FixedPeak,
    /// Endpoints by a utilisation threshold.
    Threshold,
}

impl Policy {
    pub const ROUTING: [Self; 7] = [
        Self::Router,
        Self::Fcfs,
        Self::Strict,
        Self::RoundRobin,
        Self::LeastConnections,
        Self::CachedLoad,
        Self::Exact,
    ];
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

/// A class of requests and what its requests are like.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub text: ClassSpec,
    /// Part of all requests.
    pub share: f64,
    pub prompt_tokens: u32,
    pub output_tokens: f64,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    None,
    /// From 100 s to 200 s this class comes at so many times all of the endpoints' capacity.
    Burst {
        class: &'static str,
        capacity: f64,
    },
    /// One account sends so many times the whole capacity, in one class, from 50 s on.
    Flood {
        class: &'static str,
        capacity: f64,
    },
    /// The first engine works at this part of its rate.
    Straggler {
        speed: f64,
    },
    /// A third of the engines die at 100 s.
    Deaths,
    /// Outputs are this many times as long from 100 s on.
    LongOutputs {
        times: f64,
    },
    /// Demand rises in the morning and falls again.
    Morning,
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub classes: Vec<Class>,
    pub endpoints: usize,
    pub accounts: usize,
    /// Demand over capacity.
    pub load: f64,
    pub seconds: u64,
    pub event: Event,
    pub report_lag_ms: u64,
    pub scales: bool,
}

fn class(
    name: &'static str,
    latency_target_ms: u32,
    priority: u8,
    protected: bool,
    shape: (f64, u32, f64),
) -> Class {
    let text = ClassSpec {
        latency_target_ms,
        priority,
        protected,
        guaranteed_ppm: 50_000,
        max_wait_ms: None,
    };
    let (share, prompt_tokens, output_tokens) = shape;
    Class { name, text, share, prompt_tokens, output_tokens }
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

/// All scenarios at both deployments.
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
