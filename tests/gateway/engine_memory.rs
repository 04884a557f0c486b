//! Memory of engines: who counts, which engines are left out, and who is refused.

use briarwinch::gateway::policy::choose::{self, Inputs};
use briarwinch::gateway::policy::engine_memory::{self, Room};
use briarwinch::gateway::policy::load;
use briarwinch::gateway::request::Prompt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::choice::{ENGINE, Entry, NOW_MS, draft, endpoints, question, summary};

fn held(memory_tokens: u64) -> load::Work {
    load::Work { requests: 10, memory_tokens, ..load::Work::default() }
}

/// Guards against a shared document that counts for each of its requests, or that is freed while one still
/// uses it.
#[test]
fn a_shared_part_counts_once_until_its_last_request_ends() {
    let endpoint = endpoints(1)[0].key;
    let mut table = load::LoadTable::default();
    let prompt = summary(7, 1);
    let private_tokens = engine_memory::private_tokens(&prompt);
    assert_eq!(private_tokens, 3_820, "the session's part, its rest and the output limit");
    let work = load::Work { memory_tokens: private_tokens, ..held(0) };
    let in_use = |table: &load::LoadTable| table.work_at(endpoint, NOW_MS).memory_tokens;
    for _ in 0..2 {
        table.add(endpoint, work, NOW_MS);
        table.add_used_parts(endpoint, prompt.shared_parts());
    }
    assert_eq!(in_use(&table), 13_300 + 2 * 3_820);
    for left in [13_300 + 3_820, 0] {
        table.remove_used_parts(endpoint, prompt.shared_parts());
        table.remove(endpoint, work);
        assert_eq!(in_use(&table), left);
    }
    assert_eq!(table.rows(), []);
    assert_eq!(table.used_parts().used_tokens(endpoint, prompt.shared_parts()), 0);
}

/// Guards against an engine that crashes because its requests exceed its memory while another has room.
#[test]
fn engines_without_room_are_left_out_while_another_has_room() {
    let endpoints = endpoints(6);
    let mut entry = Entry::default();
    // The document is cached where there is no room for it.
    entry.prefix_index.record_sent(endpoints[0].key, &summary(7, 1).parts, NOW_MS);
    for endpoint in &endpoints[..5] {
        entry.load_table.add(endpoint.key, held(605_000), NOW_MS - 5_000);
    }
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let inputs = Inputs { overload_control: true, ..entry.inputs() };
        let choose = |prompt: &Prompt, random: &mut StdRng| {
            let choice =
                choose::choose(endpoints.iter(), Some(&ENGINE), Some(prompt), &inputs, random);
            choice.map(|choice| (choice.endpoint.key, choice.room)).expect("an endpoint")
        };
        let chosen = choose(&summary(7, 2), &mut random);
        assert_eq!(chosen, (endpoints[5].key, Room::Enough { left_out: 5 }), "seed {seed}");
        let (_, room) = choose(&question(1), &mut random);
        assert_eq!(room, Room::Enough { left_out: 0 }, "a short prompt fits, seed {seed}");
    }
}

/// Guards against refusing the most urgent requests, and against sending others, while no engine has room.
#[test]
fn without_room_only_the_most_urgent_are_sent_to_the_engine_with_the_most() {
    let endpoints = endpoints(4);
    let mut entry = Entry::default();
    for (endpoint, memory_tokens) in endpoints.iter().zip([619_900, 619_000, 619_500, 700_000]) {
        entry.load_table.add(endpoint.key, held(memory_tokens), NOW_MS - 5_000);
    }
    let inputs = Inputs { overload_control: true, ..entry.inputs() };
    let mut random = StdRng::seed_from_u64(3);
    let prompt = draft(1);
    let choice =
        choose::choose(endpoints.iter(), Some(&ENGINE), Some(&prompt), &inputs, &mut random)
            .expect("an endpoint");
    assert_eq!((choice.endpoint.key, choice.room), (endpoints[1].key, Room::Nowhere));
    assert_eq!([0, 1, 2].map(|priority| choice.room.admits(priority)), [true, false, false]);
    let off = choose::choose(
        endpoints.iter(),
        Some(&ENGINE),
        Some(&prompt),
        &entry.inputs(),
        &mut random,
    );
    assert_eq!(off.map(|choice| choice.room), Some(Room::Unchecked));
}

/// Guards against entries that fill an engine together because none knows yet what the others have sent.
#[test]
fn requests_that_others_have_not_reported_take_memory_of_the_mean_size() {
    let endpoints = endpoints(1);
    let mut entry = Entry::default();
    let key = endpoints[0].key;
    for peer in 0..20 {
        let rows = load::Rows { part: 0, parts: 1, rows: Vec::new() };
        let origin = load::Origin { entries: 1, age_ms: 0 };
        entry.load_table.apply(load::Source::Entry(peer), origin, &rows, NOW_MS - 200);
    }
    let one = load::Work { requests: 1, memory_tokens: 50_000, ..load::Work::default() };
    let mut room = |now_ms| {
        entry.load_table.add(key, one, now_ms);
        let inputs = Inputs { overload_control: true, now_ms, ..entry.inputs() };
        let mut random = StdRng::seed_from_u64(4);
        let prompt = question(1);
        let choice =
            choose::choose(endpoints.iter(), Some(&ENGINE), Some(&prompt), &inputs, &mut random);
        choice.map(|choice| choice.room).expect("an endpoint")
    };
    assert_eq!(room(NOW_MS), Room::Enough { left_out: 0 }, "one here, 4 expected from 20 others");
    assert_eq!(room(NOW_MS), Room::Enough { left_out: 0 }, "two here, 8 expected");
    assert_eq!(room(NOW_MS), Room::Nowhere, "three here, 12 expected: 750,000 of 620,000 tokens");
}
