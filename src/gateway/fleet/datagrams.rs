//! Datagrams between entries: carries out what the exchange and the delivery of counts decide.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::{task, time};

use crate::gateway::control::{Control, Platform};
use crate::gateway::fleet::exchange::{Facts, Outgoing};
use crate::gateway::fleet::message::{Message, State};
use crate::gateway::fleet::pulls;
use crate::gateway::metrics;
use crate::{clock, lease, metric, seal};

/// Pause between two looks at what is to be told.
const TICK_MS: u64 = 50;
/// What comes in this time after a long prompt is told with it.
const NEWS_GATHER_MS: u64 = 10;
/// How often counts are sent; with more entries than this less often in proportion, so that who bills is
/// not buried in them.
const COUNTS_MS: u64 = 200;
const COUNTS_ENTRIES: usize = 100;
/// Entries that keep the counts of all: the holder of the duties and who follows it.
const KEEPERS: usize = 2;
/// What a holder has told of its lease is passed on for so long.
const LEASE_TOLD_MS: u64 = 5_000;

/// Tells for as long as the process lives.
pub(in crate::gateway) async fn tell<P: Platform>(control: Rc<Control<P>>) {
    let mut next_ms: u64 = 0;
    let mut next_counts_ms: u64 = 0;
    loop {
        let wait_ms = next_ms.saturating_sub(control.now_ms());
        let news = control.shared.urgent_update.notified();
        let is_news =
            wait_ms > 0 && time::timeout(Duration::from_millis(wait_ms), news).await.is_ok();
        if is_news {
            // Until they know of a long prompt, the others take its engine for free, and what they send
            // there waits behind it.
            time::sleep(Duration::from_millis(NEWS_GATHER_MS)).await;
        } else {
            next_ms = control.now_ms() + TICK_MS;
        }
        let now_ms = control.now_ms();
        let facts = facts(&control, now_ms);
        let outgoing = {
            let mut book = control.shared.load_table();
            let mut homes = control.shared.prefix_locations();
            let mut exchange = control.exchange.borrow_mut();
            exchange.tick(now_ms, &facts, is_news, &mut book, &mut homes)
        };
        send_all(&control, outgoing);
        if now_ms >= next_counts_ms {
            next_counts_ms = now_ms + send_counts(&control, now_ms);
        }
        if !is_news {
            update_entries(&control, now_ms);
            control.change_directory("grace time over", |directory| directory.expire(now_ms));
            control.update_warming();
            control.share_limits();
        }
    }
}

fn facts<P>(control: &Control<P>, now_ms: u64) -> Facts {
    let own = control.own_lease.get();
    let told = control.passed_lease.get().filter(|(_, at_ms)| now_ms < at_ms + LEASE_TOLD_MS);
    let newest = [own, told].into_iter().flatten().max_by_key(|(told, _)| told.version);
    let (limits, limits_stamp) = {
        let limits = control.shared.limits();
        (limits.told(now_ms), limits.newest_stamp())
    };
    Facts {
        age_ms: control.shared.time.age_ms(),
        unix_ms: control.shared.time.unix_ms(),
        config_version: control.config_version(),
        directory_revision: control.directory.borrow().revision(),
        has_store: control.has_store(),
        holds_duties: own.is_some_and(|(told, _)| told.left_ms > 0 && !told.is_over),
        is_stopping: control.shared.is_draining(),
        lease: newest.map(|(told, at_ms)| told.after(now_ms - at_ms)),
        gate: control.shared.gate.ages(now_ms),
        evacuations: control.evacuations.borrow().snapshot(now_ms),
        limits,
        limits_stamp,
        departures: control.shared.departures().recent(now_ms),
    }
}

/// Sends this entry's counts to those who keep them. Gives the pause until the next time.
fn send_counts<P>(control: &Control<P>, now_ms: u64) -> u64 {
    let shared = &control.shared;
    shared.forget_old_counts();
    let own = control.counts();
    let (keepers, entries) = {
        let peers = &control.exchange.borrow().peers;
        let mut keepers: Vec<SocketAddr> = peers.holder(now_ms).into_iter().collect();
        for addr in peers.next_in_line(KEEPERS, now_ms) {
            if keepers.len() < KEEPERS && !keepers.contains(&addr) {
                keepers.push(addr);
            }
        }
        (keepers, 1 + peers.live(now_ms))
    };
    let mut outbox = control.outbox.borrow_mut();
    for (addr, counts) in outbox.parcels(&keepers, &own, shared.counted_until_ms()) {
        let from = shared.settings.peer_addr();
        send_all(
            control,
            vec![Outgoing { to: vec![addr], message: Message::Counts { from, counts } }],
        );
    }
    shared.counts_delivered.store(outbox.is_delivered(&own), Ordering::Release);
    COUNTS_MS * (entries.div_ceil(COUNTS_ENTRIES) as u64)
}

fn update_entries<P>(control: &Control<P>, now_ms: u64) {
    let mut exchange = control.exchange.borrow_mut();
    let peers = &mut exchange.peers;
    peers.forget(now_ms);
    let sharing = peers.sharing(now_ms);
    control.shared.live_entries.store(sharing, Ordering::Relaxed);
    let mut sharers = control.sharers.get();
    let sharing = sharers.seen(sharing, peers.is_settled(now_ms));
    control.sharers.set(sharers);
    control.shared.retry_budget_divisor.store(sharing, Ordering::Relaxed);
    control.shared.serving_peers.store(peers.serving(now_ms), Ordering::Relaxed);
    let snapshot = control.shared.snapshot.load();
    let limited = control.shared.limits().count();
    let leaving = {
        let departures = control.shared.departures();
        snapshot.directory.endpoints().iter().filter(|one| departures.contains(one)).count()
    };
    metrics::control_state(
        &snapshot,
        limited,
        leaving,
        peers.live(now_ms),
        control.holds_duties.get(),
    );
}

fn send_all<P>(control: &Control<P>, outgoing: Vec<Outgoing>) {
    for one in outgoing {
        let bytes = match seal::datagram(&control.secret, &one.message) {
            Ok(bytes) => bytes,
            Err(error) => {
                slog::warn!(control.log, "peers not told"; "reason" => error.to_string(),
                    "message" => one.message.kind());
                continue;
            }
        };
        metrics::messages_sent(one.message.kind(), one.to.len() as u64, bytes.len() as u64);
        for addr in one.to {
            // A datagram that does not leave is like one that was lost: the next one repairs it.
            let _ = control.socket.try_send_to(&bytes, addr);
        }
    }
}

/// Receives for as long as the process lives.
pub(in crate::gateway) async fn receive<P: Platform + 'static>(control: Rc<Control<P>>) {
    let mut buffer = vec![0; seal::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((count, _)) = control.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match seal::open_datagram::<Message>(&control.secret, &buffer[..count]) {
            Ok(message) => take(&control, message),
            Err(reject) => metric::count_reject(reject),
        }
    }
}

fn take<P: Platform + 'static>(control: &Rc<Control<P>>, message: Message) {
    let now_ms = control.now_ms();
    let shared = &control.shared;
    match message {
        Message::State(state) => take_state(control, &state, now_ms),
        Message::Work(work) => {
            control.exchange.borrow_mut().take_work(&work, &mut shared.load_table(), now_ms);
        }
        Message::Roster(roster) => {
            let new = control.exchange.borrow_mut().peers.take(&roster, now_ms);
            new.into_iter().for_each(|addr| note_peer(control, addr));
        }
        Message::Placed(placed) => {
            control.exchange.borrow_mut().pass_on(placed.leg, &placed.parts);
            let mut homes = shared.prefix_locations();
            placed.parts.into_iter().for_each(|placed| homes.note(placed, now_ms));
        }
        Message::Limits(limits) => control.take_limits(&limits, now_ms),
        Message::Departures(departures) => control.take_departures(&departures, now_ms),
        Message::Counts { from, counts } => {
            shared.tally().take(counts.boot, &counts.counts);
            let receipt = control.settled.borrow_mut().take(&counts, shared.boot);
            let message = Message::CountsTaken {
                from: shared.settings.peer_addr(),
                keeper: shared.boot,
                receipt,
            };
            send_all(control, vec![Outgoing { to: vec![from], message }]);
        }
        Message::CountsTaken { from, keeper, receipt } => {
            control.outbox.borrow_mut().take(from, keeper, receipt);
        }
    }
}

fn note_peer<P>(control: &Control<P>, addr: SocketAddr) {
    slog::info!(control.log, "peer heard"; "peer" => addr.to_string());
}

fn take_state<P: Platform + 'static>(control: &Rc<Control<P>>, state: &State, now_ms: u64) {
    let shared = &control.shared;
    shared.gate.take(state.gate, now_ms);
    control.change_evacuations("peer", |evacuations| evacuations.adopt(&state.evacuations, now_ms));
    if let Some(told) = state.lease.filter(|told| told.boot != shared.boot) {
        let newer = |(known, _): (lease::Told, u64)| known.version <= told.version;
        if control.passed_lease.get().is_none_or(newer) {
            control.passed_lease.set(Some((told, now_ms)));
            control.told_lease.set(Some((told, now_ms)));
        }
    }
    let facts = facts(control, now_ms);
    let (is_new, answers) = control.exchange.borrow_mut().take_state(state, &facts, now_ms);
    if is_new {
        note_peer(control, state.from);
    }
    send_all(control, answers);
    correct_time(control, state);
    let offered = pulls::Offered {
        from: state.from,
        config_version: state.config_version,
        directory_revision: state.directory_revision,
    };
    let is_older = state.age_ms > shared.time.age_ms();
    if is_older && control.remembered.borrow_mut().ask() {
        task::spawn_local(pulls::pull_memory(Rc::clone(control), state.from));
    }
    // One that has just started lists all at the store itself, and would only get the same twice.
    let is_listing = control.topics_to_list.get() > 0 && control.has_store();
    if !is_listing && offered.is_newer(control) && control.exchange.borrow_mut().peers.begin_pull()
    {
        task::spawn_local(pulls::pull(Rc::clone(control), offered));
    }
}

/// Sets the time of day by older peers while this process is young: it may have started in the
/// middle of a jump of its instance's clock.
fn correct_time<P>(control: &Control<P>, state: &State) {
    const YOUNG_MS: u64 = 5_000;
    let time = control.shared.time;
    if time.age_ms() > YOUNG_MS || state.age_ms <= time.age_ms() {
        return;
    }
    let peers = &mut control.exchange.borrow_mut().peers;
    peers.beyond_ms.insert(state.from, state.unix_ms as i64 - time.unix_ms() as i64);
    let mut beyond_ms: Vec<i64> = peers.beyond_ms.values().copied().collect();
    if let Some(by_ms) = clock::correction_ms(&mut beyond_ms) {
        time.shift_ms(by_ms);
        peers.beyond_ms.clear();
        slog::warn!(control.log, "time of day corrected"; "by_ms" => by_ms);
    }
}
