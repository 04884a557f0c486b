//! The gap forecast against the load of uneven endpoints: its figures, and the engines that it chooses.

use briarwinch::gateway::directory::EndpointKey;
use briarwinch::gateway::policy::gap_forecast::{Arrivals, Forecast, NewStream, Speed, class_of};
use briarwinch::gateway::policy::load::Work;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::choice::{NOW_MS, endpoints};

/// Engines of uneven speed: 36.7 prompt tokens per ms, a step of 4.34 ms plus 0.151 ms for each of 20 requests,
/// 4 tokens in an event.
const FORECAST: Forecast =
    Forecast { tokens_per_event: 4, chunk_ms: 2_048.0 / 36.7, step_ms: 4.34 + 0.151 * 20.0 };
const TURN: NewStream = NewStream { unread_tokens: 1_110, gap_limit_ms: 300, output_tokens: 172 };
const REVIEW: NewStream =
    NewStream { unread_tokens: 17_020, gap_limit_ms: 1_200, output_tokens: 120 };

fn work(unread_tokens: u64, turns: u16) -> Work {
    Work { requests: 1, unread_tokens, streams: [0, turns, 0, 0], ..Work::default() }
}

fn cost_ms(work: &Work, new: &NewStream, factor: f64) -> f64 {
    let key = EndpointKey::of("one");
    FORECAST
        .candidate(key, work, new, &Speed::constant(factor), &Arrivals::default(), NOW_MS)
        .cost_ms
}

/// Guards against a forecast with other terms than the plan's: chunks are limited by the tokens of an event, and
/// both terms grow with the duration of work.
#[test]
fn the_longest_gap_follows_chunks_steps_and_duration() {
    let expected_ms = |chunks: f64, factor: f64| (chunks * 55.804 + 4.0 * 7.36) * factor;
    for (chunks, counted, factor) in [(0, 0.0, 1.0), (2, 2.0, 0.55), (9, 4.0, 1.0), (9, 4.0, 3.0)] {
        let longest_ms = FORECAST.longest_ms(chunks, factor);
        assert!((longest_ms - expected_ms(counted, factor)).abs() < 0.1, "{longest_ms}");
    }
    let classes = [0, 150, 151, 300, 600, 601, 1_200].map(class_of);
    assert_eq!(classes, [None, Some(0), Some(1), Some(1), Some(2), Some(3), Some(3)]);
}

/// Guards against long prompts that make running turns late although an engine without turns, or a fast one, is as
/// good otherwise; and against costs where nobody becomes late.
#[test]
fn a_long_prompt_costs_what_it_makes_late() {
    assert!(cost_ms(&work(0, 5), &REVIEW, 1.2) > 1_000.0, "five turns become late");
    assert!(cost_ms(&work(0, 5), &REVIEW, 0.55).abs() < 1e-9, "a fast engine keeps their limit");
    assert!(cost_ms(&work(0, 0), &REVIEW, 1.2).abs() < 1e-9, "nobody is there");
    assert!(cost_ms(&work(17_020, 5), &REVIEW, 1.2).abs() < 1e-9, "they are late anyway");
    assert!(cost_ms(&work(0, 5), &TURN, 1.2).abs() < 1e-9, "a short prompt is one chunk");
    let patient = Work { streams: [0, 0, 0, 9], ..work(0, 0) };
    assert!(cost_ms(&patient, &REVIEW, 3.0).abs() < 1e-9, "limits above 600 ms are not exceeded");
}

/// Guards against turns that go where prompts wait or keep arriving.
#[test]
fn a_turn_avoids_waiting_and_arriving_prompts() {
    assert!(cost_ms(&work(17_020, 0), &TURN, 1.2) > 100.0, "a prompt waits there");
    assert!(cost_ms(&work(17_020, 0), &TURN, 0.55).abs() < 1e-9, "a fast engine");
    let key = EndpointKey::of("one");
    let mut arrivals = Arrivals::default();
    let cost_ms = |arrivals: &Arrivals, now_ms| {
        FORECAST.candidate(key, &work(0, 0), &TURN, &Speed::constant(1.2), arrivals, now_ms).cost_ms
    };
    let mut before_ms = cost_ms(&arrivals, NOW_MS);
    for _ in 0..4 {
        arrivals.record(key, 17_020, NOW_MS);
        let with_one_more_ms = cost_ms(&arrivals, NOW_MS);
        assert!(with_one_more_ms > before_ms, "{with_one_more_ms} ms after {before_ms} ms");
        before_ms = with_one_more_ms;
    }
    arrivals.record(key, 1_110, NOW_MS);
    assert!(
        (cost_ms(&arrivals, NOW_MS) - before_ms).abs() < 1e-9,
        "a short prompt makes no turn late"
    );
    assert!(cost_ms(&arrivals, NOW_MS + 5_000).abs() < 1e-9, "old arrivals do not count");
}

/// A stream of the replay.
struct Running {
    engine: usize,
    end_ms: u64,
    is_turn: bool,
    is_late: bool,
}

/// Replays 52 uneven engines, a quarter of them fast, under reviews and turns at the plan's rates for 60 s. Each
/// request goes to the cheapest of 12 random engines by its prefill time, with or without the forecast. Returns
/// the share of turns with a gap above their limit, and the busiest engine's prompt tokens over the mean.
fn replay(seed: u64, has_forecast: bool) -> (f64, f64) {
    const ENGINES: usize = 52;
    let keys: Vec<EndpointKey> = endpoints(ENGINES).iter().map(|one| one.key).collect();
    let factor = |engine: usize| if engine.is_multiple_of(4) { 0.55 } else { 1.2 };
    let mut random = StdRng::seed_from_u64(seed);
    let mut arrivals = Arrivals::default();
    let (mut unread, mut tokens) = (vec![0.0_f64; ENGINES], vec![0.0_f64; ENGINES]);
    let mut running: Vec<Running> = Vec::new();
    let (mut turns, mut late) = (0_u32, 0_u32);
    for now_ms in NOW_MS..NOW_MS + 60_000 {
        for (engine, unread) in unread.iter_mut().enumerate() {
            *unread = (*unread - 36.7 / factor(engine)).max(0.0);
        }
        for stream in &mut running {
            let chunks = (unread[stream.engine] / 2_048.0).ceil() as u32;
            stream.is_late |= FORECAST.longest_ms(chunks, factor(stream.engine)) > 300.0;
        }
        running.retain(|stream| {
            let is_over = now_ms >= stream.end_ms;
            turns += u32::from(is_over && stream.is_turn);
            late += u32::from(is_over && stream.is_turn && stream.is_late);
            !is_over
        });
        for (per_s, is_turn, new) in [(55.0, false, REVIEW), (47.6, true, TURN)] {
            if !random.random_bool(per_s / 1_000.0) {
                continue;
            }
            let cost_ms = |engine: usize| {
                let prefill_ms =
                    (unread[engine] + new.unread_tokens as f64) / 36.7 * factor(engine);
                let of_engine = running.iter().filter(|one| one.engine == engine && one.is_turn);
                let work = work(unread[engine] as u64, of_engine.count() as u16);
                let gaps = FORECAST.candidate(
                    keys[engine],
                    &work,
                    &new,
                    &Speed::constant(factor(engine)),
                    &arrivals,
                    now_ms,
                );
                prefill_ms + if has_forecast { gaps.cost_ms } else { 0.0 }
            };
            let sample: Vec<usize> = (0..12).map(|_| random.random_range(0..ENGINES)).collect();
            let costs = sample.into_iter().map(|engine| (cost_ms(engine), engine));
            let (_, engine) = costs.min_by(|a, b| a.0.total_cmp(&b.0)).expect("a sample");
            unread[engine] += new.unread_tokens as f64;
            tokens[engine] += new.unread_tokens as f64 * factor(engine);
            arrivals.record(keys[engine], new.unread_tokens, now_ms);
            let prefill_ms = unread[engine] / 36.7 * factor(engine);
            let run_ms = f64::from(new.output_tokens) * FORECAST.step_ms * factor(engine);
            let end_ms = now_ms + (prefill_ms + run_ms) as u64;
            running.push(Running { engine, end_ms, is_turn, is_late: false });
        }
    }
    let mean = tokens.iter().sum::<f64>() / ENGINES as f64;
    let busiest = tokens.iter().copied().fold(0.0, f64::max) / mean;
    (f64::from(late) / f64::from(turns), busiest)
}

/// Guards against a forecast that does not keep turns apart from long prompts, or that does so by piling the
/// prompts on a few engines.
#[test]
fn fewer_turns_have_late_events_with_the_forecast() {
    for seed in [5, 6, 7] {
        let (without, busiest_without) = replay(seed, false);
        let (with, busiest_with) = replay(seed, true);
        println!(
            "seed {seed}: {without:.3} of turns late without the forecast, {with:.3} with it; busiest \
             engine {busiest_without:.2} and {busiest_with:.2} times the mean work"
        );
        assert!(with < without / 2.0, "seed {seed}");
    }
}
