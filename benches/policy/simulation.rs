//! A discrete-event simulation of a scenario under a policy, on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use briarwinch::latency::LatencyEstimator;
use briarwinch::membership::EndpointLocation;
use briarwinch::placement::{self, Backoffs, Target};
use briarwinch::queue::{ClassRule, Job, PushOutcome, Queue, Started};
use briarwinch::retry::Budget;
use briarwinch::scaling::{Observation, Plan, Planner};
use briarwinch::{config, wire};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::arrivals::{self, ENTRIES, Request};
use crate::engine::{Engine, SLOTS};
use crate::scenario::{Event, Policy, Scenario};

const ZONES: usize = 3;
/// Number of endpoints asked for an offer per request.
const ASK_WIDTH: usize = 3;
/// Capacity of the queue of an endpoint.
const QUEUE_CAPACITY: usize = 512;
/// Clients disconnect after this time without a first token.
const CLIENT_TIMEOUT_MS: u64 = 60_000;
/// Time from the decision to start an endpoint until it is ready.
const ENDPOINT_START_MS: u64 = 45_000;
/// Interval of scaling decisions.
const SCALING_INTERVAL_MS: u64 = 2_000;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 4;

/// The result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    pub requests: Vec<Request>,
    pub endpoint_ms: u64,
    /// Endpoint time that the demand, known in advance, would have needed.
    pub least_endpoint_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize),
    FirstToken { endpoint: usize, run: u64 },
    End { endpoint: usize, run: u64 },
    Retry(usize),
    EngineFailures,
    EndpointUp(usize),
    Scale,
    LoadReport,
}

#[derive(Debug)]
enum WaitQueue {
    Router(Queue),
    /// Jobs sorted by arrival or, if `strict`, by priority and then arrival.
    Ordered {
        jobs: VecDeque<Job>,
        strict: bool,
    },
}

#[derive(Debug)]
struct Run {
    request: usize,
    started: Option<Started>,
    began_ms: u64,
    first_ms: Option<u64>,
    end_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Starting,
    Up,
    Leaving,
    Stopped,
}

#[derive(Debug)]
struct Endpoint {
    engine: Engine,
    waiting: WaitQueue,
    latency: LatencyEstimator,
    runs: HashMap<u64, Run>,
    location: EndpointLocation,
    standing: Standing,
    /// Start of the endpoint time that is charged.
    since_ms: u64,
    /// Load reports with their times; the first is the one that entries see.
    reported: VecDeque<(u64, usize)>,
    /// Recent prompt prefixes, which offers report as cached.
    prefixes: VecDeque<u64>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    sequence: u64,
    requests: Vec<Request>,
    endpoints: Vec<Endpoint>,
    rules: Vec<ClassRule>,
    random: StdRng,
    /// Counter of the round-robin policy.
    round_robin: usize,
    /// Open requests by entry and endpoint.
    open_requests: Vec<Vec<usize>>,
    /// Backoffs of unresponsive endpoints, by entry.
    backoffs: Vec<Backoffs>,
    /// Retry budgets by entry.
    retry_budgets: Vec<Budget>,
    planner: Planner,
    endpoint_ms: u64,
}

/// Runs a scenario under a policy.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let requests = arrivals::arrivals(scenario, seed);
    let least_endpoint_ms = arrivals::least_endpoint_ms(scenario, &requests);
    let mut simulation = Simulation::new(scenario, policy, seed, requests);
    while let Some(Reverse((at_ms, _, event))) = simulation.events.pop() {
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    simulation.charge_remaining();
    Outcome {
        requests: simulation.requests,
        endpoint_ms: simulation.endpoint_ms,
        least_endpoint_ms,
    }
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64, requests: Vec<Request>) -> Self {
        let rules: Vec<ClassRule> = scenario
            .classes
            .iter()
            .map(|class| ClassRule {
                priority: class.spec.priority,
                protected: class.spec.protected,
                guaranteed_ppm: class.spec.guaranteed_ppm,
            })
            .collect();
        let initial_endpoints = match (scenario.scales, policy) {
            (true, Policy::FixedPeak) | (false, _) => scenario.endpoints,
            (true, _) => 2,
        };
        let mut simulation = Self {
            scenario,
            policy,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            endpoints: Vec::new(),
            rules,
            random: StdRng::seed_from_u64(seed ^ 0xbeef),
            round_robin: 0,
            open_requests: vec![vec![0; 64]; ENTRIES],
            backoffs: vec![Backoffs::default(); ENTRIES],
            retry_budgets: vec![Budget::default(); ENTRIES],
            planner: Planner::default(),
            endpoint_ms: 0,
            requests,
        };
        for _ in 0..initial_endpoints {
            simulation.add_endpoint(true);
        }
        if let Event::Straggler { speed } = scenario.event {
            simulation.endpoints[0].engine.speed = speed;
        }
        for number in 0..simulation.requests.len() {
            simulation
                .schedule(simulation.requests[number].arrived_ms, SimulationEvent::Arrival(number));
        }
        if scenario.event == Event::Deaths {
            simulation.schedule(100_000, SimulationEvent::EngineFailures);
        }
        simulation.schedule(0, SimulationEvent::LoadReport);
        if scenario.scales && policy != Policy::FixedPeak {
            simulation.schedule(0, SimulationEvent::Scale);
        }
        simulation
    }

    fn add_endpoint(&mut self, up: bool) -> usize {
        let number = self.endpoints.len();
        let work_addr: SocketAddr = ([127, 0, 0, 1], number as u16 + 1).into();
        let waiting = match self.policy {
            Policy::Fcfs => WaitQueue::Ordered { jobs: VecDeque::new(), strict: false },
            Policy::Strict => WaitQueue::Ordered { jobs: VecDeque::new(), strict: true },
            _ => WaitQueue::Router(Queue::new(1, self.rules.clone(), QUEUE_CAPACITY)),
        };
        self.endpoints.push(Endpoint {
            engine: Engine::new(1.0),
            waiting,
            latency: LatencyEstimator::default(),
            runs: HashMap::new(),
            location: EndpointLocation {
                work_addr,
                endpoint: wire::EndpointIndex(0),
                id: format!("engine-{number}").into(),
                service: "s".into(),
                zone: format!("zone-{}", number % ZONES).into(),
            },
            standing: if up { Standing::Up } else { Standing::Starting },
            since_ms: self.now_ms,
            reported: VecDeque::new(),
            prefixes: VecDeque::new(),
        });
        number
    }

    fn schedule(&mut self, at_ms: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(request) => {
                let entry = self.requests[request].entry;
                self.retry_budgets[entry].earn();
                self.route(request);
            }
            SimulationEvent::Retry(request) => self.route(request),
            SimulationEvent::FirstToken { endpoint, run } => self.first_token(endpoint, run),
            SimulationEvent::End { endpoint, run } => self.finish_run(endpoint, run),
            SimulationEvent::EngineFailures => self.fail_engines(),
            SimulationEvent::EndpointUp(endpoint) => {
                self.endpoints[endpoint].standing = Standing::Up;
                self.planner.endpoint_started(self.now_ms);
            }
            SimulationEvent::Scale => self.scale(),
            SimulationEvent::LoadReport => self.report_loads(),
        }
    }

    fn route(&mut self, request: usize) {
        let Some(endpoint) = self.choose(request) else {
            return self.refuse(request);
        };
        self.requests[request].attempts += 1;
        self.requests[request].tried.push(endpoint);
        if self.endpoints[endpoint].engine.dead {
            return self.retry(request);
        }
        self.open_requests[self.requests[request].entry][endpoint] += 1;
        self.submit(request, endpoint);
    }

    fn refuse(&mut self, request: usize) {
        self.requests[request].refused = true;
    }

    /// Retries a request if its attempts and the retry budget of its entry allow it, else refuses it.
    fn retry(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        if self.requests[request].attempts < MAX_ATTEMPTS && self.retry_budgets[entry].spend() {
            self.schedule(self.now_ms + 1, SimulationEvent::Retry(request));
        } else {
            self.refuse(request);
        }
    }

    /// Endpoints that are up and that the request was not sent to yet.
    fn candidates(&self, request: usize) -> Vec<usize> {
        let tried = &self.requests[request].tried;
        (0..self.endpoints.len())
            .filter(|number| self.endpoints[*number].standing == Standing::Up)
            .filter(|number| !tried.contains(number))
            .collect()
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let candidates = self.candidates(request);
        match self.policy {
            Policy::RoundRobin => {
                self.round_robin += 1;
                (!candidates.is_empty()).then(|| candidates[self.round_robin % candidates.len()])
            }
            Policy::LeastConnections => {
                let own = &self.open_requests[self.requests[request].entry];
                let offset: usize = self.random.random_range(0..64);
                candidates.into_iter().min_by_key(|number| (own[*number], (number + offset) % 64))
            }
            Policy::CachedLoad => {
                let offset: usize = self.random.random_range(0..64);
                candidates.into_iter().min_by_key(|number| {
                    let load = self.endpoints[*number].reported.front().map_or(0, |seen| seen.1);
                    (load, (number + offset) % 64)
                })
            }
            Policy::Exact => candidates
                .into_iter()
                .filter(|number| !self.endpoints[*number].engine.dead)
                .min_by_key(|number| {
                    self.offer(*number, request)
                        .map_or(u32::MAX, |offer| placement::cost_ms(&offer, true))
                }),
            _ => self.ask(request, &candidates),
        }
    }

    /// Chooses an endpoint as the router does: asks several endpoints and takes the offer of the least cost.
    fn ask(&mut self, request: usize, candidates: &[usize]) -> Option<usize> {
        let (entry, prefix) = (self.requests[request].entry, self.requests[request].prefix);
        let locations: Vec<EndpointLocation> =
            candidates.iter().map(|number| self.endpoints[*number].location.clone()).collect();
        let zone = format!("zone-{}", entry % ZONES);
        let now_ms = self.now_ms;
        let backoffs = &self.backoffs[entry];
        let avoid = |target: Target| backoffs.is_backed_off(target, now_ms);
        let picked = placement::pick(&locations, &zone, prefix, ASK_WIDTH, avoid, &mut self.random);
        let numbers: Vec<usize> = picked
            .iter()
            .filter_map(|location| {
                candidates.iter().copied().find(|n| self.endpoints[*n].location.id == location.id)
            })
            .collect();
        let mut best: Option<(u32, usize)> = None;
        for number in numbers {
            let target = Target::of(&self.endpoints[number].location);
            match self.offer(number, request) {
                None => self.backoffs[entry].record_timeout(target, now_ms),
                Some(offer) => {
                    self.backoffs[entry].record_answer(target);
                    let same = self.endpoints[number].location.zone == zone.as_str();
                    let cost = placement::cost_ms(&offer, same);
                    if best.is_none_or(|(least, _)| cost < least) {
                        best = Some((cost, number));
                    }
                }
            }
        }
        best.map(|(_, number)| number)
    }

    /// The offer of an endpoint, or nothing if its engine failed.
    fn offer(&self, number: usize, request: usize) -> Option<wire::Offer> {
        let endpoint = &self.endpoints[number];
        if endpoint.engine.dead {
            return None;
        }
        let request = &self.requests[request];
        let class = config::ClassKey(request.class as u16);
        let ahead = match &endpoint.waiting {
            WaitQueue::Router(queue) => {
                queue.jobs_ahead(class, &format!("account-{}", request.account), 1)
            }
            WaitQueue::Ordered { jobs, strict } => {
                let priority = |class: config::ClassKey| self.rules[usize::from(class.0)].priority;
                let before = |job: &&Job| !*strict || priority(job.class) >= priority(class);
                jobs.iter().filter(before).count()
            }
        };
        let wait_ms = endpoint.latency.wait_ms(ahead, endpoint.engine.running, SLOTS);
        Some(wire::Offer {
            nonce: 0,
            endpoint: wire::EndpointIndex(0),
            first_token_ms: wait_ms.saturating_add(endpoint.latency.start_ms(self.now_ms)),
            leaving: false,
            knows_prefix: endpoint.prefixes.contains(&request.prefix),
            holds_answer: false,
            running: 0,
            waiting: 0,
        })
    }

    fn submit(&mut self, request: usize, number: usize) {
        let of = &self.requests[request];
        let class = &self.scenario.classes[of.class].spec;
        let expected_ms =
            u64::from(self.offer(number, request).map_or(0, |offer| offer.first_token_ms));
        let longest = class.longest_wait_ms();
        let endpoint = &mut self.endpoints[number];
        let is_router = matches!(endpoint.waiting, WaitQueue::Router(_));
        if is_router && longest.is_some_and(|most| expected_ms > most) {
            self.open_requests[of.entry][number] -= 1;
            return self.refuse(request);
        }
        let output = endpoint.latency.output_tokens(8_000);
        let job = Job {
            id: request as u64,
            class: config::ClassKey(of.class as u16),
            account: format!("account-{}", of.account).into(),
            share: 1,
            estimate_tokens: u64::from(of.prompt_tokens) + output,
            target_at_ms: of.arrived_ms + u64::from(class.latency_target_ms),
            expires_at_ms: self.now_ms
                + longest.unwrap_or(CLIENT_TIMEOUT_MS).min(CLIENT_TIMEOUT_MS),
        };
        let refused = match &mut endpoint.waiting {
            WaitQueue::Router(queue) => match queue.push(job) {
                PushOutcome::Queued(_) => None,
                PushOutcome::QueuedEvicting(_, out) | PushOutcome::Refused(out) => Some(out),
            },
            WaitQueue::Ordered { jobs, strict } => {
                jobs.push_back(job);
                if *strict {
                    let rules = &self.rules;
                    jobs.make_contiguous()
                        .sort_by_key(|job| Reverse(rules[usize::from(job.class.0)].priority));
                }
                if jobs.len() > QUEUE_CAPACITY { jobs.pop_back() } else { None }
            }
        };
        if let Some(out) = refused {
            self.drop_job(number, &out);
        }
        self.start_jobs(number);
    }

    fn drop_job(&mut self, number: usize, job: &Job) {
        let request = job.id as usize;
        self.open_requests[self.requests[request].entry][number] -= 1;
        self.refuse(request);
    }

    /// Starts waiting jobs while the endpoint has free slots.
    fn start_jobs(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if let WaitQueue::Router(queue) = &mut self.endpoints[number].waiting {
            for job in queue.expire(now_ms) {
                self.drop_job(number, &job);
            }
        }
        while self.endpoints[number].engine.running < SLOTS {
            let endpoint = &mut self.endpoints[number];
            let (job, started) = match &mut endpoint.waiting {
                WaitQueue::Router(queue) => match queue.pop(endpoint.engine.running, SLOTS) {
                    Some(started) => (started.job.clone(), Some(started)),
                    None => break,
                },
                WaitQueue::Ordered { jobs, .. } => match jobs.pop_front() {
                    Some(job) => (job, None),
                    None => break,
                },
            };
            if now_ms > self.requests[job.id as usize].arrived_ms + CLIENT_TIMEOUT_MS {
                self.drop_job(number, &job);
                continue;
            }
            self.start_run(number, job.id as usize, started);
        }
    }

    fn start_run(&mut self, number: usize, request: usize, started: Option<Started>) {
        let of = &self.requests[request];
        let endpoint = &mut self.endpoints[number];
        endpoint.prefixes.push_back(of.prefix);
        if endpoint.prefixes.len() > 1024 {
            endpoint.prefixes.pop_front();
        }
        let times =
            endpoint.engine.start(self.now_ms, of.prompt_tokens, of.output_tokens, of.prefix);
        self.sequence += 1;
        let run = self.sequence;
        endpoint.runs.insert(
            run,
            Run { request, started, began_ms: self.now_ms, first_ms: None, end_ms: times.end_ms },
        );
        self.schedule(times.first_token_ms, SimulationEvent::FirstToken { endpoint: number, run });
        self.schedule(times.end_ms, SimulationEvent::End { endpoint: number, run });
    }

    fn first_token(&mut self, number: usize, run: u64) {
        let now_ms = self.now_ms;
        let endpoint = &mut self.endpoints[number];
        let Some(run) = endpoint.runs.get_mut(&run) else {
            return;
        };
        run.first_ms = Some(now_ms);
        endpoint.latency.first_token(now_ms - run.began_ms, now_ms);
        self.requests[run.request].first_token_ms = Some(now_ms);
    }

    fn finish_run(&mut self, number: usize, run: u64) {
        let now_ms = self.now_ms;
        let endpoint = &mut self.endpoints[number];
        let Some(run) = endpoint.runs.remove(&run) else {
            return;
        };
        endpoint.engine.running -= 1;
        let of = &mut self.requests[run.request];
        of.completed = true;
        endpoint.latency.finished(now_ms - run.began_ms, of.output_tokens);
        if let (Some(started), WaitQueue::Router(queue)) = (run.started, &mut endpoint.waiting) {
            queue.finish(started, u64::from(of.prompt_tokens) + of.output_tokens);
        }
        self.open_requests[of.entry][number] -= 1;
        self.start_jobs(number);
    }

    /// Fails the engines of a third of the endpoints. Requests without a first token are retried; the tokens
    /// of the others are wasted.
    fn fail_engines(&mut self) {
        for number in 0..self.scenario.endpoints / 3 {
            let endpoint = &mut self.endpoints[number];
            endpoint.engine.dead = true;
            let runs: Vec<Run> = endpoint.runs.drain().map(|(_, run)| run).collect();
            let jobs: Vec<Job> = match &mut endpoint.waiting {
                WaitQueue::Router(queue) => queue.drain(),
                WaitQueue::Ordered { jobs, .. } => jobs.drain(..).collect(),
            };
            for run in runs {
                let of = &mut self.requests[run.request];
                match run.first_ms {
                    None => self.retry(run.request),
                    Some(first_ms) => {
                        let whole_ms = (run.end_ms - first_ms).max(1);
                        of.wasted_tokens += of.output_tokens * (self.now_ms - first_ms) / whole_ms;
                    }
                }
            }
            for job in jobs {
                self.retry(job.id as usize);
            }
        }
    }

    /// Adds a load report of every endpoint and drops those that newer ones replace after the lag.
    fn report_loads(&mut self) {
        let lag_ms = self.scenario.report_lag_ms;
        for endpoint in &mut self.endpoints {
            let waiting = match &endpoint.waiting {
                WaitQueue::Router(queue) => queue.len(),
                WaitQueue::Ordered { jobs, .. } => jobs.len(),
            };
            endpoint.reported.push_back((self.now_ms, endpoint.engine.running + waiting));
            while endpoint.reported.len() > 1 && endpoint.reported[1].0 + lag_ms <= self.now_ms {
                endpoint.reported.pop_front();
            }
        }
        if self.now_ms < self.scenario.seconds * 1000 {
            self.schedule(self.now_ms + 250, SimulationEvent::LoadReport);
        }
    }

    /// Makes a scaling decision and stops leaving endpoints that are idle.
    fn scale(&mut self) {
        let load = |endpoint: &Endpoint| match &endpoint.waiting {
            WaitQueue::Router(queue) => queue.len() as u32,
            WaitQueue::Ordered { jobs, .. } => jobs.len() as u32,
        };
        let live: Vec<usize> = (0..self.endpoints.len())
            .filter(|number| self.endpoints[*number].standing == Standing::Up)
            .collect();
        let is_starting = |endpoint: &&Endpoint| endpoint.standing == Standing::Starting;
        let starting = self.endpoints.iter().filter(is_starting).count() as u32;
        let seen = Observation {
            live: live.len() as u32,
            starting,
            running: live.iter().map(|n| self.endpoints[*n].engine.running as u32).sum(),
            waiting: live.iter().map(|n| load(&self.endpoints[*n])).sum(),
            slots: SLOTS as u32,
        };
        let bounds = config::EndpointBounds { least: 1, most: 16 };
        let plan = match self.policy {
            Policy::Threshold => {
                let used = f64::from(seen.running) / f64::from(seen.live.max(1) * seen.slots);
                match used {
                    used if used > 0.8 && seen.starting == 0 => Plan::Start,
                    used if used < 0.3 && seen.live > 1 => Plan::Stop,
                    _ => Plan::Hold,
                }
            }
            _ => self.planner.plan(seen, bounds, self.now_ms),
        };
        match plan {
            Plan::Hold => {}
            Plan::Start => {
                let number = self.add_endpoint(false);
                self.schedule(self.now_ms + ENDPOINT_START_MS, SimulationEvent::EndpointUp(number));
            }
            Plan::Stop => {
                let least = live.iter().copied().min_by_key(|n| self.endpoints[*n].engine.running);
                if let Some(number) = least {
                    self.endpoints[number].standing = Standing::Leaving;
                }
            }
        }
        for endpoint in &mut self.endpoints {
            let idle = endpoint.runs.is_empty() && load(endpoint) == 0;
            if endpoint.standing == Standing::Leaving && idle {
                endpoint.standing = Standing::Stopped;
                self.endpoint_ms += self.now_ms - endpoint.since_ms;
            }
        }
        if self.now_ms < self.scenario.seconds * 1000 {
            self.schedule(self.now_ms + SCALING_INTERVAL_MS, SimulationEvent::Scale);
        }
    }

    /// Charges the endpoint time of the endpoints that are not stopped.
    fn charge_remaining(&mut self) {
        let end_ms = self.scenario.seconds * 1000;
        for endpoint in &self.endpoints {
            if endpoint.standing != Standing::Stopped {
                self.endpoint_ms += end_ms.saturating_sub(endpoint.since_ms);
            }
        }
    }
}
