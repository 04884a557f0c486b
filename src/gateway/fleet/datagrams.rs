//! Sends and receives datagrams between entries, as the exchange and the delivery of billing counts decide.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::{task, time};

use crate::gateway::control::{Control, Platform};
use crate::gateway::fleet::exchange::{LocalState, Outgoing};
use crate::gateway::fleet::message::{Message, State};
use crate::gateway::fleet::{pulls, stream_keepers};
use crate::gateway::metrics;
use crate::{clock, lease, metric, seal};

/// Interval between two ticks of the exchange.
const TICK_MS: u64 = 50;
/// Delay of a tick from which it is logged: the lists that requests are sent by are older by as much.
const LATE_TICK_MS: u64 = 250;
/// Delay before urgent load is sent, to send further load together with it.
const URGENT_BATCH_MS: u64 = 10;
/// Interval at which billing counts are sent in a fleet of up to [`COUNTS_ENTRIES`] entries.
const COUNTS_MS: u64 = 200;
/// In larger fleets the interval grows in proportion, so that the entries that bill are not overloaded.
const COUNTS_ENTRIES: usize = 100;
/// Number of collectors, the entries that store the counts of all: the holder of the duties and its successor.
const COLLECTORS: usize = 2;
/// How long a notice about a term that was received from its holder is forwarded.
const NOTICE_FORWARD_MS: u64 = 5_000;

/// Sends messages to the other entries until the process ends.
pub(in crate::gateway) async fn run_sender<P: Platform>(control: Rc<Control<P>>) {
    let mut next_ms: u64 = 0;
    let mut next_counts_ms: u64 = 0;
    loop {
        let wait_ms = next_ms.saturating_sub(control.now_ms());
        let urgent_update = control.shared.urgent_update.notified();
        let has_urgent_work = wait_ms > 0
            && time::timeout(Duration::from_millis(wait_ms), urgent_update).await.is_ok();
        if has_urgent_work {
            // Until the others know of a long prompt, they consider its engine free, and requests that they
            // send there wait behind it.
            time::sleep(Duration::from_millis(URGENT_BATCH_MS)).await;
        } else {
            record_tick(&control, next_ms);
            next_ms = control.now_ms() + TICK_MS;
        }
        let now_ms = control.now_ms();
        let local = local_state(&control, now_ms);
        let outgoing = {
            let mut load_table = control.shared.load_table();
            let mut prefix_index = control.shared.prefix_index();
            let mut exchange = control.exchange.borrow_mut();
            exchange.tick(now_ms, &local, has_urgent_work, &mut load_table, &mut prefix_index)
        };
        send_all(&control, outgoing);
        if now_ms >= next_counts_ms {
            next_counts_ms = now_ms + send_counts(&control, now_ms);
        }
        if !has_urgent_work {
            update_entries(&control, now_ms);
            control.expire_endpoints(now_ms);
            control.confirm_directory(now_ms);
            control.update_cold_endpoints();
            control.update_limit_shares();
            control.update_quarantine_trials();
        }
    }
}

/// Records how late the control thread is with a tick that was due at `due_ms`; zero for the first one.
fn record_tick<P>(control: &Control<P>, due_ms: u64) {
    let late_ms = if due_ms == 0 { 0 } else { control.now_ms().saturating_sub(due_ms) };
    metrics::control_late(late_ms);
    control.shared.control_progress.record(control.now_ms());
    if late_ms >= LATE_TICK_MS {
        slog::info!(control.log, "control thread late"; "late_ms" => late_ms,
            "list_age_ms" => control.shared.directory_age_ms());
    }
}

/// Maximum number of reported durations in a state message, at most 14 bytes each: under 2 kB/s from an aggregator to
/// each member.
const MAX_DURATIONS: usize = 36;

fn local_state<P>(control: &Control<P>, now_ms: u64) -> LocalState {
    let own = control.own_term_notice.get();
    let forwarded =
        control.relayed_term_notice.get().filter(|(_, at_ms)| now_ms < at_ms + NOTICE_FORWARD_MS);
    let newest = [own, forwarded].into_iter().flatten().max_by_key(|(notice, _)| notice.version);
    let (limits, limits_stamp) = {
        let limits = control.shared.limits();
        (limits.updates(now_ms), limits.newest_stamp())
    };
    let (suspicions, suspicions_stamp) = {
        let quarantine = control.shared.quarantine();
        (quarantine.recent(now_ms), quarantine.stamp())
    };
    // Each lock is released before the next is taken. In the literal below the guards would live until its end, and the
    // traffic thread takes these locks in the opposite order.
    let durations = control.shared.work_durations().recent(MAX_DURATIONS, now_ms);
    let departures = control.shared.departures().recent(now_ms);
    let silences = control.shared.silences().recent(now_ms);
    LocalState {
        age_ms: control.shared.time.age_ms(),
        unix_ms: control.shared.time.unix_ms(),
        config_version: control.config_version(),
        directory_revision: control.directory.borrow().revision(),
        has_store: control.is_store_available(),
        holds_duties: own.is_some_and(|(notice, _)| notice.left_ms > 0 && !notice.is_over),
        is_stopping: control.shared.stop.is_draining(),
        term_notice: newest.map(|(notice, at_ms)| notice.after(now_ms - at_ms)),
        admission_ages: control.shared.admission.ages(now_ms),
        evacuations: control.evacuations.borrow().snapshot(now_ms),
        limits,
        durations,
        limits_stamp,
        departures,
        silences,
        suspicions,
        suspicions_stamp,
    }
}

/// Sends this entry's counts to the collectors. Returns the time until the next sending in ms.
fn send_counts<P>(control: &Control<P>, now_ms: u64) -> u64 {
    let shared = &control.shared;
    shared.forget_old_counts();
    let own = control.own_counts();
    let (collectors, entries) = {
        let peers = &control.exchange.borrow().peers;
        let mut collectors: Vec<SocketAddr> = peers.duty_holder(now_ms).into_iter().collect();
        for addr in peers.duty_successors(COLLECTORS, now_ms) {
            if collectors.len() < COLLECTORS && !collectors.contains(&addr) {
                collectors.push(addr);
            }
        }
        (collectors, 1 + peers.live_count(now_ms))
    };
    let mut outbox = control.outbox.borrow_mut();
    for (addr, counts) in outbox.batches(&collectors, &own, shared.counted_until_ms()) {
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
    peers.remove_expired(now_ms);
    let budget_entries = peers.retry_budget_entries(now_ms);
    control.shared.recent_entries.store(budget_entries, Ordering::Relaxed);
    let mut fleet_size = control.fleet_size.get();
    let divisor = fleet_size.observe(budget_entries, peers.is_settled(now_ms));
    control.fleet_size.set(fleet_size);
    control.shared.retry_budget_divisor.store(divisor, Ordering::Relaxed);
    control.shared.serving_peers.store(peers.serving_count(now_ms), Ordering::Relaxed);
    let snapshot = control.shared.snapshot.load();
    let limited = control.shared.limits().counts();
    let leaving = {
        let departures = control.shared.departures();
        snapshot.directory.endpoints().iter().filter(|one| departures.contains(one)).count()
    };
    metrics::control_state(
        &snapshot,
        limited,
        leaving,
        control.shared.quarantine().counts(),
        peers.live_count(now_ms),
        control.holds_duties.get(),
    );
    metrics::work_durations(control.shared.work_durations().averages(now_ms));
}

pub(super) fn send_all<P>(control: &Control<P>, outgoing: Vec<Outgoing>) {
    for one in outgoing {
        let bytes = match seal::seal_datagram(&control.secret, &one.message) {
            Ok(bytes) => bytes,
            Err(error) => {
                slog::warn!(control.log, "message to peers not sent"; "reason" => error.to_string(),
                    "message" => one.message.kind());
                continue;
            }
        };
        metrics::messages_sent(one.message.kind(), one.to.len() as u64, bytes.len() as u64);
        for addr in one.to {
            // A failed send is treated like a lost datagram: a later message makes up for it.
            let _ = control.socket.try_send_to(&bytes, addr);
        }
    }
}

/// Receives messages from the other entries until the process ends.
pub(in crate::gateway) async fn run_receiver<P: Platform + 'static>(control: Rc<Control<P>>) {
    let mut buffer = vec![0; seal::MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((count, _)) = control.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match seal::open_datagram::<Message>(&control.secret, &buffer[..count]) {
            Ok(message) => handle(&control, message),
            Err(reject) => metric::count_reject(reject),
        }
    }
}

fn handle<P: Platform + 'static>(control: &Rc<Control<P>>, message: Message) {
    let now_ms = control.now_ms();
    let shared = &control.shared;
    match message {
        Message::State(state) => handle_state(control, &state, now_ms),
        Message::Work(work) => {
            control.exchange.borrow_mut().handle_work(&work, &mut shared.load_table(), now_ms);
        }
        Message::Details(details) => {
            shared.load_table().apply_details(&details.source, &details.rows, now_ms);
        }
        Message::Roster(roster) => {
            let new = control.exchange.borrow_mut().peers.merge_roster(&roster, now_ms);
            new.into_iter().for_each(|addr| log_new_peer(control, addr));
        }
        Message::Placements(placements) => {
            control.exchange.borrow_mut().forward(placements.hop, &placements.parts);
            let mut prefix_index = shared.prefix_index();
            placements
                .parts
                .into_iter()
                .for_each(|placement| prefix_index.record_remote(placement, now_ms));
        }
        Message::Durations(reports) => {
            let snapshot = shared.snapshot.load();
            let mut work_durations = shared.work_durations();
            for report in reports {
                if let Some(endpoint) = snapshot.directory.find(report.endpoint) {
                    work_durations.record_heard(endpoint, report, now_ms);
                }
            }
        }
        Message::Limits(limits) => control.apply_peer_limits(&limits, now_ms),
        Message::Departures(departures) => control.apply_peer_departures(&departures, now_ms),
        Message::Silences(silences) => control.apply_peer_silences(&silences, now_ms),
        Message::StreamVersions(records) => stream_keepers::learn(control, &records, now_ms),
        Message::StreamQuery { from, streams } => {
            stream_keepers::answer(control, from, &streams);
        }
        Message::PartSuspicions => {}
        Message::Suspicions(suspicions) => control.apply_suspicions(&suspicions, now_ms),
        Message::UnknownStreams(streams) => stream_keepers::learn_unknown(control, &streams),
        Message::Counts { from, counts } => {
            shared.tally().merge(counts.boot, &counts.counts);
            let ack = control.watermarks.borrow_mut().receive(&counts, shared.boot);
            let message = Message::CountsAck {
                from: shared.settings.peer_addr(),
                receiver_boot: shared.boot,
                ack,
            };
            send_all(control, vec![Outgoing { to: vec![from], message }]);
        }
        Message::CountsAck { from, receiver_boot, ack } => {
            control.outbox.borrow_mut().acknowledge(from, receiver_boot, ack);
        }
    }
}

fn log_new_peer<P>(control: &Control<P>, addr: SocketAddr) {
    slog::info!(control.log, "peer heard"; "peer" => addr.to_string());
}

fn handle_state<P: Platform + 'static>(control: &Rc<Control<P>>, state: &State, now_ms: u64) {
    let shared = &control.shared;
    shared.admission.merge_ages(state.admission_ages, now_ms);
    control.update_evacuations("peer", |evacuations| evacuations.adopt(&state.evacuations, now_ms));
    if let Some(notice) = state.term_notice.filter(|notice| notice.boot != shared.boot) {
        let newer = |(known, _): (lease::TermNotice, u64)| known.version <= notice.version;
        if control.relayed_term_notice.get().is_none_or(newer) {
            control.relayed_term_notice.set(Some((notice, now_ms)));
            control.received_term_notice.set(Some((notice, now_ms)));
        }
    }
    let local = local_state(control, now_ms);
    let (is_new, answers) = control.exchange.borrow_mut().handle_state(state, &local, now_ms);
    if is_new {
        log_new_peer(control, state.from);
    }
    send_all(control, answers);
    correct_time(control, state);
    let advertised = pulls::AdvertisedVersions {
        from: state.from,
        config_version: state.config_version,
        directory_revision: state.directory_revision,
    };
    let is_older = state.age_ms > shared.time.age_ms();
    if is_older && control.soft_state_pull.borrow_mut().try_begin() {
        task::spawn_local(pulls::pull_soft_state(Rc::clone(control), state.from));
    }
    // An entry that has just started lists everything at the store itself and would receive it twice.
    let is_listing = control.topics_to_list.get() > 0 && control.is_store_available();
    if !is_listing
        && advertised.is_newer(control)
        && control.exchange.borrow_mut().peers.begin_pull()
    {
        task::spawn_local(pulls::pull(Rc::clone(control), advertised));
    }
}

/// Corrects the time of day by that of older peers while this process is young: it may have started during
/// a jump of its instance's clock.
fn correct_time<P>(control: &Control<P>, state: &State) {
    const YOUNG_MS: u64 = 5_000;
    let time = control.shared.time;
    if time.age_ms() > YOUNG_MS || state.age_ms <= time.age_ms() {
        return;
    }
    let peers = &mut control.exchange.borrow_mut().peers;
    peers.clock_offsets_ms.insert(state.from, state.unix_ms as i64 - time.unix_ms() as i64);
    let mut offsets_ms: Vec<i64> = peers.clock_offsets_ms.values().copied().collect();
    if let Some(by_ms) = clock::correction_ms(&mut offsets_ms) {
        time.shift_ms(by_ms);
        peers.clock_offsets_ms.clear();
        slog::warn!(control.log, "time of day corrected"; "by_ms" => by_ms);
    }
}
