//! Shared state: no merge lowers a version, and all replicas converge.

use briarwinch::gossip::SharedState;
use briarwinch::keys::{Record, Table, Versioned};
use briarwinch::membership::{Member, Role, State};
use briarwinch::store::Object;
use briarwinch::wire::ConfigText;
use proptest::prelude::*;

fn text(version: u64) -> String {
    if version % 5 == 4 {
        return "{\"classes\": {}".to_owned();
    }
    format!(
        "{{\"classes\": {{\"c\": {{\"latency_target_ms\": {}, \"priority\": 1}}}}, \"services\": {{}}, \"accounts\": {{}}}}",
        version + 1
    )
}

fn key(revision: u64) -> Versioned {
    let record = Record {
        id: format!("k{}", revision % 7).into(),
        account: "a".into(),
        digest: [0; 32],
        withdrawn: revision.is_multiple_of(2),
    };
    Versioned { revision, record }
}

fn member(number: u64, version: u64) -> Member {
    Member {
        id: format!("side-{number}").into(),
        version,
        boot: 1,
        role: Role::Side,
        region: "r".into(),
        zone: "z".into(),
        state: if version.is_multiple_of(3) { State::Draining } else { State::Ready },
        peer_addr: ([127, 0, 0, 1], 1).into(),
        admin_addr: ([127, 0, 0, 1], 2).into(),
        work_addr: None,
        endpoints: Vec::new(),
    }
}

#[derive(Clone, Debug)]
enum Operation {
    /// A daemon reads a configuration text from the store, possibly a stale one.
    Config {
        daemon: usize,
        version: u64,
    },
    Key {
        daemon: usize,
        revision: u64,
    },
    Member {
        daemon: usize,
        number: u64,
        version: u64,
    },
    /// One daemon pulls from another.
    Pull {
        from: usize,
        to: usize,
    },
    /// A daemon restarts with empty state.
    Restart {
        daemon: usize,
    },
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let daemon = 0..4_usize;
    let operation = prop_oneof![
        (daemon.clone(), 1..30_u64)
            .prop_map(|(daemon, version)| Operation::Config { daemon, version }),
        (daemon.clone(), 1..60_u64)
            .prop_map(|(daemon, revision)| Operation::Key { daemon, revision }),
        (daemon.clone(), 0..5_u64, 1..20_u64)
            .prop_map(|(daemon, number, version)| Operation::Member { daemon, number, version }),
        (daemon.clone(), daemon.clone()).prop_map(|(from, to)| Operation::Pull { from, to }),
        daemon.prop_map(|daemon| Operation::Restart { daemon }),
    ];
    prop::collection::vec(operation, 1..150)
}

fn pull(daemons: &mut [SharedState], from: usize, to: usize) {
    let update = daemons[from].update_for(&daemons[to].pull());
    daemons[to].merge_update(update);
}

proptest! {
    #![proptest_config(crate::cases(300))]

    /// Guards against versions that go down through stale reads, slow peers and restarts in any order:
    /// an accepted configuration would be reverted, or a withdrawn key would be valid again.
    #[test]
    fn merges_never_lower_a_version_and_replicas_converge(operations in operations()) {
        let mut daemons: Vec<SharedState> = vec![SharedState::default(); 4];
        let addr = ([127, 0, 0, 1], 1).into();
        for operation in operations {
            let before: Vec<_> = daemons.iter().map(|shared| {
                (shared.digest(addr, false), shared.config.as_ref().map_or(0, |c| c.version))
            }).collect();
            let mut restarted = None;
            match operation {
                Operation::Config { daemon, version } => {
                    daemons[daemon].merge_config(ConfigText { version, text: text(version) });
                }
                Operation::Key { daemon, revision } => {
                    // A reader lists and then watches, so it has all keys up to a revision.
                    let objects = (1..=revision).map(|revision| Object {
                        key: format!("shared/keys/k{}", revision % 7).into(),
                        version: revision,
                        value: serde_json::to_string(&key(revision).record).expect("a record"),
                    });
                    daemons[daemon].merge_objects(objects.collect());
                }
                Operation::Member { daemon, number, version } => {
                    daemons[daemon].fleet.merge(member(number, version));
                }
                Operation::Pull { from, to } => pull(&mut daemons, from, to),
                Operation::Restart { daemon } => {
                    daemons[daemon] = SharedState::default();
                    restarted = Some(daemon);
                }
            }
            for (daemon_index, (digest, active_version)) in before.iter().enumerate() {
                if restarted == Some(daemon_index) {
                    continue;
                }
                let now = daemons[daemon_index].digest(addr, false);
                prop_assert!(now.config_version >= digest.config_version);
                prop_assert!(now.keys_revision >= digest.keys_revision);
                let now_active = daemons[daemon_index].config.as_ref().map_or(0, |c| c.version);
                prop_assert!(now_active >= *active_version);
            }
        }
        for _ in 0..2 {
            for to in 0..4 {
                for from in 0..4 {
                    pull(&mut daemons, from, to);
                }
            }
        }
        let first = daemons[0].digest(addr, false);
        for shared in &daemons {
            prop_assert_eq!(&shared.digest(addr, false), &first);
            prop_assert!(!shared.is_behind(&first) && !shared.is_ahead(&first));
        }
    }

    /// Guards against a withdrawn key that stays valid, or the reverse, when a grant and a withdrawal
    /// arrive in another order than the store accepted them: the last one in the store wins.
    #[test]
    fn reordered_grants_and_withdrawals_end_as_in_the_store(order in Just((1..40_u64).collect::<Vec<_>>()).prop_shuffle()) {
        let mut table = Table::default();
        for revision in order {
            table.merge(key(revision));
        }
        for id in 0..7 {
            let last = (1..40_u64).rev().find(|revision| revision % 7 == id).expect("each occurs");
            prop_assert_eq!(table.is_withdrawn(&format!("k{id}")), last % 2 == 0);
        }
    }
}
