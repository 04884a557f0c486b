//! Admission of calls to plain services, under the contention load and by properties.

use std::collections::{BTreeMap, HashMap, VecDeque};

use briarwinch::gateway::policy::call_limit::{Answer, Capacity};
use briarwinch::gateway::policy::call_queue::{self, Call, CallQueue, Decision, Reason, Ticket};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TARGET_MS: u32 = 120;
const LIMIT_MS: u64 = 1_000;
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
const SERVICE_MS: u64 = 15;
const ACCOUNTS: usize = 24;
/// All entries of the replay start together, each with two calls per endpoint. 27 of them fill the endpoints until
/// their limits have fallen.
const COUNTED_MS: std::ops::Range<u64> = 1_000..END_MS;
const END_MS: u64 = 5_000;

fn call(account: usize, priority: u8, arrived_ms: u64, latency_target_ms: u32) -> Call {
    let account = format!("account-{account}").into();
    Call { account, priority, arrived_ms, latency_target_ms, deadline_ms: arrived_ms + LIMIT_MS }
}

fn queue(endpoints: u32, slots: u32) -> CallQueue {
    let mut queue = CallQueue::default();
    queue.set_capacity(Capacity { endpoints, slots });
    queue
}

fn answer(waiting: u32) -> Answer {
    Answer { is_not_run: false, waiting: Some(waiting), slots: SLOTS, took_ms: SERVICE_MS }
}

/// A caller's request with all its attempts.
#[derive(Clone, Copy, Debug)]
struct Request {
    account: usize,
    begin_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    running: Vec<(u64, usize)>,
    waiting: VecDeque<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    request: Request,
    entry: usize,
    ticket: Option<Ticket>,
    sent_ms: u64,
}

/// Results of a replay after its first second. Requests of the account with the flood are not among the others.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sends: u32,
    not_run: u32,
    others: u32,
    others_on_time: u32,
    flood_on_time: u32,
}

/// Replays the load: bursts every second, in which one account sends at 27 times the rate of each other one, and
/// refused callers that return after 1 ms until their time limit.
fn replay(entries: usize, is_queued: bool, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut queues: Vec<CallQueue> = (0..entries).map(|_| queue(3, 3 * SLOTS)).collect();
    let mut waiting: Vec<HashMap<Ticket, Request>> = vec![HashMap::new(); entries];
    let mut endpoints = vec![Endpoint::default(); 3];
    let mut sent: Vec<Sent> = Vec::new();
    let mut returning: VecDeque<Request> = VecDeque::new();
    let mut outcome = Outcome::default();
    for now_ms in 0..END_MS + u64::from(TARGET_MS) {
        let is_burst = now_ms % 1_000 < 600;
        let mut arrivals: Vec<Request> = returning.drain(..).collect();
        for account in 0..ACCOUNTS {
            // 860 calls a second of the others and 1,000 of the flood, of 1,200 that the endpoints serve.
            // The flood is above the 12 times of the contention load, so that the demand exceeds the capacity.
            let flood = if account == 0 { 12.0 } else { 1.0 };
            let per_ms = if is_burst { 0.0375 * flood } else { 0.0375 / 2.6 };
            let flood_more = if account == 0 && is_burst { 1.0 - per_ms } else { 0.0 };
            if random.random_bool(per_ms + flood_more) {
                outcome.others += u32::from(account > 0 && COUNTED_MS.contains(&now_ms));
                arrivals.push(Request { account, begin_ms: now_ms });
            }
        }
        let mut sends = Vec::new();
        let mut refused = Vec::new();
        for request in arrivals {
            let entry = random.random_range(0..entries);
            if is_queued {
                let ticket = queues[entry].arrive(call(request.account, 0, now_ms, TARGET_MS));
                waiting[entry].insert(ticket, request);
            } else {
                sends.push(Sent { request, entry, ticket: None, sent_ms: now_ms });
            }
        }
        for (index, endpoint) in endpoints.iter_mut().enumerate() {
            let is_done = |one: &mut (u64, usize)| one.0 <= now_ms;
            for (_, id) in endpoint.running.extract_if(.., is_done).collect::<Vec<_>>() {
                let Sent { request, entry, ticket, sent_ms } = sent[id];
                let took_ms = now_ms - request.begin_ms;
                let is_counted = COUNTED_MS.contains(&request.begin_ms);
                let on_time = u32::from(is_counted && took_ms <= u64::from(TARGET_MS));
                outcome.others_on_time += on_time * u32::from(request.account > 0);
                outcome.flood_on_time += on_time * u32::from(request.account == 0);
                let took_ms = now_ms - sent_ms;
                let report = endpoint.waiting.len() as u32;
                queues[entry].record_answer(Answer { took_ms, ..answer(report) }, now_ms);
                ticket.into_iter().for_each(|ticket| queues[entry].leave(ticket));
            }
            while endpoint.running.len() < SLOTS as usize
                && let Some(id) = endpoint.waiting.pop_front()
            {
                endpoint.running.push((now_ms + SERVICE_MS, id));
            }
            assert!(endpoint.waiting.len() <= QUEUE, "endpoint {index}");
        }
        for entry in 0..entries {
            for (ticket, decision) in queues[entry].step(now_ms) {
                let request = waiting[entry].remove(&ticket).expect("a waiting call");
                match decision {
                    Decision::Start => {
                        let ticket = Some(ticket);
                        sends.push(Sent { request, entry, ticket, sent_ms: now_ms });
                    }
                    Decision::Refuse(_) => refused.push(request),
                }
            }
        }
        for one in sends {
            outcome.sends += u32::from(COUNTED_MS.contains(&now_ms));
            let endpoint = &mut endpoints[random.random_range(0..3)];
            if endpoint.waiting.len() < QUEUE {
                endpoint.waiting.push_back(sent.len());
                sent.push(one);
                continue;
            }
            outcome.not_run += u32::from(COUNTED_MS.contains(&now_ms));
            let full = Answer { is_not_run: true, waiting: Some(QUEUE as u32), ..answer(0) };
            queues[one.entry].record_answer(full, now_ms);
            one.ticket.into_iter().for_each(|ticket| queues[one.entry].leave(ticket));
            refused.push(one.request);
        }
        returning.extend(refused.into_iter().filter(|one| now_ms < one.begin_ms + LIMIT_MS));
    }
    outcome
}

/// Guards against endpoints that are kept full by a flood and by callers that return at once, so that the calls
/// of all accounts come back as not run or are late.
#[test]
fn a_flood_delays_only_its_own_account_and_few_sends_are_not_run() {
    for (entries, seed) in [(4, 1), (9, 2), (9, 3), (27, 4)] {
        let [before, after] = [false, true].map(|is_queued| replay(entries, is_queued, seed));
        println!("{entries} entries, seed {seed}: before {before:?}, with the queue {after:?}");
        let on_time = |one: &Outcome| f64::from(one.others_on_time) / f64::from(one.others);
        let not_run = |one: &Outcome| f64::from(one.not_run) / f64::from(one.sends);
        assert!(not_run(&before) > 0.1, "the load fills the endpoints without the queue");
        assert!(not_run(&after) < 0.02, "{} of the sends were not run", not_run(&after));
        assert!(on_time(&after) > 0.95, "{} of the others on time", on_time(&after));
        assert!(after.flood_on_time > 0, "the flood itself is served from what is left");
    }
}

/// Guards against a less urgent class that is refused on each arrival while urgent calls fill the queue, and so
/// never waits long enough to be passed over.
#[test]
fn a_less_urgent_class_is_served_while_urgent_calls_fill_the_queue() {
    let mut queue = queue(1, 1);
    let mut priorities: BTreeMap<Ticket, u8> = BTreeMap::new();
    let (mut served, mut running) = ([0_u32; 2], None);
    for now_ms in 0..30_000 {
        for priority in [0, 1] {
            priorities.insert(queue.arrive(call(0, priority, now_ms, TARGET_MS)), priority);
        }
        if now_ms % SERVICE_MS == 0
            && let Some(ticket) = running.take()
        {
            queue.leave(ticket);
        }
        for (ticket, decision) in queue.step(now_ms) {
            if decision == Decision::Start {
                served[usize::from(priorities[&ticket])] += 1;
                running = Some(ticket);
            }
        }
    }
    println!("served by priority: {served:?}");
    assert!(served[1] * 18 >= served[0], "{served:?}");
    assert!(served[0] > served[1] * 10, "{served:?}: urgent calls go first");
}

/// Guards against a queue that is blocked by calls to a silent endpoint.
#[test]
fn calls_without_an_answer_for_a_second_stop_counting() {
    let mut queue = queue(1, 1);
    let silent = queue.arrive(call(0, 0, 0, TARGET_MS));
    assert_eq!(queue.step(0), [(silent, Decision::Start)]);
    let next = queue.arrive(call(1, 0, 970, TARGET_MS));
    assert!(queue.step(970).is_empty());
    assert_eq!(queue.next_step_ms(), Some(call_queue::SILENT_MS));
    assert_eq!(queue.step(call_queue::SILENT_MS), [(next, Decision::Start)]);
    queue.leave(silent);
    assert_eq!(queue.in_progress(), 1, "the silent call is not subtracted twice");
}

/// Guards against the refusal of a newcomer in place of a call of the account that fills the queue, and against a
/// call that waits past half of its latency target.
#[test]
fn the_last_call_in_dispatch_order_is_refused_and_no_call_waits_longer_than_half_its_target() {
    let mut queue = queue(1, 1);
    queue.arrive(call(0, 0, 0, TARGET_MS));
    queue.step(0);
    let flood: Vec<Ticket> = (0..3).map(|_| queue.arrive(call(0, 0, 0, TARGET_MS))).collect();
    assert!(queue.step(0).is_empty(), "three calls of 20 ms start within 60 ms");
    queue.arrive(call(1, 0, 0, TARGET_MS));
    let refused: Vec<Ticket> = queue.step(0).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(refused, [flood[2]]);
    let late = queue.step(u64::from(TARGET_MS / 2) + 1);
    assert_eq!(late.len(), 3);
    assert!(late.iter().all(|(_, decision)| matches!(decision,
        Decision::Refuse(refused) if refused.reason == Reason::WaitLimit)));
}

/// Guards against a limit that does not follow the endpoints: it starts at two calls for each, rises by one for a full
/// round without waiting calls, and falls once per response time.
#[test]
fn the_limit_follows_the_answers_of_the_endpoints() {
    let mut queue = queue(3, 18);
    assert_eq!(queue.limit().calls(), 6);
    let answers =
        |queue: &mut CallQueue, count: u64, answer: Answer, begin_ms: u64, gap_ms: u64| {
            for step in 0..count {
                queue.record_answer(answer, begin_ms + step * gap_ms);
            }
        };
    answers(&mut queue, 6, answer(0), 0, 0);
    assert_eq!(queue.limit().calls(), 6, "it was not reached");
    for _ in 0..6 {
        queue.arrive(call(0, 0, 0, TARGET_MS));
    }
    queue.step(0);
    answers(&mut queue, 6, answer(0), 10, 0);
    assert_eq!(queue.limit().calls(), 7);
    let full = Answer { is_not_run: true, ..answer(24) };
    answers(&mut queue, 9, full, 20, 0);
    assert_eq!(queue.limit().calls(), 6, "one decrease within a response time");
    answers(&mut queue, 200, answer(7), 100, 50);
    assert_eq!(queue.limit().calls(), 1);
    queue.set_capacity(Capacity::default());
    assert_eq!(queue.limit().calls(), 1, "never below one");
}

proptest! {
    #![proptest_config(crate::cases(200))]

    /// Guards against calls beyond the limit, and against places that are lost when callers leave at any time.
    #[test]
    fn calls_in_progress_stay_within_the_limit_and_the_counts_are_exact(
        steps in prop::collection::vec((0_u8..6, 0_usize..5, 0_u8..3, 0_u64..120), 1..200),
    ) {
        let mut queue = queue(2, 6);
        let (mut now_ms, mut waiting) = (0, Vec::new());
        let mut started: Vec<(Ticket, u64)> = Vec::new();
        for (action, index, priority, passed_ms) in steps {
            match action {
                0..3 => waiting.push(queue.arrive(call(index, priority, now_ms, TARGET_MS))),
                3 => now_ms += passed_ms,
                4 => {
                    queue.record_answer(answer(index as u32 * 2), now_ms);
                }
                _ if passed_ms % 2 == 0 && index < waiting.len() => {
                    queue.leave(waiting.swap_remove(index));
                }
                _ if index < started.len() => queue.leave(started.swap_remove(index).0),
                _ => {}
            }
            let mut has_started = false;
            for (ticket, decision) in queue.step(now_ms) {
                waiting.retain(|one| *one != ticket);
                if decision == Decision::Start {
                    has_started = true;
                    started.push((ticket, now_ms));
                }
            }
            prop_assert!(!has_started || queue.in_progress() <= queue.limit().calls());
            prop_assert_eq!(queue.waiting(), waiting.len());
            let counted = started.iter().filter(|one| now_ms < one.1 + call_queue::SILENT_MS);
            prop_assert_eq!(queue.in_progress() as usize, counted.count());
        }
        waiting.into_iter().chain(started.into_iter().map(|one| one.0)).for_each(|one| queue.leave(one));
        prop_assert_eq!((queue.waiting(), queue.in_progress()), (0, 0));
    }

    /// Guards against an account that gets more than its share while others wait, and against a class that is
    /// passed over without end.
    #[test]
    fn accounts_have_equal_shares_and_no_class_is_starved(
        backlog in prop::collection::vec(1_usize..12, 2..6), classes in 1_u8..4,
    ) {
        let mut queue = queue(1, 1);
        let mut owners = HashMap::new();
        let mut arrive = |queue: &mut CallQueue, account, priority| {
            let patient = Call { deadline_ms: u64::MAX, ..call(account, priority, 0, 1_000_000) };
            let ticket = queue.arrive(patient);
            owners.insert(ticket, (account, priority));
            owners.clone()
        };
        let mut known = HashMap::new();
        for priority in 0..classes {
            for (account, calls) in backlog.iter().enumerate() {
                (0..*calls).for_each(|_| known = arrive(&mut queue, account, priority));
            }
        }
        let mut served = vec![vec![0_u32; backlog.len()]; usize::from(classes)];
        let mut since = vec![0_usize; usize::from(classes)];
        for _ in 0..300 {
            let decisions = queue.step(0);
            let [(ticket, Decision::Start)] = decisions[..] else {
                return Err(TestCaseError::fail(format!("{decisions:?}")));
            };
            let (account, priority) = known[&ticket];
            served[usize::from(priority)][account] += 1;
            since.iter_mut().for_each(|passed| *passed += 1);
            since[usize::from(priority)] = 0;
            prop_assert!(since.iter().all(|passed| *passed <= 16 + usize::from(classes)));
            queue.leave(ticket);
            known = arrive(&mut queue, account, priority);
        }
        for shares in served {
            let (least, most) = (shares.iter().min(), shares.iter().max());
            prop_assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 1), "{shares:?}");
        }
    }

    /// Guards against urgent callers that return after less urgent ones, and against delays beyond a third of the
    /// caller's time.
    #[test]
    fn retry_delays_are_ordered_by_priority_within_a_third_of_the_time_left(
        expected_ms in 0.0..3_000.0_f64, left_ms in 0_u64..20_000, seed: u64,
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let delays: Vec<u32> = (0..5)
            .map(|priority| call_queue::retry_after_ms(expected_ms, priority, left_ms, &mut random))
            .collect();
        prop_assert!(delays.is_sorted(), "{delays:?}");
        prop_assert!(delays.iter().all(|delay| u64::from(*delay) <= left_ms / 3), "{delays:?}");
        let is_spread_ms = delays[0] as f64 >= expected_ms.max(300.0) * 0.75;
        prop_assert!(is_spread_ms || f64::from(delays[0]) >= (left_ms as f64 * 0.15).floor() - 1.0);
    }
}
