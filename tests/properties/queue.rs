//! Property tests of the queue: protected classes, guaranteed shares, fairness between accounts and the
//! capacity limit.

use std::collections::HashMap;

use briarwinch::config::ClassKey;
use briarwinch::queue::{ClassRule, Job, PushOutcome, Queue, Started};
use proptest::prelude::*;

const CAPACITY: usize = 24;

/// Returns seven classes, two of them protected, as in the users' deployments.
fn rules() -> Vec<ClassRule> {
    [(90, true), (80, true), (70, false), (60, false), (40, false), (20, false), (10, false)]
        .into_iter()
        .map(|(priority, protected)| ClassRule { priority, protected, guaranteed_ppm: 50_000 })
        .collect()
}

fn job(id: u64, class: u16, account: u8, tokens: u64) -> Job {
    Job {
        id,
        class: ClassKey(class),
        account: format!("account-{account}").into(),
        share: 1,
        estimate_tokens: tokens,
        target_at_ms: id,
        expires_at_ms: u64::MAX,
    }
}

#[derive(Clone, Debug)]
enum Action {
    Push {
        class: u16,
        account: u8,
        tokens: u64,
    },
    Pop,
    /// The oldest running job ends after this percentage of its estimate.
    Finish {
        percent: u64,
    },
    Expire,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        5 => (0..7_u16, 0..4_u8, 1..2000_u64)
            .prop_map(|(class, account, tokens)| Action::Push { class, account, tokens }),
        2 => Just(Action::Pop),
        1 => (0..300_u64).prop_map(|percent| Action::Finish { percent }),
        1 => Just(Action::Expire),
    ];
    prop::collection::vec(action, 1..300)
}

proptest! {
    #![proptest_config(crate::cases(400))]

    /// Guards against a full queue refusing or evicting a protected job in favour of a lower class, for
    /// example a hearing summary that then arrives after the hearing.
    #[test]
    fn protected_jobs_are_never_refused_for_lower_ones(actions in actions()) {
        let rules = rules();
        let mut queue = Queue::new(1, rules.clone(), CAPACITY);
        let mut waiting: HashMap<u64, Job> = HashMap::new();
        let mut running: Vec<Started> = Vec::new();
        for (id, action) in (0_u64..).zip(actions) {
            match action {
                Action::Push { class, account, tokens } => {
                    let new = job(id, class, account, tokens);
                    let rule = |job: &Job| rules[usize::from(job.class.0)];
                    match queue.push(new.clone()) {
                        PushOutcome::Queued(_) => { waiting.insert(id, new); }
                        PushOutcome::QueuedEvicting(_, evicted) => {
                            prop_assert!(waiting.remove(&evicted.id).is_some());
                            let lower = rule(&evicted).priority < rule(&new).priority;
                            prop_assert!(!(rule(&evicted).protected && evicted.class != new.class));
                            prop_assert!(lower || evicted.class == new.class);
                            waiting.insert(id, new);
                        }
                        PushOutcome::Refused(refused) => {
                            prop_assert_eq!(refused.id, id);
                            if rule(&refused).protected {
                                // All shared capacity is used by its own class, higher classes or
                                // protected ones; a lower unprotected class uses only its reserved
                                // capacity.
                                for (class, lower) in rules.iter().enumerate() {
                                    let held = queue.waiting(ClassKey(class as u16));
                                    let reserved = (CAPACITY * 50_000 / 1_000_000).max(1);
                                    prop_assert!(lower.priority >= rule(&refused).priority
                                        || lower.protected || held <= reserved);
                                }
                            }
                        }
                    }
                }
                Action::Pop => if let Some(started) = queue.pop(0, 32) {
                    prop_assert!(waiting.remove(&started.job.id).is_some());
                    running.push(started);
                },
                Action::Finish { percent } => if !running.is_empty() {
                    let started = running.remove(0);
                    let tokens = started.job.estimate_tokens * percent / 100;
                    queue.finish(started, tokens);
                },
                Action::Expire => prop_assert!(queue.expire(id).is_empty()),
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(queue.len() <= CAPACITY);
        }
    }

    /// Guards against starvation by higher classes with unlimited demand. While a class waits, its service
    /// must be behind its guaranteed share of all service by at most one job of each class.
    #[test]
    fn no_class_starves_under_endless_higher_load(
        sizes in prop::collection::vec(1..2000_u64, 200..600),
        waiting_class in 1..7_u16,
    ) {
        let rules = rules();
        let mut queue = Queue::new(1, rules.clone(), 4096);
        let mut id = 0;
        let mut fill = |queue: &mut Queue, tokens: u64| {
            for class in 0..=waiting_class {
                while queue.waiting(ClassKey(class)) < 3 {
                    id += 1;
                    queue.push(job(id, class, (id % 3) as u8, tokens));
                }
            }
        };
        let (mut total, mut served, mut largest) = (0, 0, 0);
        for tokens in sizes {
            fill(&mut queue, tokens);
            let started = queue.pop(0, 32).expect("it waits");
            let cost = started.job.estimate_tokens;
            largest = largest.max(cost);
            total += cost;
            if started.job.class == ClassKey(waiting_class) {
                served += cost;
            }
            queue.finish(started, cost);
            let due = total * 50_000 / 1_000_000;
            prop_assert!(served + largest * rules.len() as u64 >= due,
                "served {served} of {due} due, largest {largest}");
        }
    }

    /// Guards against an account that floods a class and displaces another with little traffic. While both
    /// wait, each must get half of the service, within two jobs.
    #[test]
    fn accounts_of_a_class_get_equal_service(
        sizes in prop::collection::vec((1..2000_u64, 10..300_u64), 50..200),
    ) {
        let mut queue = Queue::new(1, rules(), 64);
        let mut served = [0_u64; 2];
        let mut largest = 0;
        let (mut id, mut other_waiting) = (0, 0);
        for (tokens, percent) in sizes {
            for _ in 0..10 {
                id += 1;
                queue.push(job(id, 3, 0, tokens));
            }
            // The other account never has more than three jobs waiting.
            while other_waiting < 3 {
                id += 1;
                let pushed = queue.push(job(id, 3, 1, tokens));
                prop_assert!(!matches!(pushed, PushOutcome::Refused(_)),
                    "an account with few jobs is not refused");
                other_waiting += 1;
            }
            let started = queue.pop(0, 32).expect("it waits");
            // Output lengths are unknown, so the actual service differs from the estimate.
            let tokens = started.job.estimate_tokens * percent / 100 + 1;
            largest = largest.max(tokens.max(started.job.estimate_tokens));
            let is_other = started.job.account == "account-1";
            other_waiting -= usize::from(is_other);
            served[usize::from(is_other)] += tokens;
            queue.finish(started, tokens);
            prop_assert!(served[0].abs_diff(served[1]) <= 2 * largest, "{served:?}, {largest}");
        }
    }
}
