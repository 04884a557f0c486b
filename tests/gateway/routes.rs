//! Tests of the traffic configuration: routes, services, client accounts and ranks.

use briarwinch::gateway::request::Rank;
use briarwinch::gateway::route::{
    Account, Engine, HealthPaths, Kind, Limits, Route, Service, ServiceKey, Table, TableData,
    TokensPerEvent, WeightedService,
};

fn route(host: &str, prefix: &str, weighted_services: &[(u32, u32)]) -> Route {
    let weighted = |(service, weight): &(u32, u32)| WeightedService {
        service: ServiceKey(*service),
        weight: *weight,
    };
    Route {
        name: prefix.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: Kind::Repeatable,
        weighted_services: weighted_services.iter().map(weighted).collect(),
        timeout_ms: 800,
        latency_target_ms: 300,
        gap_target_ms: 0,
        priority: 2,
        max_attempts: 2,
        is_public: false,
    }
}

fn table() -> Table {
    let service = |name: &str| Service {
        name: name.into(),
        health_path: "".into(),
        max_connections: 100,
        engine: None,
        warm_up: None,
        scaling: None,
    };
    Table::from(TableData {
        version: 3,
        routes: vec![
            route("one.example", "/a/", &[(0, 1)]),
            route("one.example", "/a/b/", &[(1, 1)]),
            route("two.example", "/a/", &[(0, 90), (1, 10)]),
            route("two.example", "/none/", &[]),
        ],
        services: vec![service("ledger"), service("engine")],
        accounts: vec![Account {
            name: "court".into(),
            keys: vec!["key-1".into(), "key-2".into()],
            priority: Some(0),
        }],
        limits: Some(Limits { max_body_bytes: 1_000 }),
    })
}

#[test]
fn a_path_matches_the_longest_prefix_of_its_host() {
    let table = table();
    let find = |host: &str, path: &str| {
        table.find(host, path).map(|key| table.route(key).path_prefix.to_string())
    };
    assert_eq!(find("one.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(find("one.example", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(find("ONE.example:8080", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(find("one.example", "/b/"), None);
    assert_eq!(find("three.example", "/a/"), None);
}

#[test]
fn traffic_split_follows_the_weights() {
    let table = table();
    let key = table.find("two.example", "/a/").expect("a route");
    let draw = |draw| table.draw_service(table.route(key), draw);
    assert_eq!(draw(0.0), Some(ServiceKey(0)));
    assert_eq!(draw(0.89), Some(ServiceKey(0)));
    assert_eq!(draw(0.91), Some(ServiceKey(1)));
    assert_eq!(draw(1.0), Some(ServiceKey(1)));
    let none = table.find("two.example", "/none/").expect("a route");
    assert_eq!(table.draw_service(table.route(none), 0.5), None);
}

#[test]
fn an_api_key_identifies_its_account() {
    let table = table();
    assert_eq!(table.account_for_key("key-2").map(|one| one.name.as_str()), Some("court"));
    assert!(table.account_for_key("key-3").is_none());
    assert!(table.has_accounts());
}

/// Guards against a short urgent response that stops in the middle. Urgent short questions and long reviews
/// of an account both have the account's priority. With equal ranks a full engine would preempt the newest
/// of them, the short question, and go on with the long review.
#[test]
fn requests_of_one_account_are_ranked_by_their_routes() {
    let with_priority =
        |prefix: &str, priority: u8| Route { priority, ..route("one.example", prefix, &[(0, 1)]) };
    let account = |name: &str, priority: Option<u8>| Account {
        name: name.into(),
        keys: vec![name.into()],
        priority,
    };
    let table = Table::from(TableData {
        routes: vec![with_priority("/review/", 2), with_priority("/question/", 0)],
        accounts: vec![account("court", Some(0)), account("club", Some(1))],
        ..TableData::default()
    });
    let position = |own: u8, of_route: u8| table.rank(own, of_route).position;
    let order = [position(0, 0), position(0, 2), position(1, 0), position(1, 2), position(2, 2)];
    assert!(order.is_sorted_by(|before, after| before < after), "{order:?}");
}

#[test]
fn positions_share_a_value_only_if_the_scale_is_too_small() {
    let scaled = |position, levels| Rank { position, levels }.scaled(9);
    assert_eq!([scaled(0, 5), scaled(4, 5)], [0, 4]);
    assert_eq!([scaled(0, 21), scaled(10, 21), scaled(20, 21)], [0, 4, 9]);
    assert_eq!(scaled(0, 1), 0);
}

/// Entries of an earlier build pull the configuration from this one, and the reverse. Guards against a table
/// that they cannot read because of the size of events.
/// Guards against endpoints that are never asked whether they are alive, because the entry pulled its table from a peer.
#[test]
fn paths_of_health_checks_follow_a_table_that_earlier_builds_read() {
    let mut data = table().data().clone();
    data.services[0].health_path = "/health".into();
    let response = postcard::to_stdvec(&(&data, data.health_paths())).expect("bytes");
    assert!(postcard::from_bytes::<TableData>(&response).is_ok(), "an earlier build reads it");
    let (mut pulled, paths): (TableData, HealthPaths) =
        postcard::from_bytes(&response).expect("a response");
    pulled.set_health_paths(paths);
    assert_eq!(pulled, data);
    let response = postcard::to_stdvec(&data).expect("bytes");
    let (mut pulled, paths): (TableData, HealthPaths) =
        postcard::from_bytes(&response).expect("a response of an earlier build");
    pulled.set_health_paths(paths);
    assert_eq!(pulled, *table().data());
}

#[test]
fn the_size_of_events_follows_a_table_that_earlier_builds_read() {
    let engine = |tokens_per_event| Engine { slots: 8, kv_cache_tokens: 100, tokens_per_event };
    let data = |tokens_per_event| {
        let mut data = table().data().clone();
        data.services[0].engine = Some(engine(tokens_per_event));
        data
    };
    let bytes = |data: &TableData| postcard::to_stdvec(data).expect("bytes");
    assert_eq!(bytes(&data(Some(6))), bytes(&data(None)), "the table itself is unchanged");
    let response = postcard::to_stdvec(&(data(Some(6)), data(Some(6)).tokens_per_event()));
    let response = response.expect("bytes");
    assert!(postcard::from_bytes::<TableData>(&response).is_ok(), "an earlier build reads it");
    let (mut pulled, tokens): (TableData, TokensPerEvent) =
        postcard::from_bytes(&response).expect("a response");
    pulled.set_tokens_per_event(&tokens);
    assert_eq!(pulled, data(Some(6)));
    let (mut pulled, tokens): (TableData, TokensPerEvent) =
        postcard::from_bytes(&bytes(&data(None))).expect("a response of an earlier build");
    pulled.set_tokens_per_event(&tokens);
    assert_eq!(pulled, data(None));
}
