//! Even load from stale reports: entries choose in a replay without a network, with load tables of
//! 0 to 500 ms, endpoints of uneven speed and slow phases. The previous choice runs beside it.

use std::collections::{BTreeMap, VecDeque};

use briarwinch::gateway::directory::{Endpoint, EndpointKey};
use briarwinch::gateway::policy::{
    choose, event_gaps, health, load, load_estimate, prefill, prefix_index, work_duration,
};
use briarwinch::gateway::request::{Prompt, PromptPart};
use briarwinch::gateway::route;
use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};

const SEEDS: [u64; 2] = [20, 21];
const START_MS: u64 = 100_000;
const STEP_MS: u64 = 5;
const RUN_MS: u64 = 32_000;
/// The run until then is not measured: the endpoints fill up.
const FILL_MS: u64 = 2_000;
const SAMPLE_MS: u64 = 100;
/// A table is at most this old when it arrives, and is replaced after [`SAMPLE_MS`].
const MAX_LAG_STEPS: u64 = 4;
const PHASE_MS: u64 = 600;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Method {
    Previous,
    TwoAtRandom,
    Capacity,
    Level,
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    name: &'static str,
    entries: usize,
    endpoints: usize,
    slots: u32,
    per_s: f64,
    /// Prompt tokens; zero for a plain service.
    tokens: u32,
    tokens_per_ms: f64,
    run_ms: f64,
    /// Factor of the rate in every second second.
    burst: f64,
    /// Share of the requests with one document.
    popular: f64,
    is_changing: bool,
}

/// Engines under the uneven load of the plan: prompts of 2,600 new tokens on average, 1.1 s of
/// decoding.
const ENGINES: Setup = Setup {
    name: "engines",
    entries: 29,
    endpoints: 52,
    slots: 64,
    per_s: 132.0,
    tokens: 2_600,
    tokens_per_ms: 36.7,
    run_ms: 1_100.0,
    burst: 1.0,
    popular: 0.0,
    is_changing: false,
};
/// The plain service under the uneven load of the plan.
const PLAIN: Setup = Setup {
    name: "plain",
    endpoints: 4,
    slots: 6,
    per_s: 42.0,
    tokens: 0,
    run_ms: 60.0,
    ..ENGINES
};

struct Job {
    entry: usize,
    work: load::Work,
    unread: f64,
    left_ms: f64,
}

#[derive(Default)]
struct Machine {
    usual: f64,
    factor: f64,
    jobs: VecDeque<Job>,
    samples: Vec<f64>,
}

impl Machine {
    /// Advances the work in the slots: prompts are prefilled in turn, all others are decoded. Returns
    /// the requests that were prefilled and those that ended.
    fn step(&mut self, setup: &Setup) -> (Vec<(usize, u64)>, Vec<Job>) {
        let mut prefilled = Vec::new();
        let step_ms = STEP_MS as f64 / self.factor;
        let mut tokens = step_ms * setup.tokens_per_ms;
        for job in self.jobs.iter_mut().take(setup.slots as usize) {
            if job.unread > 0.0 {
                let read = job.unread.min(tokens);
                job.unread -= read;
                tokens -= read;
                if job.unread <= 0.0 {
                    prefilled.push((job.entry, std::mem::take(&mut job.work.unread_tokens)));
                }
            } else {
                job.left_ms -= step_ms;
            }
        }
        let (ended, left) =
            std::mem::take(&mut self.jobs).into_iter().partition(|job| job.left_ms <= 0.0);
        self.jobs = left;
        (prefilled, ended.into())
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Busiest endpoint over the mean, of slots in use.
    imbalance: f64,
    /// Worst root mean square deviation of an endpoint's load from its mean, relative to that.
    swing: f64,
    /// Share of choices without a free slot while another endpoint would have served as soon.
    crowded: f64,
}

#[derive(Default)]
struct Entry {
    load_table: load::LoadTable,
    health: health::Health,
}

fn endpoints(setup: &Setup) -> Vec<Endpoint> {
    let one = |index: usize| {
        let id = format!("endpoint-{index}");
        Endpoint {
            key: EndpointKey::of(&id),
            id: id.into(),
            service: "s".into(),
            addr: ([127, 0, 0, 1], 1_000).into(),
            zone: "a".into(),
            started_unix_ms: 1,
            version: "v1".into(),
            slots: setup.slots,
            is_leaving: false,
        }
    };
    (0..setup.endpoints).map(one).collect()
}

fn replay(setup: &Setup, method: Method, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let endpoints = endpoints(setup);
    let usual = |index: usize| if index.is_multiple_of(4) { 0.55 } else { 1.2 };
    let mut machines: Vec<Machine> = (0..setup.endpoints)
        .map(|index| Machine { usual: usual(index), factor: usual(index), ..Machine::default() })
        .collect();
    let mut entries: Vec<Entry> = (0..setup.entries).map(|_| Entry::default()).collect();
    let mut prefill_model = prefill::PrefillModel::default();
    for tokens in (0..500_u32).map(|number| 1_000 + number * 10) {
        prefill_model.observe_first_event(4_000, 50 + (4_000.0 / setup.tokens_per_ms) as u64);
        prefill_model.observe_run(100, setup.run_ms as u64);
        let prefill_ms = f64::from(tokens) / setup.tokens_per_ms;
        prefill_model.fitted.observe_first_event(u64::from(tokens), 0, prefill_ms as u64, 1.0);
        prefill_model.fitted.observe_run(100, 10, setup.run_ms as u64, 1.0);
    }
    let mut prefix_index = prefix_index::PrefixIndex::default();
    let mut work_durations = work_duration::WorkDurations::default();
    let event_gaps = event_gaps::EventGaps::default();
    let engine =
        route::Engine { slots: setup.slots, kv_cache_tokens: 1 << 40, tokens_per_event: None };
    let mut history: VecDeque<Vec<Vec<load::Row>>> = VecDeque::new();
    let (mut choices, mut crowded, mut number) = (0, 0, 0);
    for now_ms in (START_MS..START_MS + RUN_MS).step_by(STEP_MS as usize) {
        let passed_ms = now_ms - START_MS;
        for (index, machine) in machines.iter_mut().enumerate() {
            if (now_ms + 37 * index as u64).is_multiple_of(PHASE_MS) {
                machine.factor = machine.usual * if random.random_bool(0.15) { 2.5 } else { 1.0 };
            }
            let all = machine.jobs.len();
            let key = endpoints[index].key;
            let (prefilled, ended) = machine.step(setup);
            for (entry, unread_tokens) in prefilled {
                let work = load::Work { requests: 0, unread_tokens, ..load::Work::default() };
                entries[entry].load_table.record_report(key, all as u32, now_ms);
                entries[entry].load_table.remove(key, work);
            }
            for job in ended {
                let entry = &mut entries[job.entry];
                if setup.tokens == 0 {
                    entry.load_table.record_report(key, all as u32, now_ms);
                }
                entry.load_table.remove(key, job.work);
                let took_ms = (setup.run_ms * machine.factor) as u64;
                entry.health.record_response(key, true, took_ms, now_ms);
            }
            if passed_ms >= FILL_MS && passed_ms.is_multiple_of(SAMPLE_MS) {
                machine.samples.push(machine.jobs.len() as f64);
            }
            if method != Method::Previous && passed_ms.is_multiple_of(SAMPLE_MS) {
                let percent = (machine.factor * 100.0).round() as u32;
                work_durations.record(&endpoints[index], percent, now_ms);
            }
        }
        if passed_ms.is_multiple_of(SAMPLE_MS) {
            history.push_front(entries.iter().map(|one| one.load_table.rows()).collect());
            history.truncate(MAX_LAG_STEPS as usize + 1);
            exchange(&mut entries, &history, now_ms, &mut random);
        }
        let rate = if passed_ms / 1_000 % 2 == 1 { setup.burst } else { 1.0 };
        let expected = setup.per_s * rate * STEP_MS as f64 / 1_000.0;
        // Arrivals are Poisson, approximated by many short intervals.
        let arrivals = (0..100).filter(|_| random.random_bool(expected / 100.0)).count();
        for _ in 0..arrivals {
            number += 1;
            let from = random.random_range(0..setup.entries);
            let prompt = prompt(setup, number, &mut random);
            let is_away = |index: usize| {
                // A seventh of the endpoints is away in turn for two seconds.
                setup.is_changing && index % 7 == (passed_ms / 2_000 % 7) as usize
            };
            let mut open: Vec<usize> = (0..setup.endpoints).filter(|one| !is_away(*one)).collect();
            if method == Method::TwoAtRandom {
                open = open.into_iter().choose_multiple(&mut random, 2);
            }
            let inputs = choose::Inputs {
                load_table: &entries[from].load_table,
                prefix_index: &prefix_index,
                health: &entries[from].health,
                prefill_model: &prefill_model,
                event_gaps: &event_gaps,
                work_durations: &work_durations,
                gap_forecast: None,
                overload_control: false,
                gap_limit_ms: 0,
                zone: "a",
                now_ms,
                latency_target_ms: 2_000.0,
                max_wait_ms: 8_000.0,
                unreachable_zones: &[],
            };
            let engine = prompt.as_ref().map(|_| &engine);
            let candidates = open.iter().map(|index| &endpoints[*index]);
            let (chosen, tokens) = if method == Method::Capacity {
                let costs: Vec<load_estimate::Cost> = open
                    .iter()
                    .map(|one| load_estimate::Cost {
                        cost_ms: 0.0,
                        slope_ms: machines[*one].factor,
                    })
                    .collect();
                let position = load_estimate::draw(&costs, 1e9, &mut random).expect("a choice");
                (open[position], setup.tokens)
            } else {
                let choice =
                    choose::choose(candidates, engine, prompt.as_ref(), &inputs, &mut random)
                        .expect("a choice");
                let same = |one: &&usize| endpoints[**one].key == choice.endpoint.key;
                (*open.iter().find(same).expect("listed"), choice.unread_tokens)
            };
            if passed_ms >= FILL_MS {
                choices += 1;
                crowded += u32::from(is_crowded(setup, &machines, chosen, is_away));
            }
            let key = endpoints[chosen].key;
            if let Some(prompt) = &prompt {
                prefix_index.record_sent(key, &prompt.parts, now_ms);
            }
            let work = load::Work {
                requests: 1,
                unread_tokens: u64::from(tokens),
                ..load::Work::default()
            };
            entries[from].load_table.add(key, work, now_ms);
            let left_ms = setup.run_ms * random.random_range(0.8..1.2);
            let job = Job { entry: from, work, unread: f64::from(tokens), left_ms };
            machines[chosen].jobs.push_back(job);
        }
    }
    summary(&machines, f64::from(crowded) / f64::from(choices))
}

/// Gives each entry the sum of the others' rows as it was up to 400 ms ago.
fn exchange(
    entries: &mut [Entry],
    history: &VecDeque<Vec<Vec<load::Row>>>,
    now_ms: u64,
    random: &mut StdRng,
) {
    let totals: Vec<BTreeMap<EndpointKey, load::Work>> = history
        .iter()
        .map(|tables| {
            let mut total = BTreeMap::new();
            for row in tables.iter().flatten() {
                *total.entry(row.endpoint).or_insert_with(load::Work::default) += row.work;
            }
            total
        })
        .collect();
    let others = u32::try_from(entries.len() - 1).expect("few entries");
    for (index, entry) in entries.iter_mut().enumerate() {
        let lag = random.random_range(0..history.len());
        let mut sum = totals[lag].clone();
        for row in &history[lag][index] {
            if let Some(work) = sum.get_mut(&row.endpoint) {
                work.requests -= row.work.requests;
                work.unread_tokens -= row.work.unread_tokens;
            }
        }
        let rows = sum.into_iter().map(|(endpoint, work)| load::Row { endpoint, work }).collect();
        let origin = load::Origin { entries: others, age_ms: lag as u32 * SAMPLE_MS as u32 };
        let rows = load::Rows { part: 0, parts: 1, rows };
        entry.load_table.set_aggregated(true);
        entry.load_table.apply(load::Source::Others, origin, &rows, now_ms);
    }
}

fn prompt(setup: &Setup, number: u64, random: &mut StdRng) -> Option<Prompt> {
    let own = PromptPart { id: 100 + number, tokens: setup.tokens };
    let document = PromptPart { id: 7, tokens: 6_300 };
    let parts = if random.random_bool(setup.popular) { vec![document, own] } else { vec![own] };
    let tokens = parts.iter().map(|part| part.tokens).sum();
    (setup.tokens > 0).then_some(Prompt { tokens, max_output_tokens: 100, parts })
}

fn is_crowded(
    setup: &Setup,
    machines: &[Machine],
    chosen: usize,
    is_away: impl Fn(usize) -> bool,
) -> bool {
    let slots = setup.slots as usize;
    let is_free = |one: &Machine| one.jobs.len() < slots;
    let one = &machines[chosen];
    let waiting = (one.jobs.len() + 1).saturating_sub(slots) as f64;
    let end = one.factor * (1.0 + waiting / slots as f64);
    let mut others = machines.iter().enumerate().filter(|(index, _)| !is_away(*index));
    !is_free(one) && others.any(|(_, other)| is_free(other) && other.factor <= end)
}

fn summary(machines: &[Machine], crowded: f64) -> Outcome {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let means: Vec<f64> = machines.iter().map(|one| mean(&one.samples)).collect();
    let swings = machines.iter().zip(&means).map(|(one, mean_load)| {
        let squares: Vec<f64> =
            one.samples.iter().map(|sample| (sample - mean_load).powi(2)).collect();
        mean(&squares).sqrt() / mean_load
    });
    Outcome {
        imbalance: means.iter().copied().fold(0.0, f64::max) / mean(&means),
        swing: swings.fold(0.0, f64::max),
        crowded,
    }
}

/// Replays a setup with all methods and returns the results of the new one.
fn compare(setup: &Setup) -> Vec<Outcome> {
    for method in [Method::Previous, Method::TwoAtRandom, Method::Capacity] {
        for seed in SEEDS {
            println!("{} seed {seed} {method:?}: {:.3?}", setup.name, replay(setup, method, seed));
        }
    }
    let results = SEEDS.map(|seed| {
        let result = replay(setup, Method::Level, seed);
        println!("{} seed {seed} Level: {result:.3?}", setup.name);
        result
    });
    results.into()
}

fn assert_even(setup: &Setup, max_imbalance: f64) -> Vec<Outcome> {
    let results = compare(setup);
    for result in &results {
        assert!(result.imbalance <= max_imbalance, "{}: {result:?}", setup.name);
        assert!(result.crowded < 0.01, "{}: {result:?}", setup.name);
    }
    results
}

/// Guards against engines that are overloaded in turn while others idle.
#[test]
fn engines_share_calm_load_evenly() {
    for result in assert_even(&ENGINES, 1.25) {
        assert!(result.swing <= 0.5, "{result:?}");
    }
}

/// Guards against bursts that all entries send to the engines that looked free before.
#[test]
fn engines_share_bursts_evenly() {
    assert_even(&Setup { name: "engines in bursts", burst: 2.6, ..ENGINES }, 1.5);
}

/// Guards against an engine that is overloaded because it has the one popular document cached.
#[test]
fn a_popular_document_does_not_overload_its_engine() {
    assert_even(&Setup { name: "popular document", popular: 0.1, ..ENGINES }, 1.25);
}

/// Guards against engines that are flooded when they come back empty.
#[test]
fn engines_that_come_and_go_share_the_load() {
    assert_even(&Setup { name: "changing engines", is_changing: true, ..ENGINES }, 1.25);
}

/// Guards against a spread that holds only for some number of entries.
#[test]
fn two_entries_share_the_load_evenly() {
    assert_even(&Setup { name: "engines, 2 entries", entries: 2, ..ENGINES }, 1.25);
}

/// Guards against a fleet whose entries each know almost nothing of the load but old tables.
#[test]
fn many_entries_share_the_load_evenly() {
    assert_even(&Setup { name: "engines, 340 entries", entries: 340, ..ENGINES }, 1.25);
}

/// Guards against loads that rise and fall because entries follow the same old tables.
#[test]
fn the_load_of_an_engine_is_steady() {
    let setup = Setup { name: "busy engines", endpoints: 20, per_s: 500.0, tokens: 300, ..ENGINES };
    for result in assert_even(&setup, 1.25) {
        assert!(result.swing <= 0.5, "{result:?}");
    }
}

/// Guards against calls that wait at a full endpoint of a plain service while another is free.
#[test]
fn plain_endpoints_share_calm_load_evenly() {
    for result in assert_even(&PLAIN, 1.25) {
        assert!(result.swing <= 0.5, "{result:?}");
    }
}

/// Guards against bursts of calls that fill the endpoints in turn.
#[test]
fn plain_endpoints_share_bursts_evenly() {
    assert_even(&Setup { name: "plain in bursts", burst: 2.6, ..PLAIN }, 1.5);
}

/// Guards against other decisions than before where neither switch is on, although endpoints report
/// their load and tables are old.
#[test]
fn without_the_switches_the_choice_is_the_previous_one() {
    let setup = Setup { endpoints: 12, ..ENGINES };
    let endpoints = endpoints(&setup);
    let mut random = StdRng::seed_from_u64(SEEDS[0]);
    let (prefill_model, now_ms) = (prefill::PrefillModel::default(), START_MS);
    let engine =
        route::Engine { slots: setup.slots, kv_cache_tokens: 1 << 40, tokens_per_event: None };
    for seed in 0..500 {
        let mut entry = Entry::default();
        let mut rows = Vec::new();
        for endpoint in &endpoints {
            let mut work = || load::Work {
                requests: random.random_range(0..70),
                unread_tokens: random.random_range(0..40_000),
                ..load::Work::default()
            };
            entry.load_table.add(endpoint.key, work(), now_ms - 2_000);
            rows.push(load::Row { endpoint: endpoint.key, work: work() });
            entry.load_table.record_report(endpoint.key, work().requests, now_ms - 100);
            entry.health.record_response(endpoint.key, true, random.random_range(5..90), now_ms);
        }
        let rows = load::Rows { part: 0, parts: 1, rows };
        let origin = load::Origin { entries: 1, age_ms: 200 };
        entry.load_table.apply(load::Source::Entry(1), origin, &rows, now_ms - 200);
        let inputs = choose::Inputs {
            load_table: &entry.load_table,
            prefix_index: &prefix_index::PrefixIndex::default(),
            health: &entry.health,
            prefill_model: &prefill_model,
            event_gaps: &event_gaps::EventGaps::default(),
            work_durations: &work_duration::WorkDurations::default(),
            gap_forecast: None,
            overload_control: false,
            gap_limit_ms: 0,
            zone: "a",
            now_ms,
            latency_target_ms: 1e9,
            max_wait_ms: 1e9,
            unreachable_zones: &[],
        };
        let prompt = prompt(&Setup { tokens: 900, ..setup }, seed, &mut random);
        for prompt in [None, prompt] {
            let mut drawn = StdRng::seed_from_u64(seed);
            let mut order: Vec<&Endpoint> = endpoints.iter().collect();
            order.shuffle(&mut drawn);
            // Plain services compare all endpoints, engines a sample of six.
            order.truncate(if prompt.is_some() { 6 } else { 12 });
            let cost_ms = |one: &&Endpoint| {
                let work = entry.load_table.work_at(one.key, now_ms);
                let requests = f64::from(work.requests);
                match &prompt {
                    Some(prompt) => {
                        prefill_model.first_event_ms(work.unread_tokens + u64::from(prompt.tokens))
                            + (requests * 3.0
                                + prefill_model.slot_wait_ms(work.requests, setup.slots))
                    }
                    None => {
                        let known = entry.health.response_ms(one.key, now_ms).expect("known");
                        known * (1.0 + requests / f64::from(setup.slots))
                    }
                }
            };
            let expected = order
                .into_iter()
                .min_by(|a, b| cost_ms(a).total_cmp(&cost_ms(b)))
                .expect("endpoints");
            let choice = choose::choose(
                endpoints.iter(),
                prompt.as_ref().map(|_| &engine),
                prompt.as_ref(),
                &inputs,
                &mut StdRng::seed_from_u64(seed),
            )
            .expect("a choice");
            assert_eq!(choice.endpoint.key, expected.key, "seed {seed}");
            assert!((choice.cost_ms - cost_ms(&expected)).abs() < 1e-9, "seed {seed}");
            assert!(choice.balance.is_none(), "seed {seed}");
        }
    }
}
