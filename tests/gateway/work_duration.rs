//! Duration of work that endpoints report: decay, restarts, what the estimates learn, and choices among
//! endpoints of unequal speed.

use std::collections::BTreeMap;

use briarwinch::gateway::directory::{Endpoint, EndpointKey};
use briarwinch::gateway::policy::choose::{self, Inputs};
use briarwinch::gateway::policy::{
    engine_times, event_gaps, health, load, prefill, prefix_index, work_duration,
};
use briarwinch::gateway::request::{Prompt, PromptPart};
use briarwinch::gateway::route;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3;

const SEED: u64 = 20_261_204;
const START_MS: u64 = 1_000_000;
const ENGINE: route::Engine =
    route::Engine { slots: 64, kv_cache_tokens: 493_066, tokens_per_event: None };

fn endpoint(index: usize, slots: u32) -> Endpoint {
    let id = format!("endpoint-{index}");
    Endpoint {
        key: EndpointKey::of(&id),
        id: id.into(),
        service: "service".into(),
        addr: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        zone: if index.is_multiple_of(3) { "a" } else { "b" }.into(),
        started_unix_ms: 1,
        version: "v1".into(),
        slots,
        is_leaving: false,
    }
}

fn prompt(random: &mut StdRng) -> Prompt {
    let document = PromptPart { id: random.random_range(0..40), tokens: 6_300 };
    let own = PromptPart { id: random.random(), tokens: random.random_range(300..4_000) };
    let parts = if random.random_bool(0.5) { vec![document, own] } else { vec![own] };
    let tokens = parts.iter().map(|part| part.tokens).sum();
    Prompt { tokens, max_output_tokens: 100, parts }
}

/// Guards against any change to the decisions for endpoints that report no duration. The digest of 6,000
/// decisions was measured with the code before durations were read (commit c0bc917).
#[test]
fn without_reports_every_decision_is_as_before() {
    println!("seed {SEED}");
    let mut random = StdRng::seed_from_u64(SEED);
    let endpoints: Vec<Endpoint> = (0..30).map(|index| endpoint(index, 64)).collect();
    let mut load_table = load::LoadTable::default();
    let mut prefix_index = prefix_index::PrefixIndex::default();
    let mut health = health::Health::default();
    let mut prefill_model = prefill::PrefillModel::default();
    let event_gaps = event_gaps::EventGaps::default();
    let work_durations = work_duration::WorkDurations::default();
    let mut digest = 0;
    for step in 0..6_000_u64 {
        let now_ms = START_MS + step * 5;
        let inputs = Inputs {
            gap_forecast: None,
            overload_control: false,
            load_table: &load_table,
            prefix_index: &prefix_index,
            health: &health,
            prefill_model: &prefill_model,
            event_gaps: &event_gaps,
            work_durations: &work_durations,
            gap_limit_ms: 0,
            zone: "a",
            now_ms,
            latency_target_ms: 500.0,
            max_wait_ms: 4_000.0,
            unreachable_zones: &[],
        };
        let prompt = prompt(&mut random);
        let engine = (step % 3 != 0).then_some(&ENGINE);
        let choice = choose::choose(endpoints.iter(), engine, Some(&prompt), &inputs, &mut random);
        let choice = choice.expect("a choice");
        let micros = |ms: f64| (ms * 1_000.0).round() as i64;
        let decision = format!(
            "{} {} {} {}",
            choice.endpoint.id,
            micros(choice.cost_ms),
            micros(choice.first_ms),
            micros(choice.free_share)
        );
        digest = xxh3::xxh3_64_with_seed(decision.as_bytes(), digest);
        let key = choice.endpoint.key;
        let work = load::Work {
            requests: 1,
            unread_tokens: u64::from(choice.unread_tokens),
            ..load::Work::default()
        };
        load_table.add(key, work, now_ms);
        prefix_index.record_sent(key, &prompt.parts, now_ms);
        let took_ms = random.random_range(10..400);
        if engine.is_some() {
            prefill_model.observe_first_event(choice.work.unread_tokens + 3_000, took_ms);
            prefill_model.observe_run(100, took_ms * 4);
        } else {
            health.record_response(key, step % 50 > 0, took_ms, now_ms);
        }
        if random.random_bool(0.97) {
            let other = endpoints[random.random_range(0..endpoints.len())].key;
            load_table.remove(
                other,
                load::Work { requests: 2, unread_tokens: 9_000, ..load::Work::default() },
            );
        }
    }
    assert_eq!(digest, 15_242_036_371_264_059_471);
}

/// Guards against a slow phase that counts long after it has ended, and against an average that forgets
/// the usual speed of a machine.
#[test]
fn a_report_counts_while_fresh_and_then_the_average() {
    let endpoint = endpoint(0, 6);
    let mut durations = work_duration::WorkDurations::default();
    assert!(
        (durations.factor(&endpoint, START_MS) - 1.0).abs() < 1e-9
            && !durations.is_reported(START_MS)
    );
    (0..100).for_each(|step| durations.record(&endpoint, 120, START_MS + step * 100));
    let now_ms = START_MS + 10_000;
    durations.record(&endpoint, 300, now_ms);
    assert!((durations.factor(&endpoint, now_ms + 50) - 3.0).abs() < 1e-9);
    assert!((1.5..2.7).contains(&durations.factor(&endpoint, now_ms + 350)));
    assert!((1.2..1.3).contains(&durations.factor(&endpoint, now_ms + 600)));
    assert!((1.2..1.3).contains(&durations.factor_over(&endpoint, 2_000, now_ms)));
    assert!((1.2..1.3).contains(&durations.factor(&endpoint, now_ms + 9_999)), "silent for 10 s");
    assert!((durations.factor(&endpoint, now_ms + 10_000) - 1.0).abs() < 1e-9);
    assert!(durations.is_reported(now_ms + 9_999) && !durations.is_reported(now_ms + 10_000));
}

/// Guards against the speed of a previous machine under the same id, and against its late responses.
#[test]
fn an_endpoint_that_starts_again_begins_at_the_usual_duration() {
    let before = endpoint(0, 6);
    let after = Endpoint { started_unix_ms: 2, ..before.clone() };
    let mut durations = work_duration::WorkDurations::default();
    durations.record(&before, 300, START_MS);
    assert!((durations.factor(&after, START_MS) - 1.0).abs() < 1e-9);
    durations.record(&after, 55, START_MS + 10);
    durations.record(&before, 300, START_MS + 20);
    assert!((durations.factor(&after, START_MS + 20) - 0.55).abs() < 1e-9);
}

/// Guards against a log that a faulty endpoint fills with one line for each response.
#[test]
fn malformed_reports_are_logged_once_a_minute() {
    let key = endpoint(0, 6).key;
    let mut durations = work_duration::WorkDurations::default();
    let logged = (0..1_200).filter(|step| durations.record_malformed(key, START_MS + step * 100));
    assert_eq!(logged.count(), 2);
    assert!(!durations.is_reported(START_MS));
}

/// Endpoints of the uneven load: a quarter takes 0.55 times the usual duration, the others 1.2 times, and
/// 15% of the phases of 600 ms are 2.5 times slower.
struct Uneven {
    endpoints: Vec<Endpoint>,
    slow: Vec<Vec<bool>>,
    /// When the prefill queue or each slot of an endpoint is free.
    free_ms: Vec<Vec<f64>>,
}

impl Uneven {
    fn new(count: usize, slots: u32, queues: usize, random: &mut StdRng) -> Self {
        let mut phases = || (0..200).map(|_| random.random_bool(0.15)).collect();
        Self {
            endpoints: (0..count).map(|index| endpoint(index, slots)).collect(),
            slow: (0..count).map(|_| phases()).collect(),
            free_ms: vec![vec![0.0; queues]; count],
        }
    }

    fn factor(&self, index: usize, now_ms: u64) -> f64 {
        let usual = if index.is_multiple_of(4) { 0.55 } else { 1.2 };
        let phase = (now_ms - START_MS) / 600;
        if self.slow[index][phase as usize] { usual * 2.5 } else { usual }
    }

    /// Returns when work of `usual_ms` that arrives now ends, first come, first served.
    fn work(&mut self, index: usize, usual_ms: f64, now_ms: u64) -> u64 {
        let queues = &self.free_ms[index];
        let queue = (0..queues.len()).min_by(|a, b| queues[*a].total_cmp(&queues[*b]));
        let queue = queue.expect("a queue");
        let begin_ms = queues[queue].max(now_ms as f64);
        let end_ms = begin_ms + usual_ms * self.factor(index, begin_ms as u64);
        self.free_ms[index][queue] = end_ms;
        end_ms.round() as u64
    }
}

/// A request of a replay: its endpoint, when it was sent, and what is left of it after its first event.
struct Sent {
    index: usize,
    at_ms: u64,
    work: load::Work,
    tokens_ahead: u64,
    requests: u32,
    is_running: bool,
}

/// Replays 60 s of the uneven load at its rate of streams or calls, with bursts of 2.6 times that, and returns
/// the mean time to a first event or response and the model that was learned.
fn replay(
    engine: Option<&route::Engine>,
    is_reported: bool,
    seed: u64,
) -> (f64, prefill::PrefillModel) {
    let random = &mut StdRng::seed_from_u64(seed);
    let (count, slots, queues) = if engine.is_some() { (52, 64, 1) } else { (4, 6, 6) };
    let mut uneven = Uneven::new(count, slots, queues, random);
    let mut load_table = load::LoadTable::default();
    let mut prefix_index = prefix_index::PrefixIndex::default();
    let (mut health, mut model) = (health::Health::default(), prefill::PrefillModel::default());
    let event_gaps = event_gaps::EventGaps::default();
    let mut durations = work_duration::WorkDurations::default();
    let mut due: BTreeMap<(u64, u64), Sent> = BTreeMap::new();
    let (mut total_ms, mut answered) = (0, 0);
    let mut clock_ms = START_MS as f64;
    for number in 0_u64.. {
        let per_s = if engine.is_some() { 132.0 } else { 42.0 };
        let burst = if clock_ms as u64 / 2_000 % 4 == 3 { 2.6 } else { 1.0 };
        clock_ms += 1_000.0 / (per_s * burst);
        let now_ms = clock_ms as u64;
        if now_ms >= START_MS + 60_000 {
            break;
        }
        while let Some(next) = due.first_entry().filter(|next| next.key().0 <= now_ms) {
            let ((end_ms, number), sent) = next.remove_entry();
            let endpoint = &uneven.endpoints[sent.index];
            let took_ms = end_ms - sent.at_ms;
            if is_reported && !sent.is_running {
                let percent = (uneven.factor(sent.index, end_ms) * 100.0) as u32;
                durations.record(endpoint, percent, end_ms);
            }
            let factor = durations.factor_over(endpoint, took_ms, end_ms);
            load_table.remove(endpoint.key, sent.work);
            if sent.is_running {
                model.observe_run(172, took_ms);
                model.fitted.observe_run(172, sent.requests, took_ms, factor);
                continue;
            }
            total_ms += took_ms;
            answered += 1;
            health.record_response(endpoint.key, true, (took_ms as f64 / factor) as u64, end_ms);
            if engine.is_some() {
                model.observe_first_event(sent.tokens_ahead, took_ms);
                model.fitted.observe_first_event(sent.tokens_ahead, sent.requests, took_ms, factor);
                load_table.add(
                    endpoint.key,
                    load::Work { requests: 1, unread_tokens: 0, ..load::Work::default() },
                    end_ms,
                );
                let step_ms = 4.34 + 0.151 * f64::from(sent.requests);
                let run_ms = 172.0 * step_ms * uneven.factor(sent.index, end_ms);
                let work = load::Work { requests: 1, unread_tokens: 0, ..load::Work::default() };
                let running = Sent { at_ms: end_ms, work, is_running: true, ..sent };
                due.insert((end_ms + run_ms as u64, number), running);
            }
        }
        let inputs = Inputs {
            gap_forecast: None,
            overload_control: false,
            load_table: &load_table,
            prefix_index: &prefix_index,
            health: &health,
            prefill_model: &model,
            event_gaps: &event_gaps,
            work_durations: &durations,
            gap_limit_ms: 0,
            zone: "a",
            now_ms,
            latency_target_ms: 500.0,
            max_wait_ms: 4_000.0,
            unreachable_zones: &[],
        };
        let prompt = prompt(random);
        let choice =
            choose::choose(uneven.endpoints.iter(), engine, Some(&prompt), &inputs, random);
        let choice = choice.expect("a choice");
        let key = choice.endpoint.key;
        let work = load::Work {
            requests: 1,
            unread_tokens: u64::from(choice.unread_tokens),
            ..load::Work::default()
        };
        let (requests, ahead) = (choice.work.requests, choice.work.unread_tokens);
        let index = uneven.endpoints.iter().position(|one| one.key == key).expect("known");
        load_table.add(key, work, now_ms);
        prefix_index.record_sent(key, &prompt.parts, now_ms);
        let step_ms = 4.34 + 0.151 * f64::from(requests);
        let usual_ms = if engine.is_some() {
            f64::from(choice.unread_tokens) / 36.7 + 4.0 * step_ms
        } else {
            60.0
        };
        let end_ms = uneven.work(index, usual_ms, now_ms);
        let tokens_ahead = ahead + work.unread_tokens;
        let sent = Sent { index, at_ms: now_ms, work, tokens_ahead, requests, is_running: false };
        due.insert((end_ms, number), sent);
    }
    (f64::from(u32::try_from(total_ms).expect("few")) / f64::from(answered), model)
}

/// Guards against estimates that take all endpoints for equally fast, or that a slow phase spoils: requests
/// would go to slow endpoints while fast ones are free.
#[test]
fn requests_are_served_sooner_where_endpoints_report_their_durations() {
    for (engine, at_most) in [(Some(&ENGINE), 0.9), (None, 1.0)] {
        for seed in SEED..SEED + 4 {
            let (before_ms, _) = replay(engine, false, seed);
            let (after_ms, _) = replay(engine, true, seed);
            println!(
                "seed {seed}, engine {}: {before_ms:.1} to {after_ms:.1} ms",
                engine.is_some()
            );
            assert!(after_ms < before_ms * at_most, "seed {seed}: {before_ms} to {after_ms} ms");
        }
    }
}

/// Guards against fits that take over the speed of the machines on which they were observed.
#[test]
fn the_fit_finds_the_times_at_the_usual_duration() {
    for seed in SEED..SEED + 4 {
        let (_, model) = replay(Some(&ENGINE), true, seed);
        let usual = engine_times::Estimate {
            model: &model,
            basis: engine_times::Basis::Fitted,
            factor: 1.0,
        };
        let slow = engine_times::Estimate { factor: 1.2, ..usual };
        let (prefill_ms, step_ms) = (usual.prefill_ms(3_670), usual.decode_step_ms(10));
        println!("seed {seed}: {prefill_ms:.1} ms, {step_ms:.2} ms");
        assert!((prefill_ms / 100.0 - 1.0).abs() < 0.2, "seed {seed}: {prefill_ms}");
        assert!((step_ms / 5.85 - 1.0).abs() < 0.2, "seed {seed}: {step_ms}");
        assert!(
            (slow.first_event_ms(3_670, 10, 0.0) / usual.first_event_ms(3_670, 10, 0.0) - 1.2)
                .abs()
                < 1e-9
        );
    }
}

/// Guards against entries that know the durations of only those endpoints that have answered them, against reports that
/// never age while entries send them to each other, and against those of a process that was replaced.
#[test]
fn entries_learn_durations_from_each_other() {
    let endpoints = super::choice::endpoints(60);
    let (mut one, mut other) =
        (work_duration::WorkDurations::default(), work_duration::WorkDurations::default());
    for endpoint in &endpoints {
        one.record(endpoint, 120, 50_000);
    }
    let reports = one.recent(36, 50_010);
    assert_eq!(reports.len(), 36, "a message is bounded");
    for report in &reports {
        let endpoint = endpoints.iter().find(|endpoint| endpoint.key == report.endpoint);
        other.record_heard(endpoint.expect("an endpoint"), *report, 50_010);
    }
    let heard = endpoints.iter().filter(|one| (other.factor(one, 50_010) - 1.2).abs() < 1e-9);
    assert_eq!(heard.count(), 36);
    // A newer report of its own is kept, whatever comes back through others.
    other.record(&endpoints[0], 300, 50_050);
    for report in one.recent(60, 50_060).iter().filter(|one| one.endpoint == endpoints[0].key) {
        other.record_heard(&endpoints[0], *report, 50_060);
    }
    assert!((other.factor(&endpoints[0], 50_060) - 3.0).abs() < 1e-9);
    assert!(one.recent(60, 51_100).is_empty(), "a report is sent for a second");
    let sent_back = other.recent(60, 50_500);
    assert!(sent_back.iter().all(|report| report.endpoint == endpoints[0].key || {
        one.recent(60, 50_500).iter().any(|own| own.endpoint == report.endpoint)
    }));
}
