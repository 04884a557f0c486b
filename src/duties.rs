//! Duties: work that one daemon does for all, under a lease that any entry may hold.
//!
//! The first two entries by rendezvous hash contend for each duty and the others look ever more
//! seldom, so the store's calls grow with the duties and hardly with the fleet. Losing an entry loses nothing: what a duty needs to know
//! stands in the store.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::{task, time};
use xxhash_rust::xxh3;

use crate::{billing, control, lease, lease_io, membership, scaler};

/// Entries that contend for a duty.
const CONTENDERS: usize = 2;
/// Pause of an entry that does not contend.
const IDLE_MS: u64 = 2_000;
/// Longest pause between two steps of a contender, so that a stop is noticed.
const STEP_MS: u64 = 250;

/// A duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Duty {
    /// Seals and reports the billing windows of a region.
    Billing { region: CompactString },
    /// Orders the endpoints of an availability zone.
    Endpoints { region: CompactString, zone: CompactString },
}

impl Duty {
    /// Object key of the duty's lease.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Billing { region } => format!("leases/billing/{region}"),
            Self::Endpoints { region, zone } => format!("leases/endpoints/{region}/{zone}"),
        }
    }
}

/// A duty as this daemon sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub duty: String,
    pub holder: CompactString,
    pub epoch: u64,
    pub held_here: bool,
    /// What the duty is at; for billing the windows sealed and reported.
    pub note: String,
}

/// Starts this daemon's part in the duties, and the writing of its usage sheet.
pub fn spawn(control: &Rc<control::Control>, role: membership::Role) {
    task::spawn_local(billing::write_sheet(Rc::clone(control)));
    match role {
        membership::Role::Entry => {
            let region = control.settings.region.clone();
            task::spawn_local(contend(Rc::clone(control), Duty::Billing { region }));
            task::spawn_local(contend_for_zones(Rc::clone(control)));
        }
        membership::Role::Side => {}
    }
}

/// Contends for the endpoints of each zone of this region, also of zones that come up later.
async fn contend_for_zones(control: Rc<control::Control>) {
    let region = control.settings.region.clone();
    let mut known: HashSet<CompactString> = HashSet::new();
    loop {
        let zones: HashSet<CompactString> = control.with_shared(|shared| {
            let members = shared.fleet.iter().filter(|member| member.region == region);
            members.map(|member| member.zone.clone()).collect()
        });
        for zone in zones {
            if known.insert(zone.clone()) {
                let duty = Duty::Endpoints { region: region.clone(), zone };
                task::spawn_local(contend(Rc::clone(&control), duty));
            }
        }
        time::sleep(Duration::from_millis(IDLE_MS)).await;
    }
}

/// What the holder of a duty remembers.
enum Work {
    Billing(billing::Work),
    Endpoints(Box<scaler::Work>),
}

impl Work {
    fn of(duty: &Duty) -> Self {
        match duty {
            Duty::Billing { .. } => Self::Billing(billing::Work::default()),
            Duty::Endpoints { .. } => Self::Endpoints(Box::default()),
        }
    }

    async fn tick(&mut self, control: &control::Control, lease: &lease::Contender, duty: &Duty) {
        match (self, duty) {
            (Self::Billing(work), Duty::Billing { region }) => {
                work.tick(control, lease, region).await;
            }
            (Self::Endpoints(work), Duty::Endpoints { zone, .. }) => {
                work.tick(control, lease, zone).await;
            }
            _ => {}
        }
    }

    fn note(&self) -> &str {
        match self {
            Self::Billing(work) => work.note(),
            Self::Endpoints(work) => work.note(),
        }
    }
}

/// How many entries go before this one in contending for a duty.
fn rank(control: &control::Control, duty: &Duty) -> usize {
    let key = duty.key();
    let me = control.me();
    let weight = |id: &str| xxh3::xxh3_64_with_seed(id.as_bytes(), xxh3::xxh3_64(key.as_bytes()));
    let mine = weight(&me.id);
    control.with_shared(|shared| {
        let ready = shared.fleet.iter().filter(|member| member.state == membership::State::Ready);
        ready
            .filter(|member| member.role == membership::Role::Entry && member.region == me.region)
            .filter(|member| member.id != me.id && weight(&member.id) > mine)
            .count()
    })
}

/// Pause of an entry between two steps of its contest.
///
/// The first two contend at full pace. The others look at the lease ever more seldom by rank: the
/// first ones may have died, and a dead entry's record looks like a live one's; were the rest to
/// wait for them, nobody would do the duty any more.
fn rank_pause_ms(rank: usize) -> u64 {
    if rank < CONTENDERS { 0 } else { rank as u64 * IDLE_MS }
}

/// Contends for a duty and does it while it is held.
async fn contend(control: Rc<control::Control>, duty: Duty) {
    let key = duty.key();
    let mut contender =
        lease::Contender::new(control.settings.id.clone(), control.boot, lease::TIMING);
    let mut work = Work::of(&duty);
    let clock = || control.hub.now_ms();
    loop {
        if control.hub.draining.load(Ordering::Acquire) {
            contender.release();
        }
        let holds = contender.epoch(control.hub.now_ms()).is_some();
        if !holds {
            let ready = control.hub.ready.load(Ordering::Acquire);
            let pause_ms = if ready { rank_pause_ms(rank(&control, &duty)) } else { IDLE_MS };
            time::sleep(Duration::from_millis(pause_ms)).await;
            if !ready {
                continue;
            }
        }
        match contender.step(control.hub.now_ms()) {
            lease::Step::Read => {
                let read = lease_io::read(&control.platform, &mut contender, &key, clock).await;
                control.store_answered(&read);
            }
            lease::Step::Write(write) => {
                let written =
                    lease_io::write(&control.platform, &mut contender, &key, &write, clock).await;
                control.store_answered(&written);
            }
            lease::Step::WaitUntil(at_ms) => {
                let now_ms = control.hub.now_ms();
                let pause_ms = at_ms.saturating_sub(now_ms).clamp(1, STEP_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        if contender.epoch(control.hub.now_ms()).is_some() {
            work.tick(&control, &contender, &duty).await;
        }
        show(&control, &duty, &contender, work.note());
    }
}

fn show(control: &control::Control, duty: &Duty, contender: &lease::Contender, note: &str) {
    let Some(record) = contender.holder() else {
        return;
    };
    let status = Status {
        duty: duty.key(),
        holder: record.holder.clone(),
        epoch: record.epoch.0,
        held_here: contender.epoch(control.hub.now_ms()).is_some(),
        note: note.to_owned(),
    };
    let Ok(mut duties) = control.hub.duties.lock() else {
        return;
    };
    match duties.iter_mut().find(|known| known.duty == status.duty) {
        Some(known) => *known = status,
        None => duties.push(status),
    }
}
