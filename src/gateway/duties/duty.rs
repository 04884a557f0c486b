//! The contest for the duties of the fleet: whichever entry holds their lease does the billing
//! and orders the endpoints.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::gateway::control::{Control, Platform};
use crate::gateway::duties::{billing, scaling};
use crate::gateway::fleet::peers;
use crate::{clock, lease, lease_io};

const LEASE_KEY: &str = "briarwinch-leases/duties";
/// Terms of the duties. A usage report is due ten seconds after its window, a holder's death in
/// between included: rivals see the last renewal within 1.3 s, wait 4.4 s, and report. Not shorter:
/// a holder has to outlast a call of 1.2 s that got no answer, and acts of two holders must lie
/// three seconds apart.
const TERMS: lease::Timing = lease::Timing {
    term_ms: 4_000,
    margin_ms: 400,
    renew_ms: 1_300,
    read_ms: 1_300,
    settle_ms: 300,
};
/// Longest pause between two steps.
const STEP_MS: u64 = 200;
/// How long no entry may hold the duties before this one contends; the others wait longer by rank,
/// so that mostly one writes.
const VACANT_MS: u64 = 300;
const VACANT_RANK_MS: u64 = 500;
/// Entries beside the holder that keep an eye on the lease.
const STAND_BY: usize = 2;
/// After a holder gave the lease back, its successor waits. Two holders that stop one after the
/// other would otherwise act in turns within one term as the platform counts it (three seconds): the
/// first one's next act lies two such waits after its last.
const SUCCESSION_MS: u64 = 1_600;

/// Whether a duty was acted on, and more may be due at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Tick {
    Again,
    Done,
}

/// Contends for the duties and does them while they are held.
pub(in crate::gateway) async fn contend<P: Platform>(control: Rc<Control<P>>) {
    let settings = &control.shared.settings;
    let name = format!("{}@{}", settings.id, settings.peer_addr());
    let mut contender =
        lease::Contender::with_exclusive_name(name.into(), control.shared.boot, TERMS);
    let mut billing = billing::Billing::default();
    let mut scaling = scaling::Scaling::default();
    let mut vacant_since_ms = None;
    // The start of another entry that has told of its term, and when it last acted.
    let mut other_acted: Option<(u64, u64)> = None;
    let mut quiet_until_ms = 0;
    loop {
        let now_ms = control.now_ms();
        if control.shared.is_draining() {
            contender.release();
        }
        if let Some((told, at_ms)) = control.told_lease.take() {
            contender.receive_notice(told, at_ms);
            other_acted = Some((told.boot, at_ms.saturating_sub(told.idle_ms)));
        }
        let held = contender.epoch(now_ms).is_some();
        note_holding(&control, &contender, held);
        if !contender.must_step() && !may_contend(&control, now_ms, &mut vacant_since_ms) {
            if stands_by(&control, now_ms) && contender.step_passive(now_ms) == lease::Step::Read {
                read(&control, &mut contender).await;
            }
            time::sleep(Duration::from_millis(STEP_MS)).await;
            continue;
        }
        let before = contender.holder().cloned();
        match contender.step(now_ms) {
            lease::Step::Read => read(&control, &mut contender).await,
            lease::Step::Write(write) => self::write(&control, &mut contender, write).await,
            lease::Step::WaitUntil(at_ms) => {
                let pause_ms = at_ms.saturating_sub(control.now_ms()).clamp(1, STEP_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        let now_ms = control.now_ms();
        if contender.epoch(now_ms).is_some() && !held {
            billing = billing::Billing::default();
            scaling = scaling::Scaling::default();
            quiet_until_ms =
                before.map_or(0, |record| quiet_until_ms_after(&record, other_acted, now_ms));
            note_holding(&control, &contender, true);
        }
        if now_ms >= quiet_until_ms {
            while billing.tick(&control, &contender).await == Tick::Again {
                contender.record_action(control.now_ms());
            }
            if scaling.tick(&control, &contender).await == Tick::Again {
                contender.record_action(control.now_ms());
            }
        }
    }
}

/// Until when a new holder does nothing, after the record that it replaced.
fn quiet_until_ms_after(
    replaced: &lease::Record,
    other_acted: Option<(u64, u64)>,
    now_ms: u64,
) -> u64 {
    if replaced.term_ms > 0 {
        return 0;
    }
    // One that has not told may have acted just now.
    let told = other_acted.filter(|(boot, _)| *boot == replaced.boot);
    told.map_or(now_ms, |(_, acted_ms)| acted_ms) + SUCCESSION_MS
}

/// Notes what the other entries are told of the lease, and whether it is held here.
fn note_holding<P>(control: &Control<P>, contender: &lease::Contender, held: bool) {
    let now_ms = control.now_ms();
    control.own_lease.set(contender.notice(now_ms).map(|told| (told, now_ms)));
    if control.holds_duties.replace(held) != held {
        slog::info!(control.log, "duties"; "held" => held);
    }
}

/// Whether this entry is one of the next in line for the duties.
fn stands_by<P>(control: &Control<P>, now_ms: u64) -> bool {
    control.shared.is_ready() && control.exchange.borrow().peers.rank(now_ms) <= STAND_BY
}

/// Whether this entry contends: nobody is heard to hold the duties, and it is this one's turn.
fn may_contend<P>(control: &Control<P>, now_ms: u64, vacant_since_ms: &mut Option<u64>) -> bool {
    let peers = &control.exchange.borrow().peers;
    if !control.shared.is_ready() || peers.holder(now_ms).is_some() {
        *vacant_since_ms = None;
        return false;
    }
    let since_ms = *vacant_since_ms.get_or_insert(now_ms);
    now_ms >= since_ms + VACANT_MS + peers.rank(now_ms) as u64 * VACANT_RANK_MS
}

async fn read<P: Platform>(control: &Control<P>, contender: &mut lease::Contender) {
    let read = lease_io::read(&control.platform, contender, LEASE_KEY, clock::boot_ms).await;
    let is_read = read.is_ok();
    if control.reads_lease.replace(is_read) != is_read {
        slog::info!(control.log, "lease"; "readable" => is_read,
            "failure" => read.err().map(|failure| failure.to_string()));
    }
}

async fn write<P: Platform>(
    control: &Control<P>,
    contender: &mut lease::Contender,
    write: lease::Write,
) {
    if let Err(failure) =
        lease_io::write(&control.platform, contender, LEASE_KEY, &write, clock::boot_ms).await
    {
        slog::info!(control.log, "lease not written"; "epoch" => write.record.epoch.0,
            "term_ms" => write.record.term_ms, "failure" => failure.to_string());
    }
}

/// A peer that is gone no longer holds the duties for this entry.
const _: () = assert!(peers::GONE_MS < TERMS.term_ms, "a vacancy is noticed within a term");
