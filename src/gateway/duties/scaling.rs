//! How many endpoints run: the holder of the duties orders numbers by service and availability zone.
//!
//! The load pattern: demand that doubles within a minute and falls back, while each endpoint costs
//! money for every second and takes its time to start. What is needed is read off the work under way
//! at the zone's endpoints; [`crate::scaling`] plans on it, starting early and stopping late.
//!
//! The platform tells nobody what was ordered. So each number is written to the store before it is
//! ordered, and a new holder goes on from there: counting the live endpoints instead, it would take
//! back what is still starting.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::control::{Control, Holder, Platform};
use crate::gateway::duties::duty;
use crate::gateway::policy::{load, reading};
use crate::gateway::{directory, route};
use crate::scaling::{Plan, Planner, Seen};
use crate::store::Condition;
use crate::{config, lease};

const ORDERS_KEY: &str = "briarwinch-scaling/orders";
/// How often numbers are planned anew.
const PLAN_MS: u64 = 500;
/// Pause after the store or the platform failed a call.
const RETRY_MS: u64 = 500;
/// A call under a duty takes at most this; so much of the term has to be left.
const CALL_MS: u64 = 1_300;
/// A prompt that waits this long to be read keeps an endpoint as busy as full slots do: the shortest
/// latency targets are about as long.
const BUSY_WAIT_MS: f64 = 300.0;

/// What is ordered together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    pub service: CompactString,
    pub zone: CompactString,
}

/// A number of endpoints that is ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub subject: Subject,
    pub count: u32,
}

/// Slots' worth of work at an endpoint: requests under way, or the prompts that wait there.
#[must_use]
pub fn busy_slots(work: load::Work, slots: u32, reading: &reading::Reading) -> f64 {
    let read = reading.ms(work.unread_tokens) / BUSY_WAIT_MS * f64::from(slots);
    f64::from(work.requests).max(read)
}

/// What the store holds of orders, and whether the platform has taken them.
#[derive(Debug, Default)]
struct Ordered {
    version: u64,
    orders: Vec<Order>,
    /// Not known to be taken by the platform.
    open: BTreeSet<Subject>,
}

impl Ordered {
    fn count(&self, subject: &Subject) -> Option<u32> {
        self.orders.iter().find(|one| one.subject == *subject).map(|one| one.count)
    }

    fn set(&mut self, order: Order) {
        self.orders.retain(|one| one.subject != order.subject);
        self.open.insert(order.subject.clone());
        self.orders.push(order);
    }
}

/// Scaling, as the holder of the duties knows it.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Scaling {
    planners: HashMap<Subject, Planner>,
    ordered: Option<Ordered>,
    next_ms: u64,
}

impl Scaling {
    /// Plans and orders what is due, one call at a time.
    pub(in crate::gateway) async fn tick<P: Platform>(
        &mut self,
        control: &Control<P>,
        contender: &lease::Contender,
    ) -> duty::Tick {
        let now_ms = control.now_ms();
        let Some(table) = control.shared.snapshot.load().table.clone() else {
            return duty::Tick::Done;
        };
        if now_ms < self.next_ms || table.services().iter().all(|one| one.scaling.is_none()) {
            return duty::Tick::Done;
        }
        let Some(fence) = contender.epoch_for(now_ms, CALL_MS) else {
            return duty::Tick::Done;
        };
        self.next_ms = now_ms + PLAN_MS;
        if self.ordered.is_none() && !self.read(control).await {
            return duty::Tick::Done;
        }
        let open = self.ordered.as_ref().and_then(|ordered| {
            let subject = ordered.open.first()?;
            Some(Order { subject: subject.clone(), count: ordered.count(subject)? })
        });
        match open {
            Some(order) => {
                let holder = Holder { id: control.shared.settings.id.clone(), fence };
                self.order(control, &holder, order).await;
                duty::Tick::Again
            }
            None => {
                self.plan(control, &table).await;
                duty::Tick::Done
            }
        }
    }

    async fn read<P: Platform>(&mut self, control: &Control<P>) -> bool {
        match control.platform.get(ORDERS_KEY).await {
            Ok(None) => self.ordered = Some(Ordered::default()),
            Ok(Some(object)) => {
                let orders: Vec<Order> = serde_json::from_str(&object.value).unwrap_or_else(|error| {
                    slog::error!(control.log, "orders not readable"; "error" => error.to_string());
                    Vec::new()
                });
                // The former holder may have ended between writing and ordering.
                let open = orders.iter().map(|order| order.subject.clone()).collect();
                self.ordered = Some(Ordered { version: object.version, orders, open });
            }
            Err(failure) => {
                self.next_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "orders not read"; "failure" => failure.to_string());
                return false;
            }
        }
        true
    }

    /// Plans all numbers and writes those that change to the store.
    async fn plan<P: Platform>(&mut self, control: &Control<P>, table: &route::Table) {
        let Some(mut ordered) = self.ordered.take() else {
            return;
        };
        let changes = self.changes(control, table, &ordered);
        if changes.is_empty() {
            self.ordered = Some(ordered);
            return;
        }
        for order in changes {
            slog::info!(control.log, "endpoints planned"; "service" => order.subject.service.as_str(),
                "zone" => order.subject.zone.as_str(), "count" => order.count,
                "before" => ordered.count(&order.subject));
            ordered.set(order);
        }
        let condition = Condition::at(ordered.version);
        let value = serde_json::to_string(&ordered.orders).unwrap_or_default();
        match control.platform.put(ORDERS_KEY, value, condition).await {
            Ok(version) => {
                ordered.version = version;
                self.ordered = Some(ordered);
            }
            // Read again before anything else: the write may have been done, or another came first.
            Err(failure) => {
                self.next_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "orders not written"; "failure" => failure.to_string());
            }
        }
    }

    fn changes<P>(
        &mut self,
        control: &Control<P>,
        table: &route::Table,
        ordered: &Ordered,
    ) -> Vec<Order> {
        let now_ms = control.now_ms();
        let directory = control.directory.borrow();
        let mut changes = Vec::new();
        for service in table.services() {
            let Some(bounds) = service.scaling else {
                continue;
            };
            let reading = control.shared.engine_timing(&service.name);
            let zones = by_zone(&directory, &service.name);
            // Turned away, they wait at no endpoint, and what is missing would never be ordered.
            let away = control.shared.rejections().count(&service.name, now_ms);
            let waiting = away / zones.len().max(1) as u32;
            for (zone, endpoints) in zones {
                let subject = Subject { service: service.name.clone(), zone };
                let live = endpoints.len() as u32;
                let before = ordered.count(&subject).unwrap_or(live);
                let slots = endpoints.iter().map(|one| one.slots).max().unwrap_or(1);
                let book = control.shared.load_table();
                let work = endpoints.iter().map(|one| book.at(one.key, now_ms));
                let busy: f64 = work.map(|work| busy_slots(work, slots, &reading)).sum();
                let seen = Seen { live: before, starting: 0, running: busy as u32, waiting, slots };
                let planner = self
                    .planners
                    .entry(subject.clone())
                    .or_insert_with(|| Planner::with_start_ms(bounds.startup_ms));
                let limits = config::EndpointBounds { least: bounds.min, most: bounds.max };
                let count = match planner.plan(seen, limits, now_ms) {
                    Plan::Start => before + 1,
                    Plan::Stop => before - 1,
                    Plan::Hold => continue,
                };
                changes.push(Order { subject, count });
            }
        }
        changes
    }

    async fn order<P: Platform>(&mut self, control: &Control<P>, holder: &Holder, order: Order) {
        let ordered = control.platform.order_endpoints(holder, &order).await;
        let subject = &order.subject;
        match ordered {
            Ok(()) => {
                slog::info!(control.log, "endpoints ordered"; "service" => subject.service.as_str(),
                    "zone" => subject.zone.as_str(), "count" => order.count,
                    "fence" => holder.fence.0);
                if let Some(ordered) = &mut self.ordered {
                    ordered.open.remove(subject);
                }
            }
            Err(failure) => {
                self.next_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "endpoints not ordered";
                    "service" => subject.service.as_str(), "zone" => subject.zone.as_str(),
                    "count" => order.count, "failure" => failure.to_string());
            }
        }
    }
}

/// The endpoints of a service that take requests, by zone. A zone whose endpoints all leave stays.
fn by_zone<'a>(
    directory: &'a directory::Directory,
    service: &str,
) -> BTreeMap<CompactString, Vec<&'a directory::Endpoint>> {
    let mut zones: BTreeMap<CompactString, Vec<&directory::Endpoint>> = BTreeMap::new();
    for endpoint in directory.endpoints().iter().filter(|one| one.service == service) {
        let zone = zones.entry(endpoint.zone.clone()).or_default();
        if !endpoint.is_leaving {
            zone.push(endpoint);
        }
    }
    zones
}
