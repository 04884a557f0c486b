//! The contest for the duties of the fleet: whichever entry holds their lease does the billing.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use super::control::{Control, Platform};
use super::{billing, peers};
use crate::lease;
use crate::store::{Condition, Failure};

const LEASE_KEY: &str = "briarwinch-leases/duties";
/// Longest pause between two steps.
const STEP_MS: u64 = 200;
/// How long no entry may hold the duties before this one contends; the others wait longer by rank,
/// so that mostly one writes.
const VACANT_MS: u64 = 300;
const VACANT_RANK_MS: u64 = 500;
/// Entries beside the holder that keep an eye on the lease.
const STAND_BY: usize = 2;
/// After a holder gave the lease back, its successor waits. Two holders that stop one after the
/// other would otherwise act in turns within one term as the platform counts it (three seconds).
const SUCCESSION_MS: u64 = 3_200;

/// Contends for the duties and does them while they are held.
pub(super) async fn contend<P: Platform>(control: Rc<Control<P>>) {
    let id = control.shared.settings.id.clone();
    let mut contender = lease::Contender::new(id, control.shared.boot);
    let mut billing = billing::Billing::default();
    let mut vacant_since_ms = None;
    let mut quiet_until_ms = 0;
    loop {
        let now_ms = control.now_ms();
        if control.shared.is_draining() {
            contender.release();
        }
        let held = contender.epoch(now_ms).is_some();
        note_holding(&control, held);
        if !contender.is_engaged() && !may_contend(&control, now_ms, &mut vacant_since_ms) {
            if stands_by(&control, now_ms) && contender.step_aside(now_ms) == lease::Step::Read {
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
            let was_returned = before.is_some_and(|record| record.term_ms == 0);
            quiet_until_ms = if was_returned { now_ms + SUCCESSION_MS } else { 0 };
            note_holding(&control, true);
        }
        if now_ms >= quiet_until_ms {
            billing.tick(&control, &contender).await;
        }
    }
}

fn note_holding<P>(control: &Control<P>, held: bool) {
    if control.holds_duties.replace(held) != held {
        slog::info!(control.log, "duties"; "held" => held);
    }
}

/// Whether this entry is one of the next in line for the duties.
fn stands_by<P>(control: &Control<P>, now_ms: u64) -> bool {
    control.shared.is_ready() && control.peers.borrow().rank(now_ms) <= STAND_BY
}

/// Whether this entry contends: nobody is heard to hold the duties, and it is this one's turn.
fn may_contend<P>(control: &Control<P>, now_ms: u64, vacant_since_ms: &mut Option<u64>) -> bool {
    let peers = control.peers.borrow();
    if !control.shared.is_ready() || peers.holds_duties(now_ms) {
        *vacant_since_ms = None;
        return false;
    }
    let since_ms = *vacant_since_ms.get_or_insert(now_ms);
    now_ms >= since_ms + VACANT_MS + peers.rank(now_ms) as u64 * VACANT_RANK_MS
}

async fn read<P: Platform>(control: &Control<P>, contender: &mut lease::Contender) {
    let sent_ms = control.now_ms();
    let seen = match control.platform.get(LEASE_KEY).await {
        Ok(None) => lease::Seen { version: 0, record: None },
        Ok(Some(object)) => {
            let record = serde_json::from_str(&object.value).ok();
            lease::Seen { version: object.version, record }
        }
        Err(failure) => {
            slog::info!(control.log, "lease not read"; "failure" => failure.to_string());
            return;
        }
    };
    contender.read(seen, sent_ms, control.now_ms());
}

async fn write<P: Platform>(
    control: &Control<P>,
    contender: &mut lease::Contender,
    write: lease::Write,
) {
    let condition = match write.if_version {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let epoch = write.record.epoch.0;
    let term_ms = write.record.term_ms;
    let value = serde_json::to_string(&write.record).unwrap_or_default();
    let written = control.platform.put(LEASE_KEY, value, condition).await;
    let now_ms = control.now_ms();
    match written {
        Ok(version) => contender.written(version, now_ms),
        Err(failure) => {
            slog::info!(control.log, "lease not written"; "epoch" => epoch, "term_ms" => term_ms,
                "failure" => failure.to_string());
            match failure {
                Failure::Conflict => contender.refused(now_ms),
                Failure::NoAnswer | Failure::Down => contender.no_answer(now_ms),
            }
        }
    }
}

/// A peer that is gone no longer holds the duties for this entry.
const _: () = assert!(peers::GONE_MS < lease::TERM_MS, "a vacancy is noticed within a term");
