//! Leader election for the fleet's duties: the entry that holds their lease does the billing and orders the
//! endpoints.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::gateway::control::{Control, Holder, Platform};
use crate::gateway::duties::{billing, scaling};
use crate::gateway::fleet::peers;
use crate::{clock, lease, lease_io};

const LEASE_KEY: &str = "briarwinch-leases/duties";
/// Timing of the lease. A usage report is due ten seconds after its window, also if the holder dies in
/// between: contenders read the last renewal within 1.3 s, wait 4.4 s, and report. The term is not shorter,
/// since a holder must survive an unanswered call of 1.2 s, and the acts of two holders must be three
/// seconds apart.
const TIMING: lease::Timing = lease::Timing {
    term_ms: 4_000,
    margin_ms: 400,
    renew_ms: 1_300,
    read_ms: 1_300,
    settle_ms: 300,
};
/// Maximum duration of a call under the lease; a call starts only while at least this much of the term
/// remains.
const CALL_MS: u64 = 1_300;
/// Maximum pause between two steps of the election.
const MAX_PAUSE_MS: u64 = 200;
/// Time that an entry waits without a known holder before it contends.
const VACANT_MS: u64 = 300;
/// Additional wait for each rank, so that usually only one entry writes.
const VACANT_RANK_MS: u64 = 500;
/// Number of entries next in line that read the lease while another one holds it.
const STANDBY_ENTRIES: usize = 2;
/// Time that a successor waits after the former holder's last act when that one gave the lease back. Two
/// holders that stop one after the other would otherwise act alternately within one term as the platform
/// counts it (three seconds). With this wait, the first one's next act is two waits after its last.
const SUCCESSION_MS: u64 = 1_600;

/// Outcome of one step of a duty: `Again` if it acted and more may be due at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Tick {
    Again,
    Done,
}

/// Contends for the duties and performs them while this entry holds the lease.
pub(in crate::gateway) async fn contend<P: Platform>(control: Rc<Control<P>>) {
    let settings = &control.shared.settings;
    let name = format!("{}@{}", settings.id, settings.peer_addr());
    let mut contender =
        lease::Contender::with_exclusive_name(name.into(), control.shared.boot, TIMING);
    let mut billing = billing::Billing::default();
    let mut scaling = scaling::Scaling::default();
    let mut vacant_since_ms = None;
    // Boot id of another entry that has sent a notice about its term, and the time of its last act.
    let mut other_last_acted: Option<(u64, u64)> = None;
    let mut act_from_ms = 0;
    loop {
        let now_ms = control.now_ms();
        if control.shared.stop.is_draining() {
            contender.release();
        }
        if let Some((notice, at_ms)) = control.received_term_notice.take() {
            contender.receive_notice(notice, at_ms);
            other_last_acted = Some((notice.boot, at_ms.saturating_sub(notice.idle_ms)));
        }
        contender.enter_era(control.platform.era(), now_ms);
        billing.observe_era(control.platform.era(), now_ms);
        let held = contender.epoch(now_ms).is_some();
        update_own_term_notice(&control, &contender, held);
        if !contender.must_step() && !may_contend(&control, now_ms, &mut vacant_since_ms) {
            if is_standby(&control, now_ms) && contender.step_passive(now_ms) == lease::Step::Read {
                read_lease(&control, &mut contender).await;
            }
            time::sleep(Duration::from_millis(MAX_PAUSE_MS)).await;
            continue;
        }
        let before = contender.holder().cloned();
        match contender.step(now_ms) {
            lease::Step::Read => read_lease(&control, &mut contender).await,
            lease::Step::Write(write) => write_lease(&control, &mut contender, write).await,
            lease::Step::WaitUntil(at_ms) => {
                let pause_ms = at_ms.saturating_sub(control.now_ms()).clamp(1, MAX_PAUSE_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        contender.enter_era(control.platform.era(), control.now_ms());
        let now_ms = control.now_ms();
        if contender.epoch(now_ms).is_some() && !held {
            billing.begin_term(contender.is_continued());
            scaling.begin_term(contender.is_continued());
            slog::info!(control.log, "term begun"; "fence" => contender.epoch(now_ms).map(|one| one.0),
                "continued" => contender.is_continued());
            act_from_ms =
                before.map_or(0, |record| succession_end_ms(&record, other_last_acted, now_ms));
            update_own_term_notice(&control, &contender, true);
        }
        if now_ms >= act_from_ms {
            while billing.tick(&control, &contender).await == Tick::Again {
                contender.record_action(control.now_ms());
            }
            if scaling.tick(&control, &contender).await == Tick::Again {
                contender.record_action(control.now_ms());
            }
        }
    }
}

/// Returns the fencing token if the term lasts for a call and the store is still in the era of the term.
pub(super) fn acting_epoch<P: Platform>(
    control: &Control<P>,
    contender: &lease::Contender,
    now_ms: u64,
) -> Option<lease::Epoch> {
    let epoch = contender.epoch_with_remaining(now_ms, CALL_MS)?;
    (epoch.era() >= control.platform.era()).then_some(epoch)
}

/// Returns the holder for a call that is made now, as [`acting_epoch`]. Must be asked for after the last wait before the
/// call: this process may have been frozen meanwhile.
pub(super) fn acting_holder<P: Platform>(
    control: &Control<P>,
    contender: &lease::Contender,
) -> Option<Holder> {
    let now_ms = control.now_ms();
    let fence = acting_epoch(control, contender, now_ms)?;
    let id = control.shared.settings.id.clone();
    Some(Holder { id, fence, send_until_ms: now_ms + CALL_MS })
}

/// Returns the time until which a new holder does not act, given the lease record that it replaced.
fn succession_end_ms(
    replaced: &lease::Record,
    other_last_acted: Option<(u64, u64)>,
    now_ms: u64,
) -> u64 {
    if replaced.term_ms > 0 {
        return 0;
    }
    // A former holder that has sent no notice may have acted just now.
    let last_acted = other_last_acted.filter(|(boot, _)| *boot == replaced.boot);
    last_acted.map_or(now_ms, |(_, acted_ms)| acted_ms) + SUCCESSION_MS
}

/// Updates the notice about a term held here, and whether this entry holds the lease.
fn update_own_term_notice<P>(control: &Control<P>, contender: &lease::Contender, held: bool) {
    let now_ms = control.now_ms();
    control.own_term_notice.set(contender.notice(now_ms).map(|notice| (notice, now_ms)));
    if control.holds_duties.replace(held) != held {
        slog::info!(control.log, "duties"; "held" => held);
    }
}

/// Whether this entry is next in line for the duties, so that it keeps reading the lease.
fn is_standby<P>(control: &Control<P>, now_ms: u64) -> bool {
    control.shared.is_ready()
        && control.exchange.borrow().peers.duty_rank(now_ms) <= STANDBY_ENTRIES
}

/// Whether this entry contends now: no holder is known, and its wait by rank is over.
fn may_contend<P>(control: &Control<P>, now_ms: u64, vacant_since_ms: &mut Option<u64>) -> bool {
    let peers = &control.exchange.borrow().peers;
    if !control.shared.is_ready() || peers.duty_holder(now_ms).is_some() {
        *vacant_since_ms = None;
        return false;
    }
    let since_ms = *vacant_since_ms.get_or_insert(now_ms);
    now_ms >= since_ms + VACANT_MS + peers.duty_rank(now_ms) as u64 * VACANT_RANK_MS
}

async fn read_lease<P: Platform>(control: &Control<P>, contender: &mut lease::Contender) {
    let read = lease_io::read(&control.platform, contender, LEASE_KEY, clock::boot_ms).await;
    let is_read = read.is_ok();
    if control.is_lease_readable.replace(is_read) != is_read {
        slog::info!(control.log, "duties lease readability changed"; "readable" => is_read,
            "failure" => read.err().map(|failure| failure.to_string()));
    }
}

async fn write_lease<P: Platform>(
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

/// A peer that is considered gone is no longer considered the holder.
const _: () =
    assert!(peers::PEER_TIMEOUT_MS < TIMING.term_ms, "a vacancy is noticed within a term");
