//! Runs a scenario under a policy on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use briarwinch::latency::LatencyEstimator;
use briarwinch::membership::Place;
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
const ASK_WIDTH: usize = 3;
const PLACES: usize = 512;
/// Callers hang up after this long without a first token.
const PATIENCE_MS: u64 = 60_000;
const START_MS: u64 = 45_000;
const LOOK_MS: u64 = 2_000;
const TRIES: u32 = 4;

/// What came of a scenario.
#[derive(Debug)]
pub struct Outcome {
    pub requests: Vec<Request>,
    pub endpoint_ms: u64,
    /// Endpoint time that the demand, known in advance, would have needed.
    pub least_endpoint_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Arrival(usize),
    FirstToken { endpoint: usize, run: u64 },
    End { endpoint: usize, run: u64 },
    Again(usize),
    Deaths,
    Up(usize),
    Look,
    Report,
}

#[derive(Debug)]
enum Waiting {
    Router(Queue),
    /// First come first served: by arrival. Strict: by priority, then arrival.
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
    waiting: Waiting,
    latency: LatencyEstimator,
    runs: HashMap<u64, Run>,
    place: Place,
    standing: Standing,
    /// Since when it costs.
    since_ms: u64,
    /// Load as the lagging reports show it.
    reported: VecDeque<(u64, usize)>,
    heads: VecDeque<u64>,
}

struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Happens)>>,
    sequence: u64,
    requests: Vec<Request>,
    endpoints: Vec<Endpoint>,
    rules: Vec<ClassRule>,
    random: StdRng,
    turn: usize,
    own: Vec<Vec<usize>>,
    silent: Vec<Backoffs>,
    budget: Vec<Budget>,
    planner: Planner,
    endpoint_ms: u64,
}

/// Runs a scenario under a policy.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let requests = arrivals::arrivals(scenario, seed);
    let least_endpoint_ms = arrivals::least_endpoint_ms(scenario, &requests);
    let mut world = World::new(scenario, policy, seed, requests);
    while let Some(Reverse((at_ms, _, happens))) = world.events.pop() {
        world.now_ms = at_ms;
        world.handle(happens);
    }
    world.close();
    Outcome { requests: world.requests, endpoint_ms: world.endpoint_ms, least_endpoint_ms }
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64, requests: Vec<Request>) -> Self {
        let rules: Vec<ClassRule> = scenario
            .classes
            .iter()
            .map(|class| ClassRule {
                priority: class.text.priority,
                protected: class.text.protected,
                guaranteed_ppm: class.text.guaranteed_ppm,
            })
            .collect();
        let first = match (scenario.scales, policy) {
            (true, Policy::FixedPeak) | (false, _) => scenario.endpoints,
            (true, _) => 2,
        };
        let mut world = Self {
            scenario,
            policy,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            endpoints: Vec::new(),
            rules,
            random: StdRng::seed_from_u64(seed ^ 0xbeef),
            turn: 0,
            own: vec![vec![0; 64]; ENTRIES],
            silent: vec![Backoffs::default(); ENTRIES],
            budget: vec![Budget::default(); ENTRIES],
            planner: Planner::default(),
            endpoint_ms: 0,
            requests,
        };
        for _ in 0..first {
            world.add_endpoint(true);
        }
        if let Event::Straggler { speed } = scenario.event {
            world.endpoints[0].engine.speed = speed;
        }
        for number in 0..world.requests.len() {
            world.at(world.requests[number].arrived_ms, Happens::Arrival(number));
        }
        if scenario.event == Event::Deaths {
            world.at(100_000, Happens::Deaths);
        }
        world.at(0, Happens::Report);
        if scenario.scales && policy != Policy::FixedPeak {
            world.at(0, Happens::Look);
        }
        world
    }

    fn add_endpoint(&mut self, up: bool) -> usize {
        let number = self.endpoints.len();
        let work_addr: SocketAddr = ([127, 0, 0, 1], number as u16 + 1).into();
        let waiting = match self.policy {
            Policy::Fcfs => Waiting::Ordered { jobs: VecDeque::new(), strict: false },
            Policy::Strict => Waiting::Ordered { jobs: VecDeque::new(), strict: true },
            _ => Waiting::Router(Queue::new(1, self.rules.clone(), PLACES)),
        };
        self.endpoints.push(Endpoint {
            engine: Engine::new(1.0),
            waiting,
            latency: LatencyEstimator::default(),
            runs: HashMap::new(),
            place: Place {
                work_addr,
                endpoint: wire::EndpointIndex(0),
                id: format!("engine-{number}").into(),
                service: "s".into(),
                zone: format!("zone-{}", number % ZONES).into(),
            },
            standing: if up { Standing::Up } else { Standing::Starting },
            since_ms: self.now_ms,
            reported: VecDeque::new(),
            heads: VecDeque::new(),
        });
        number
    }

    fn at(&mut self, at_ms: u64, happens: Happens) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, happens)));
    }

    fn handle(&mut self, happens: Happens) {
        match happens {
            Happens::Arrival(request) => {
                let entry = self.requests[request].entry;
                self.budget[entry].earn();
                self.route(request);
            }
            Happens::Again(request) => self.route(request),
            Happens::FirstToken { endpoint, run } => self.first_token(endpoint, run),
            Happens::End { endpoint, run } => self.end(endpoint, run),
            Happens::Deaths => self.deaths(),
            Happens::Up(endpoint) => {
                self.endpoints[endpoint].standing = Standing::Up;
                self.planner.endpoint_started(self.now_ms);
            }
            Happens::Look => self.look(),
            Happens::Report => self.report(),
        }
    }

    fn route(&mut self, request: usize) {
        let Some(endpoint) = self.choose(request) else {
            return self.fail(request);
        };
        self.requests[request].tries += 1;
        self.requests[request].tried.push(endpoint);
        if self.endpoints[endpoint].engine.dead {
            return self.again(request);
        }
        self.own[self.requests[request].entry][endpoint] += 1;
        self.submit(request, endpoint);
    }

    fn fail(&mut self, request: usize) {
        self.requests[request].refused = true;
    }

    fn again(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        if self.requests[request].tries < TRIES && self.budget[entry].spend() {
            self.at(self.now_ms + 1, Happens::Again(request));
        } else {
            self.fail(request);
        }
    }

    fn open(&self, request: usize) -> Vec<usize> {
        let tried = &self.requests[request].tried;
        (0..self.endpoints.len())
            .filter(|number| self.endpoints[*number].standing == Standing::Up)
            .filter(|number| !tried.contains(number))
            .collect()
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let open = self.open(request);
        match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                (!open.is_empty()).then(|| open[self.turn % open.len()])
            }
            Policy::LeastConnections => {
                let own = &self.own[self.requests[request].entry];
                let offset: usize = self.random.random_range(0..64);
                open.into_iter().min_by_key(|number| (own[*number], (number + offset) % 64))
            }
            Policy::CachedLoad => {
                let offset: usize = self.random.random_range(0..64);
                open.into_iter().min_by_key(|number| {
                    let load = self.endpoints[*number].reported.front().map_or(0, |seen| seen.1);
                    (load, (number + offset) % 64)
                })
            }
            Policy::Exact => open
                .into_iter()
                .filter(|number| !self.endpoints[*number].engine.dead)
                .min_by_key(|number| {
                    self.offer(*number, request)
                        .map_or(u32::MAX, |offer| placement::cost_ms(&offer, true))
                }),
            _ => self.ask(request, &open),
        }
    }

    fn ask(&mut self, request: usize, open: &[usize]) -> Option<usize> {
        let (entry, head) = (self.requests[request].entry, self.requests[request].head);
        let places: Vec<Place> =
            open.iter().map(|number| self.endpoints[*number].place.clone()).collect();
        let zone = format!("zone-{}", entry % ZONES);
        let now_ms = self.now_ms;
        let silent = &self.silent[entry];
        let avoid = |target: Target| silent.is_backed_off(target, now_ms);
        let picked = placement::pick(&places, &zone, head, ASK_WIDTH, avoid, &mut self.random);
        let numbers: Vec<usize> = picked
            .iter()
            .filter_map(|place| {
                open.iter().copied().find(|n| self.endpoints[*n].place.id == place.id)
            })
            .collect();
        let mut best: Option<(u32, usize)> = None;
        for number in numbers {
            let target = Target::of(&self.endpoints[number].place);
            match self.offer(number, request) {
                None => self.silent[entry].record_timeout(target, now_ms),
                Some(offer) => {
                    self.silent[entry].record_answer(target);
                    let same = self.endpoints[number].place.zone == zone.as_str();
                    let cost = placement::cost_ms(&offer, same);
                    if best.is_none_or(|(least, _)| cost < least) {
                        best = Some((cost, number));
                    }
                }
            }
        }
        best.map(|(_, number)| number)
    }

    fn offer(&self, number: usize, request: usize) -> Option<wire::Offer> {
        let endpoint = &self.endpoints[number];
        if endpoint.engine.dead {
            return None;
        }
        let request = &self.requests[request];
        let class = config::ClassKey(request.class as u16);
        let ahead = match &endpoint.waiting {
            Waiting::Router(queue) => {
                queue.jobs_ahead(class, &format!("account-{}", request.account), 1)
            }
            Waiting::Ordered { jobs, strict } => {
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
            knows_prefix: endpoint.heads.contains(&request.head),
            holds_answer: false,
            running: 0,
            waiting: 0,
        })
    }

    fn submit(&mut self, request: usize, number: usize) {
        let of = &self.requests[request];
        let class = &self.scenario.classes[of.class].text;
        let expected_ms =
            u64::from(self.offer(number, request).map_or(0, |offer| offer.first_token_ms));
        let longest = class.longest_wait_ms();
        let endpoint = &mut self.endpoints[number];
        let is_router = matches!(endpoint.waiting, Waiting::Router(_));
        if is_router && longest.is_some_and(|most| expected_ms > most) {
            self.own[of.entry][number] -= 1;
            return self.fail(request);
        }
        let output = endpoint.latency.output_tokens(8_000);
        let job = Job {
            id: request as u64,
            class: config::ClassKey(of.class as u16),
            account: format!("account-{}", of.account).into(),
            share: 1,
            estimate_tokens: u64::from(of.prompt_tokens) + output,
            target_at_ms: of.arrived_ms + u64::from(class.latency_target_ms),
            expires_at_ms: self.now_ms + longest.unwrap_or(PATIENCE_MS).min(PATIENCE_MS),
        };
        let refused = match &mut endpoint.waiting {
            Waiting::Router(queue) => match queue.push(job) {
                PushOutcome::Queued(_) => None,
                PushOutcome::QueuedEvicting(_, out) | PushOutcome::Refused(out) => Some(out),
            },
            Waiting::Ordered { jobs, strict } => {
                jobs.push_back(job);
                if *strict {
                    let rules = &self.rules;
                    jobs.make_contiguous()
                        .sort_by_key(|job| Reverse(rules[usize::from(job.class.0)].priority));
                }
                if jobs.len() > PLACES { jobs.pop_back() } else { None }
            }
        };
        if let Some(out) = refused {
            self.give_up(number, &out);
        }
        self.pump(number);
    }

    fn give_up(&mut self, number: usize, job: &Job) {
        let request = job.id as usize;
        self.own[self.requests[request].entry][number] -= 1;
        self.fail(request);
    }

    fn pump(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if let Waiting::Router(queue) = &mut self.endpoints[number].waiting {
            for job in queue.expire(now_ms) {
                self.give_up(number, &job);
            }
        }
        while self.endpoints[number].engine.running < SLOTS {
            let endpoint = &mut self.endpoints[number];
            let (job, started) = match &mut endpoint.waiting {
                Waiting::Router(queue) => match queue.pop(endpoint.engine.running, SLOTS) {
                    Some(started) => (started.job.clone(), Some(started)),
                    None => break,
                },
                Waiting::Ordered { jobs, .. } => match jobs.pop_front() {
                    Some(job) => (job, None),
                    None => break,
                },
            };
            if now_ms > self.requests[job.id as usize].arrived_ms + PATIENCE_MS {
                self.give_up(number, &job);
                continue;
            }
            self.begin(number, job.id as usize, started);
        }
    }

    fn begin(&mut self, number: usize, request: usize, started: Option<Started>) {
        let of = &self.requests[request];
        let endpoint = &mut self.endpoints[number];
        endpoint.heads.push_back(of.head);
        if endpoint.heads.len() > 1024 {
            endpoint.heads.pop_front();
        }
        let times = endpoint.engine.start(self.now_ms, of.prompt_tokens, of.output, of.head);
        self.sequence += 1;
        let run = self.sequence;
        endpoint.runs.insert(
            run,
            Run { request, started, began_ms: self.now_ms, first_ms: None, end_ms: times.end_ms },
        );
        self.at(times.first_token_ms, Happens::FirstToken { endpoint: number, run });
        self.at(times.end_ms, Happens::End { endpoint: number, run });
    }

    fn first_token(&mut self, number: usize, run: u64) {
        let now_ms = self.now_ms;
        let endpoint = &mut self.endpoints[number];
        let Some(run) = endpoint.runs.get_mut(&run) else {
            return;
        };
        run.first_ms = Some(now_ms);
        endpoint.latency.first_token(now_ms - run.began_ms, now_ms);
        self.requests[run.request].first_ms = Some(now_ms);
    }

    fn end(&mut self, number: usize, run: u64) {
        let now_ms = self.now_ms;
        let endpoint = &mut self.endpoints[number];
        let Some(run) = endpoint.runs.remove(&run) else {
            return;
        };
        endpoint.engine.running -= 1;
        let of = &mut self.requests[run.request];
        of.whole = true;
        endpoint.latency.finished(now_ms - run.began_ms, of.output);
        if let (Some(started), Waiting::Router(queue)) = (run.started, &mut endpoint.waiting) {
            queue.finish(started, u64::from(of.prompt_tokens) + of.output);
        }
        self.own[of.entry][number] -= 1;
        self.pump(number);
    }

    fn deaths(&mut self) {
        for number in 0..self.scenario.endpoints / 3 {
            let endpoint = &mut self.endpoints[number];
            endpoint.engine.dead = true;
            let runs: Vec<Run> = endpoint.runs.drain().map(|(_, run)| run).collect();
            let jobs: Vec<Job> = match &mut endpoint.waiting {
                Waiting::Router(queue) => queue.drain(),
                Waiting::Ordered { jobs, .. } => jobs.drain(..).collect(),
            };
            for run in runs {
                let of = &mut self.requests[run.request];
                match run.first_ms {
                    None => self.again(run.request),
                    Some(first_ms) => {
                        let whole_ms = (run.end_ms - first_ms).max(1);
                        of.wasted_tokens += of.output * (self.now_ms - first_ms) / whole_ms;
                    }
                }
            }
            for job in jobs {
                self.again(job.id as usize);
            }
        }
    }

    fn report(&mut self) {
        let lag_ms = self.scenario.report_lag_ms;
        for endpoint in &mut self.endpoints {
            let waiting = match &endpoint.waiting {
                Waiting::Router(queue) => queue.len(),
                Waiting::Ordered { jobs, .. } => jobs.len(),
            };
            endpoint.reported.push_back((self.now_ms, endpoint.engine.running + waiting));
            while endpoint.reported.len() > 1 && endpoint.reported[1].0 + lag_ms <= self.now_ms {
                endpoint.reported.pop_front();
            }
        }
        if self.now_ms < self.scenario.seconds * 1000 {
            self.at(self.now_ms + 250, Happens::Report);
        }
    }

    fn look(&mut self) {
        let load = |endpoint: &Endpoint| match &endpoint.waiting {
            Waiting::Router(queue) => queue.len() as u32,
            Waiting::Ordered { jobs, .. } => jobs.len() as u32,
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
                self.at(self.now_ms + START_MS, Happens::Up(number));
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
            self.at(self.now_ms + LOOK_MS, Happens::Look);
        }
    }

    fn close(&mut self) {
        let end_ms = self.scenario.seconds * 1000;
        for endpoint in &self.endpoints {
            if endpoint.standing != Standing::Stopped {
                self.endpoint_ms += end_ms.saturating_sub(endpoint.since_ms);
            }
        }
    }
}
