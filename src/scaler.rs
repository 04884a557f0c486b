//! The duty of ordering endpoints in one availability zone.
//!
//! The holder asks the zone's endpoints for their load, plans (`scaling`), has an endpoint drained
//! by its side before it stops it, and orders by the platform's endpoint interface: intent first,
//! then the term checked, then the order with the fencing number, one at a time.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::net::UdpSocket;
use tokio::time;

use crate::store::{Condition, Failure, ObjectStore};
use crate::{config, control, lease, membership, orders, platform, scaling, seal, wire};

/// How often the zone is looked at.
const LOOK_MS: u64 = 2_000;
/// How long offers are gathered.
const GATHER_MS: u64 = 60;
/// What must be left of the term for an order: its own limit and some more.
const ORDER_MS: u64 = orders::SEND_MS + 600;
/// A new holder orders nothing for as long as an order of the former one may be under way.
const QUIET_MS: u64 = orders::SEND_MS + 600;

/// Object key of a zone's intent.
#[must_use]
pub fn intent_key(region: &str, zone: &str) -> String {
    format!("orders/{region}/{zone}")
}

/// What a holder remembers between ticks; all of it can be learnt again.
#[derive(Debug, Default)]
pub struct Work {
    epoch: Option<lease::Epoch>,
    next_look_ms: u64,
    planners: HashMap<CompactString, scaling::Planner>,
    live: HashSet<CompactString>,
    draining: Option<CompactString>,
    note: String,
}

/// One endpoint with its side's offer, if it answered.
struct Load {
    place: membership::Place,
    offer: Option<wire::Offer>,
}

impl Work {
    /// What the duty is at.
    #[must_use]
    pub fn note(&self) -> &str {
        &self.note
    }

    /// Looks at the zone and orders, if its time has come.
    pub async fn tick(&mut self, control: &control::Control, lease: &lease::Contender, zone: &str) {
        let now_ms = control.hub.now_ms();
        let Some(epoch) = lease.epoch(now_ms) else {
            return;
        };
        if self.epoch != Some(epoch) {
            *self = Self { epoch: Some(epoch), next_look_ms: now_ms + QUIET_MS, ..Self::default() };
        }
        if now_ms < self.next_look_ms {
            return;
        }
        self.next_look_ms = now_ms + LOOK_MS;
        if let Err(failure) = self.look(control, lease, zone).await {
            // What the platform was told last is not known; it is asked what is before anything
            // else is ordered.
            self.note = format!("waits: {failure}");
        }
    }

    async fn look(
        &mut self,
        control: &control::Control,
        lease: &lease::Contender,
        zone: &str,
    ) -> Result<(), Failure> {
        let listed = control.platform.endpoints(zone).await;
        control.store_answered(&listed);
        let list = listed?;
        let config = control.with_shared(|shared| shared.config.clone());
        let Some(config) = config.map(|in_force| in_force.model) else {
            return Ok(());
        };
        self.note_starts(&list, control.hub.now_ms());
        for service in &config.services {
            if service.text.endpoints.most == 0 {
                continue;
            }
            let loads = loads(control, zone, &service.name).await;
            let plan = self.plan(control, &list, service, &loads);
            let action = match plan {
                scaling::Plan::Hold => continue,
                scaling::Plan::Start => orders::Action::Start { service: service.name.clone() },
                scaling::Plan::Stop => match self.drained(control, lease, &loads).await {
                    Some(endpoint) => orders::Action::Stop { endpoint },
                    None => continue,
                },
            };
            send(control, lease, zone, action).await?;
            // One order a look: the next one starts from what is then.
            return Ok(());
        }
        Ok(())
    }

    /// Takes the start times of endpoints that have come up since the last look.
    fn note_starts(&mut self, list: &platform::EndpointList, now_ms: u64) {
        let first = self.live.is_empty();
        for line in &list.endpoints {
            let is_live = line.standing == platform::Standing::Live;
            if is_live && self.live.insert(line.id.clone()) && !first {
                self.planners.entry(line.service.clone()).or_default().endpoint_started(now_ms);
            }
        }
    }

    fn plan(
        &mut self,
        control: &control::Control,
        list: &platform::EndpointList,
        service: &config::Service,
        loads: &[Load],
    ) -> scaling::Plan {
        let count = |standing| {
            let lines = list.endpoints.iter().filter(|line| line.service == service.name);
            lines.filter(|line| line.standing == standing).count() as u32
        };
        let offers = || loads.iter().filter_map(|load| load.offer.as_ref());
        let seen = scaling::Observation {
            live: count(platform::Standing::Live),
            starting: count(platform::Standing::Starting),
            running: offers().map(|offer| offer.running).sum(),
            waiting: offers().map(|offer| offer.waiting).sum(),
            slots: service.text.slots,
        };
        self.note = format!(
            "{} live, {} starting, {} running, {} waiting",
            seen.live, seen.starting, seen.running, seen.waiting
        );
        let planner = self.planners.entry(service.name.clone()).or_default();
        planner.plan(seen, service.text.endpoints, control.hub.now_ms())
    }

    /// An endpoint that has been drained for a stop; has one drained if there is none yet.
    async fn drained(
        &mut self,
        control: &control::Control,
        lease: &lease::Contender,
        loads: &[Load],
    ) -> Option<CompactString> {
        let place = loads
            .iter()
            .filter_map(|load| Some((load, load.offer.as_ref()?)))
            .min_by_key(|(load, offer)| {
                let other = self.draining.as_ref() != Some(&load.place.id);
                (other, offer.running + offer.waiting)
            })
            .map(|(load, _)| load.place.clone())?;
        self.draining = Some(place.id.clone());
        let epoch = lease.epoch(control.hub.now_ms())?;
        let answers = loads_of(control, vec![place.clone()], Some(epoch)).await;
        let offer = answers.first()?.offer?;
        let idle = offer.leaving && offer.running + offer.waiting == 0;
        idle.then_some(place.id)
    }
}

/// Orders, if the term allows.
async fn send(
    control: &control::Control,
    lease: &lease::Contender,
    zone: &str,
    action: orders::Action,
) -> Result<(), Failure> {
    let region = &control.settings.region;
    let Some(epoch) = lease.epoch_with_remaining(control.hub.now_ms(), ORDER_MS) else {
        return Ok(());
    };
    let order = orders::Order {
        epoch,
        holder: control.settings.id.clone(),
        nonce: rand::random::<u64>() >> 1,
        action,
    };
    if !write_intent(&control.platform, region, zone, &order).await? {
        return Ok(());
    }
    // The store may have taken long, or this process been frozen in the call: the term is checked
    // once more, right before the order leaves.
    if lease.epoch_with_remaining(control.hub.now_ms(), ORDER_MS) != Some(epoch) {
        return Ok(());
    }
    slog::info!(control.log, "order"; "zone" => zone, "epoch" => epoch.0,
        "action" => serde_json::to_string(&order.action).unwrap_or_default());
    metrics::counter!("briarwinch_orders_total").increment(1);
    control.platform.order(zone, &order).await
}

/// Writes what is about to be ordered; `false` when a later holder has written already.
///
/// # Errors
/// When the store does not answer; nothing may be ordered then.
pub async fn write_intent(
    store: &impl ObjectStore,
    region: &str,
    zone: &str,
    order: &orders::Order,
) -> Result<bool, Failure> {
    let key = intent_key(region, zone);
    let before = store.get(&key).await?;
    let known = before
        .as_ref()
        .and_then(|object| serde_json::from_str::<orders::Intent>(&object.value).ok());
    if known.is_some_and(|known| known.epoch > order.epoch) {
        return Ok(false);
    }
    let condition = before.map_or(Condition::Absent, |object| Condition::Version(object.version));
    let intent = orders::Intent { epoch: order.epoch, order: Some(order.clone()) };
    let value = serde_json::to_string(&intent).unwrap_or_default();
    match store.put(&key, value, condition).await {
        Ok(_) => Ok(true),
        Err(Failure::Conflict) => Ok(false),
        Err(failure) => Err(failure),
    }
}

async fn loads(control: &control::Control, zone: &str, service: &str) -> Vec<Load> {
    let snapshot = control.hub.snapshot.load_full();
    let all = snapshot.places(&control.settings.region, service);
    let places = all.iter().filter(|place| place.zone == zone).cloned().collect();
    loads_of(control, places, None).await
}

/// Asks endpoints for their load, or to drain for a stop ordered under an epoch.
async fn loads_of(
    control: &control::Control,
    places: Vec<membership::Place>,
    drain: Option<lease::Epoch>,
) -> Vec<Load> {
    let mut loads: Vec<Load> =
        places.into_iter().map(|place| Load { place, offer: None }).collect();
    let local = SocketAddr::new(control.settings.peer_addr.ip(), 0);
    let Ok(socket) = UdpSocket::bind(local).await else {
        return loads;
    };
    for (nonce, load) in loads.iter().enumerate() {
        let ask = wire::LoadAsk {
            nonce: nonce as u64,
            endpoint: load.place.endpoint,
            service: load.place.service.clone(),
            drain,
        };
        let datagram = wire::Datagram::LoadAsk(ask);
        if let Ok(bytes) = seal::seal_datagram(control.secret(), &datagram) {
            let _ = socket.try_send_to(&bytes, load.place.work_addr);
        }
    }
    let gather = async {
        let mut buffer = vec![0; seal::MAX_DATAGRAM_BYTES + 1];
        while loads.iter().any(|load| load.offer.is_none()) {
            let Ok((count, _)) = socket.recv_from(&mut buffer).await else {
                return;
            };
            let opened = seal::open_datagram(control.secret(), &buffer[..count]);
            if let Ok(wire::Datagram::Offer(offer)) = opened
                && let Some(load) = loads.get_mut(offer.nonce as usize)
            {
                load.offer = Some(offer);
            }
        }
    };
    let _ = time::timeout(Duration::from_millis(GATHER_MS), gather).await;
    loads
}
