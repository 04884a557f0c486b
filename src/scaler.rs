//! The scaling duty: starts and stops endpoints in one availability zone.
//!
//! The holder queries the load of the zone's endpoints, plans (`scaling`) and sends orders through the
//! platform's endpoint interface. An endpoint is drained by its side before it is stopped. Orders are
//! sent one at a time: the holder writes the intent, checks its lease term again and then sends the
//! order with the fencing token.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::net::UdpSocket;
use tokio::time;

use crate::store::{Condition, Failure, ObjectStore};
use crate::{config, control, lease, membership, orders, platform, scaling, seal, wire};

/// Interval between two evaluations of the zone.
const EVALUATION_INTERVAL_MS: u64 = 2_000;
/// How long the sides' answers to a load query are collected.
const LOAD_QUERY_TIMEOUT_MS: u64 = 60;
/// Minimum remaining lease term for an order: the timeout of the call plus a margin.
const MIN_ORDER_TERM_MS: u64 = orders::SEND_TIMEOUT_MS + 600;
/// A new holder sends no orders while an order of its predecessor may still be in flight.
const TAKEOVER_DELAY_MS: u64 = orders::SEND_TIMEOUT_MS + 600;

/// Returns the object key of a zone's intent.
#[must_use]
pub fn intent_key(region: &str, zone: &str) -> String {
    format!("orders/{region}/{zone}")
}

/// State of the duty's holder between ticks; all of it can be rebuilt.
#[derive(Debug, Default)]
pub struct Worker {
    epoch: Option<lease::Epoch>,
    next_evaluation_ms: u64,
    planners: HashMap<CompactString, scaling::Planner>,
    live: HashSet<CompactString>,
    draining: Option<CompactString>,
    note: String,
}

/// An endpoint with the load reported by its side, if the side answered.
struct Load {
    location: membership::EndpointLocation,
    offer: Option<wire::Offer>,
}

impl Worker {
    /// Describes the state of the duty, for the status page.
    #[must_use]
    pub fn note(&self) -> &str {
        &self.note
    }

    /// Evaluates the zone if it is due, and sends an order if one is needed.
    pub async fn tick(&mut self, control: &control::Control, lease: &lease::Contender, zone: &str) {
        let now_ms = control.hub.now_ms();
        let Some(epoch) = lease.epoch(now_ms) else {
            return;
        };
        if self.epoch != Some(epoch) {
            *self = Self {
                epoch: Some(epoch),
                next_evaluation_ms: now_ms + TAKEOVER_DELAY_MS,
                ..Self::default()
            };
        }
        if now_ms < self.next_evaluation_ms {
            return;
        }
        self.next_evaluation_ms = now_ms + EVALUATION_INTERVAL_MS;
        if let Err(failure) = self.evaluate(control, lease, zone).await {
            // The outcome of the last call to the platform is unknown. The next evaluation lists the
            // endpoints again before it sends another order.
            self.note = format!("waits: {failure}");
        }
    }

    async fn evaluate(
        &mut self,
        control: &control::Control,
        lease: &lease::Contender,
        zone: &str,
    ) -> Result<(), Failure> {
        let listed = control.platform.endpoints(zone).await;
        control.record_store_outcome(&listed);
        let list = listed?;
        let config = control.with_shared(|shared| shared.config.clone());
        let Some(config) = config.map(|in_force| in_force.model) else {
            return Ok(());
        };
        self.record_starts(&list, control.hub.now_ms());
        for service in &config.services {
            if service.spec.endpoints.most == 0 {
                continue;
            }
            let loads = service_loads(control, zone, &service.name).await;
            let plan = self.plan(control, &list, service, &loads);
            let action = match plan {
                scaling::Plan::Hold => continue,
                scaling::Plan::Start => orders::Action::Start { service: service.name.clone() },
                scaling::Plan::Stop => match self.find_drained(control, lease, &loads).await {
                    Some(endpoint) => orders::Action::Stop { endpoint },
                    None => continue,
                },
            };
            send_order(control, lease, zone, action).await?;
            // One order per evaluation: the next one starts from the state after this order.
            return Ok(());
        }
        Ok(())
    }

    /// Records the start times of endpoints that have become live since the last evaluation.
    fn record_starts(&mut self, list: &platform::EndpointList, now_ms: u64) {
        let is_first = self.live.is_empty();
        for line in &list.endpoints {
            let is_live = line.standing == platform::Standing::Live;
            if is_live && self.live.insert(line.id.clone()) && !is_first {
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
            slots: service.spec.slots,
        };
        self.note = format!(
            "{} live, {} starting, {} running, {} waiting",
            seen.live, seen.starting, seen.running, seen.waiting
        );
        let planner = self.planners.entry(service.name.clone()).or_default();
        planner.plan(seen, service.spec.endpoints, control.hub.now_ms())
    }

    /// Returns an endpoint that is drained and can be stopped; otherwise asks the least loaded one to
    /// drain.
    async fn find_drained(
        &mut self,
        control: &control::Control,
        lease: &lease::Contender,
        loads: &[Load],
    ) -> Option<CompactString> {
        let location = loads
            .iter()
            .filter_map(|load| Some((load, load.offer.as_ref()?)))
            .min_by_key(|(load, offer)| {
                let other = self.draining.as_ref() != Some(&load.location.id);
                (other, offer.running + offer.waiting)
            })
            .map(|(load, _)| load.location.clone())?;
        self.draining = Some(location.id.clone());
        let epoch = lease.epoch(control.hub.now_ms())?;
        let answers = query_loads(control, vec![location.clone()], Some(epoch)).await;
        let offer = answers.first()?.offer?;
        let idle = offer.leaving && offer.running + offer.waiting == 0;
        idle.then_some(location.id)
    }
}

/// Sends an order if the remaining lease term allows it.
async fn send_order(
    control: &control::Control,
    lease: &lease::Contender,
    zone: &str,
    action: orders::Action,
) -> Result<(), Failure> {
    let region = &control.settings.region;
    let Some(epoch) = lease.epoch_with_remaining(control.hub.now_ms(), MIN_ORDER_TERM_MS) else {
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
    // The store may have answered slowly, or this process may have been suspended during the call, so
    // the term is checked again right before the order is sent.
    if lease.epoch_with_remaining(control.hub.now_ms(), MIN_ORDER_TERM_MS) != Some(epoch) {
        return Ok(());
    }
    slog::info!(control.log, "order"; "zone" => zone, "epoch" => epoch.0,
        "action" => serde_json::to_string(&order.action).unwrap_or_default());
    metrics::counter!("briarwinch_orders_total").increment(1);
    control.platform.order(zone, &order).await
}

/// Writes the intent of an order. Returns `false` if a holder with a newer epoch has already written.
///
/// # Errors
/// When the store does not answer; the order must not be sent then.
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

async fn service_loads(control: &control::Control, zone: &str, service: &str) -> Vec<Load> {
    let snapshot = control.hub.snapshot.load_full();
    let all = snapshot.endpoints(&control.settings.region, service);
    let locations = all.iter().filter(|location| location.zone == zone).cloned().collect();
    query_loads(control, locations, None).await
}

/// Asks endpoints for their load or, with an epoch, to drain for a stop ordered under that epoch.
async fn query_loads(
    control: &control::Control,
    locations: Vec<membership::EndpointLocation>,
    drain: Option<lease::Epoch>,
) -> Vec<Load> {
    let mut loads: Vec<Load> =
        locations.into_iter().map(|location| Load { location, offer: None }).collect();
    let local = SocketAddr::new(control.settings.peer_addr.ip(), 0);
    let Ok(socket) = UdpSocket::bind(local).await else {
        return loads;
    };
    for (nonce, load) in loads.iter().enumerate() {
        let ask = wire::LoadAsk {
            nonce: nonce as u64,
            endpoint: load.location.endpoint,
            service: load.location.service.clone(),
            drain,
        };
        let datagram = wire::Datagram::LoadAsk(ask);
        if let Ok(bytes) = seal::seal_datagram(control.secret(), &datagram) {
            let _ = socket.try_send_to(&bytes, load.location.work_addr);
        }
    }
    let collect = async {
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
    let _ = time::timeout(Duration::from_millis(LOAD_QUERY_TIMEOUT_MS), collect).await;
    loads
}
