//! Autoscaling by the duty holder: it orders the number of endpoints by service and availability zone.
//!
//! Demand may double within a minute and fall back, while each endpoint costs money for every second and
//! takes time to start. The demand is derived from the work in progress at the zone's endpoints;
//! [`crate::scaling`] plans on it, and starts endpoints early and stops them late.
//!
//! The platform does not tell which numbers were ordered. So each number is written to the store before it
//! is ordered, and a new holder continues from there. If it counted the live endpoints instead, it would
//! cancel those that are still starting.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::control::{Control, Holder, Platform};
use crate::gateway::duties::election;
use crate::gateway::policy::{load, prefill};
use crate::gateway::{directory, route};
use crate::scaling::{Observation, Plan, Planner};
use crate::store::Condition;
use crate::{config, lease};

const ORDERS_KEY: &str = "briarwinch-scaling/orders";
/// Interval between two plans.
const PLAN_INTERVAL_MS: u64 = 500;
/// Pause after a failed call to the store or the platform.
const RETRY_MS: u64 = 500;
/// Prompt-processing backlog that counts as much as full slots: about as long as the shortest latency
/// targets.
const BUSY_BACKLOG_MS: f64 = 300.0;

/// What an order sets the number of endpoints for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    pub service: CompactString,
    pub zone: CompactString,
}

/// The number of endpoints ordered for a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    #[serde(rename = "subject")]
    pub target: Target,
    pub count: u32,
}

/// Returns the work at an endpoint in slots: its requests in progress, or its prompt backlog if that counts
/// for more.
#[must_use]
pub fn busy_slots(work: load::Work, slots: u32, prefill_model: &prefill::PrefillModel) -> f64 {
    let backlog = prefill_model.prefill_ms(work.unread_tokens) / BUSY_BACKLOG_MS * f64::from(slots);
    f64::from(work.requests).max(backlog)
}

/// The orders in the store, and which of them the platform has accepted.
#[derive(Debug, Default)]
struct Ordered {
    version: u64,
    orders: Vec<Order>,
    /// Targets whose order the platform is not known to have accepted.
    pending: BTreeSet<Target>,
    /// Whether the store lacks some of the orders.
    is_unsaved: bool,
}

impl Ordered {
    fn count(&self, target: &Target) -> Option<u32> {
        self.orders.iter().find(|one| one.target == *target).map(|one| one.count)
    }

    fn set(&mut self, order: Order) {
        self.orders.retain(|one| one.target != order.target);
        self.pending.insert(order.target.clone());
        self.orders.push(order);
    }
}

/// Autoscaling state of the duty holder.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Scaling {
    planners: HashMap<Target, Planner>,
    ordered: Option<Ordered>,
    /// The orders that this entry last read or wrote as the holder.
    remembered_orders: Vec<Order>,
    /// Whether the term continues one in which this entry wrote the remembered orders.
    is_continued: bool,
    next_ms: u64,
}

impl Scaling {
    /// Begins a term. What this entry planned and ordered in its last one counts if the new one continues it: the
    /// store has lost the newest orders.
    pub(in crate::gateway) fn begin_term(&mut self, is_continued: bool) {
        let before = std::mem::take(self);
        if is_continued {
            self.planners = before.planners;
            self.remembered_orders = before.remembered_orders;
            self.is_continued = true;
        }
    }

    /// Plans and orders what is due, one call at a time.
    pub(in crate::gateway) async fn tick<P: Platform>(
        &mut self,
        control: &Control<P>,
        contender: &lease::Contender,
    ) -> election::Tick {
        let now_ms = control.now_ms();
        let Some(table) = control.shared.snapshot.load().table.clone() else {
            return election::Tick::Done;
        };
        if now_ms < self.next_ms || table.services().iter().all(|one| one.scaling.is_none()) {
            return election::Tick::Done;
        }
        if election::acting_epoch(control, contender, now_ms).is_none() {
            return election::Tick::Done;
        }
        self.next_ms = now_ms + PLAN_INTERVAL_MS;
        if self.ordered.is_none() && !self.read_orders(control).await {
            return election::Tick::Done;
        }
        let pending = self.ordered.as_ref().and_then(|ordered| {
            let target = ordered.pending.first()?;
            Some(Order { target: target.clone(), count: ordered.count(target)? })
        });
        match pending {
            Some(order) => {
                let Some(holder) = election::acting_holder(control, contender) else {
                    return election::Tick::Done;
                };
                self.send_order(control, &holder, order).await;
                election::Tick::Again
            }
            None => {
                self.plan(control, &table).await;
                election::Tick::Done
            }
        }
    }

    async fn read_orders<P: Platform>(&mut self, control: &Control<P>) -> bool {
        match control.platform.get(ORDERS_KEY).await {
            Ok(None) => {
                let version = control.platform.era().version(0);
                self.ordered = Some(Ordered { version, ..Ordered::default() });
            }
            Ok(Some(object)) => {
                let orders: Vec<Order> =
                    serde_json::from_str(&object.value).unwrap_or_else(|error| {
                        slog::error!(control.log, "stored scaling orders cannot be decoded";
                            "error" => error.to_string());
                        Vec::new()
                    });
                // The former holder may have ended between the write and the order.
                let pending = orders.iter().map(|order| order.target.clone()).collect();
                let version = object.version;
                self.ordered = Some(Ordered { version, orders, pending, is_unsaved: false });
            }
            Err(failure) => {
                self.next_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "reading scaling orders failed";
                    "failure" => failure.to_string());
                return false;
            }
        }
        if let Some(ordered) = &mut self.ordered {
            let remembered = self.remembered_orders.iter().filter(|_| self.is_continued);
            for order in remembered {
                if ordered.count(&order.target) != Some(order.count) {
                    ordered.set(order.clone());
                    ordered.is_unsaved = true;
                }
            }
            self.remembered_orders = ordered.orders.clone();
        }
        true
    }

    /// Plans all targets and writes the changes to the store.
    async fn plan<P: Platform>(&mut self, control: &Control<P>, table: &route::Table) {
        let Some(mut ordered) = self.ordered.take() else {
            return;
        };
        let changes = self.planned_changes(control, table, &ordered);
        if changes.is_empty() && !ordered.is_unsaved {
            self.ordered = Some(ordered);
            return;
        }
        for order in changes {
            slog::info!(control.log, "endpoints planned"; "service" => order.target.service.as_str(),
                "zone" => order.target.zone.as_str(), "count" => order.count,
                "before" => ordered.count(&order.target));
            ordered.set(order);
        }
        let condition = Condition::at(ordered.version);
        let value = serde_json::to_string(&ordered.orders).unwrap_or_default();
        match control.platform.put(ORDERS_KEY, value, condition).await {
            Ok(version) => {
                ordered.version = version;
                ordered.is_unsaved = false;
                self.remembered_orders = ordered.orders.clone();
                self.ordered = Some(ordered);
            }
            // The orders are read again first: the write may have taken effect, or another one came first.
            Err(failure) => {
                self.next_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "writing scaling orders failed";
                    "failure" => failure.to_string());
            }
        }
    }

    fn planned_changes<P>(
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
            let prefill_model = control.shared.prefill_model(&service.name);
            let zones = by_zone(&directory, &service.name);
            // Rejected requests are at no endpoint; without them the missing ones would never be ordered.
            let rejected = control.shared.rejections().count(&service.name, now_ms);
            let waiting = rejected / zones.len().max(1) as u32;
            for (zone, endpoints) in zones {
                let target = Target { service: service.name.clone(), zone };
                let live = endpoints.len() as u32;
                let before = ordered.count(&target).unwrap_or(live);
                let slots = endpoints.iter().map(|one| one.slots).max().unwrap_or(1);
                let load_table = control.shared.load_table();
                let work = endpoints.iter().map(|one| load_table.work_at(one.key, now_ms));
                let busy: f64 = work.map(|work| busy_slots(work, slots, &prefill_model)).sum();
                let demand =
                    Observation { live: before, starting: 0, running: busy as u32, waiting, slots };
                let planner = self
                    .planners
                    .entry(target.clone())
                    .or_insert_with(|| Planner::with_start_ms(bounds.startup_ms));
                let limits = config::EndpointBounds { least: bounds.min, most: bounds.max };
                let count = match planner.plan(demand, limits, now_ms) {
                    Plan::Start => before + 1,
                    Plan::Stop => before - 1,
                    Plan::Hold => continue,
                };
                changes.push(Order { target, count });
            }
        }
        changes
    }

    async fn send_order<P: Platform>(
        &mut self,
        control: &Control<P>,
        holder: &Holder,
        order: Order,
    ) {
        let ordered = control.platform.order_endpoints(holder, &order).await;
        let target = &order.target;
        match ordered {
            Ok(()) => {
                slog::info!(control.log, "endpoints ordered"; "service" => target.service.as_str(),
                    "zone" => target.zone.as_str(), "count" => order.count,
                    "fence" => holder.fence.0);
                if let Some(ordered) = &mut self.ordered {
                    ordered.pending.remove(target);
                }
            }
            Err(failure) => {
                self.next_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "endpoints not ordered";
                    "service" => target.service.as_str(), "zone" => target.zone.as_str(),
                    "count" => order.count, "failure" => failure.to_string());
            }
        }
    }
}

/// Groups the endpoints of a service that take requests by zone. A zone whose endpoints all leave maps to an
/// empty list.
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
