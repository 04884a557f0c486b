//! Duties: tasks that one daemon performs for the whole fleet, under a lease that any entry may hold.
//!
//! The first two entries by rendezvous hashing contend for each duty; the others check the lease less
//! often with each rank. The load on the store therefore grows with the number of duties and hardly
//! with the fleet. The loss of an entry loses no state: everything a duty needs is in the store.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::{task, time};
use xxhash_rust::xxh3;

use crate::{billing, control, lease, lease_io, membership, scaler};

/// Number of entries that contend for a duty without delay.
const CONTENDERS: usize = 2;
/// Pause between two checks of an entry that does not contend; multiplied by its rank.
const STANDBY_PAUSE_MS: u64 = 2_000;
/// Longest pause between two steps of a contender, so that it notices a shutdown.
const MAX_STEP_MS: u64 = 250;

/// A task that one daemon performs for the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Duty {
    /// Seals and reports the billing windows of a region.
    Billing { region: CompactString },
    /// Starts and stops the endpoints of an availability zone.
    Endpoints { region: CompactString, zone: CompactString },
}

impl Duty {
    /// Returns the object key of the duty's lease.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Billing { region } => format!("leases/billing/{region}"),
            Self::Endpoints { region, zone } => format!("leases/endpoints/{region}/{zone}"),
        }
    }
}

/// State of a duty as known to this daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub duty: String,
    pub holder: CompactString,
    pub epoch: u64,
    pub held_here: bool,
    /// Progress of the duty; for billing, the windows that were sealed and reported.
    pub note: String,
}

/// Starts the tasks that contend for duties and the task that writes this daemon's usage sheet.
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

/// Contends for the scaling duty of each zone of this region, including zones that appear later.
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
        time::sleep(Duration::from_millis(STANDBY_PAUSE_MS)).await;
    }
}

/// State of a duty's holder.
enum Worker {
    Billing(billing::Worker),
    Endpoints(Box<scaler::Worker>),
}

impl Worker {
    fn of(duty: &Duty) -> Self {
        match duty {
            Duty::Billing { .. } => Self::Billing(billing::Worker::default()),
            Duty::Endpoints { .. } => Self::Endpoints(Box::default()),
        }
    }

    async fn tick(&mut self, control: &control::Control, lease: &lease::Contender, duty: &Duty) {
        match (self, duty) {
            (Self::Billing(worker), Duty::Billing { region }) => {
                worker.tick(control, lease, region).await;
            }
            (Self::Endpoints(worker), Duty::Endpoints { zone, .. }) => {
                worker.tick(control, lease, zone).await;
            }
            _ => {}
        }
    }

    fn note(&self) -> &str {
        match self {
            Self::Billing(worker) => worker.note(),
            Self::Endpoints(worker) => worker.note(),
        }
    }
}

/// Returns the number of ready entries that rank before this one for a duty.
fn rank(control: &control::Control, duty: &Duty) -> usize {
    let key = duty.key();
    let me = control.me();
    let weight = |id: &str| xxh3::xxh3_64_with_seed(id.as_bytes(), xxh3::xxh3_64(key.as_bytes()));
    let own_weight = weight(&me.id);
    control.with_shared(|shared| {
        let ready = shared.fleet.iter().filter(|member| member.state == membership::State::Ready);
        ready
            .filter(|member| member.role == membership::Role::Entry && member.region == me.region)
            .filter(|member| member.id != me.id && weight(&member.id) > own_weight)
            .count()
    })
}

/// Returns the pause of an entry between two steps of contending for a duty.
///
/// The first two entries contend without a pause. The others check the lease too, less often with
/// each rank: the first ones may have failed, and the membership record of a failed entry looks like
/// that of a live one. If the others only waited for them, nobody would perform the duty.
fn rank_pause_ms(rank: usize) -> u64 {
    if rank < CONTENDERS { 0 } else { rank as u64 * STANDBY_PAUSE_MS }
}

/// Contends for a duty and performs it while this daemon holds its lease.
async fn contend(control: Rc<control::Control>, duty: Duty) {
    let key = duty.key();
    let mut contender =
        lease::Contender::new(control.settings.id.clone(), control.boot, lease::TIMING);
    let mut worker = Worker::of(&duty);
    let clock = || control.hub.now_ms();
    loop {
        if control.hub.draining.load(Ordering::Acquire) {
            contender.release();
        }
        let holds = contender.epoch(control.hub.now_ms()).is_some();
        if !holds {
            let ready = control.hub.ready.load(Ordering::Acquire);
            let pause_ms =
                if ready { rank_pause_ms(rank(&control, &duty)) } else { STANDBY_PAUSE_MS };
            time::sleep(Duration::from_millis(pause_ms)).await;
            if !ready {
                continue;
            }
        }
        match contender.step(control.hub.now_ms()) {
            lease::Step::Read => {
                let read = lease_io::read(&control.platform, &mut contender, &key, clock).await;
                control.record_store_outcome(&read);
            }
            lease::Step::Write(write) => {
                let written =
                    lease_io::write(&control.platform, &mut contender, &key, &write, clock).await;
                control.record_store_outcome(&written);
            }
            lease::Step::WaitUntil(at_ms) => {
                let now_ms = control.hub.now_ms();
                let pause_ms = at_ms.saturating_sub(now_ms).clamp(1, MAX_STEP_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        if contender.epoch(control.hub.now_ms()).is_some() {
            worker.tick(&control, &contender, &duty).await;
        }
        publish_status(&control, &duty, &contender, worker.note());
    }
}

/// Publishes the state of a duty for the status page.
fn publish_status(
    control: &control::Control,
    duty: &Duty,
    contender: &lease::Contender,
    note: &str,
) {
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
