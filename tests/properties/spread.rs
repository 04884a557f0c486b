//! What is shared only ever moves forward, and ends the same everywhere.

use briarwinch::keys::{Record, Table, Versioned};
use briarwinch::membership::{Member, Role, State};
use briarwinch::spread::Shared;
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
enum Act {
    /// A daemon reads a text from the store, perhaps an old one.
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
    /// A daemon is restarted and knows nothing.
    Restart {
        daemon: usize,
    },
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let daemon = 0..4_usize;
    let act = prop_oneof![
        (daemon.clone(), 1..30_u64).prop_map(|(daemon, version)| Act::Config { daemon, version }),
        (daemon.clone(), 1..60_u64).prop_map(|(daemon, revision)| Act::Key { daemon, revision }),
        (daemon.clone(), 0..5_u64, 1..20_u64).prop_map(|(daemon, number, version)| Act::Member {
            daemon,
            number,
            version
        }),
        (daemon.clone(), daemon.clone()).prop_map(|(from, to)| Act::Pull { from, to }),
        daemon.prop_map(|daemon| Act::Restart { daemon }),
    ];
    prop::collection::vec(act, 1..150)
}

fn pull(daemons: &mut [Shared], from: usize, to: usize) {
    let news = daemons[from].news_for(&daemons[to].pull());
    daemons[to].take_news(news);
}

proptest! {
    #![proptest_config(crate::cases(300))]

    /// Old reads, slow peers and restarts in any order. If a version could go down, an accepted
    /// configuration would revert, or a withdrawn key work again.
    #[test]
    fn versions_never_go_down_and_all_end_alike(acts in acts()) {
        let mut daemons: Vec<Shared> = vec![Shared::default(); 4];
        let addr = ([127, 0, 0, 1], 1).into();
        for act in acts {
            let before: Vec<_> = daemons.iter().map(|shared| {
                (shared.digest(addr, false), shared.config.as_ref().map_or(0, |c| c.version))
            }).collect();
            let mut restarted = None;
            match act {
                Act::Config { daemon, version } => {
                    daemons[daemon].take_config(ConfigText { version, text: text(version) });
                }
                Act::Key { daemon, revision } => {
                    // A reader has all up to a revision: it lists, then watches.
                    let objects = (1..=revision).map(|revision| Object {
                        key: format!("shared/keys/k{}", revision % 7).into(),
                        version: revision,
                        value: serde_json::to_string(&key(revision).record).expect("a record"),
                    });
                    daemons[daemon].take_objects(objects.collect());
                }
                Act::Member { daemon, number, version } => {
                    daemons[daemon].fleet.take(member(number, version));
                }
                Act::Pull { from, to } => pull(&mut daemons, from, to),
                Act::Restart { daemon } => {
                    daemons[daemon] = Shared::default();
                    restarted = Some(daemon);
                }
            }
            for (number, (digest, in_force)) in before.iter().enumerate() {
                if restarted == Some(number) {
                    continue;
                }
                let now = daemons[number].digest(addr, false);
                prop_assert!(now.config_version >= digest.config_version);
                prop_assert!(now.keys_revision >= digest.keys_revision);
                prop_assert!(daemons[number].config.as_ref().map_or(0, |c| c.version) >= *in_force);
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

    /// A grant and a withdrawal race through different ways. What the store accepted last stands.
    #[test]
    fn grant_and_withdrawal_end_as_the_store_has_them(order in Just((1..40_u64).collect::<Vec<_>>()).prop_shuffle()) {
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
