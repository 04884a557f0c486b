//! Decides which messages this entry sends to which other entries, and when. Pure: takes the time and the
//! known state, returns messages.
//!
//! Each of hundreds of entries has to know the load of all others within about 100 ms, over links between
//! availability zones whose traffic is paid by the byte. If each entry sent to each other, the number of
//! messages would grow with the square of the fleet. So the entry with the most CPU in a zone aggregates: the
//! others of its zone send to it alone, aggregators exchange sums, and each sends the sums to its zone. A
//! second entry stands by, receives the same messages, and takes over once the first is silent. Two
//! aggregators at a time do no harm: each sends complete tables, and receivers keep the newest.

mod details;
mod sending;

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::gateway::fleet::message::{Message, State, Work};
use crate::gateway::fleet::peers::Peers;
use crate::gateway::policy::{
    admission, limits, load, prefix_index, quarantine, warmup, work_duration,
};
use crate::gateway::{departures, directory, evacuation, silences};
use crate::lease;

/// Silence of the first-ranked entry of a zone after which the second aggregates. Each further rank waits
/// this much longer.
const TAKEOVER_MS: u64 = 300;
/// Silence after which an entry no longer relies on an aggregator. An entry without one takes
/// the role [`Role::Joining`].
const AGGREGATOR_TIMEOUT_MS: u64 = 700;
/// How long an entry joins again after a gap of [`AGGREGATOR_TIMEOUT_MS`] between ticks: it was frozen.
const REJOIN_MS: u64 = 300;
/// How long a new aggregator keeps using the sums that it received as a member: the other zones do not send
/// to it yet.
const HANDOVER_MS: u64 = 200;

/// Time after joining within which an entry receives the state of all others.
const SETTLE_MS: u64 = 2_000;
/// Time after its start within which an entry finds others in the store if none of its seeds answers: it lists the
/// registered entries twice in this time.
const DISCOVERY_MS: u64 = 8_000;

/// State of this entry that it sends to the others, as of one tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalState {
    pub age_ms: u64,
    pub unix_ms: u64,
    pub config_version: u64,
    pub directory_revision: u64,
    pub has_store: bool,
    pub holds_duties: bool,
    pub is_stopping: bool,
    pub term_notice: Option<lease::TermNotice>,
    pub admission_ages: admission::Ages,
    pub evacuations: evacuation::Snapshot,
    pub limits: Vec<limits::LimitUpdate>,
    pub durations: Vec<work_duration::Report>,
    /// Stamp of the newest change of an endpoint's limit.
    pub limits_stamp: u64,
    pub departures: Vec<departures::Departure>,
    pub silences: Vec<silences::Silence>,
    pub suspicions: Vec<quarantine::Suspicion>,
    /// Stamp of the newest change of the suspected prompt parts.
    pub suspicions_stamp: u64,
}

impl LocalState {
    /// Returns the part of the state that is sent immediately when it changes.
    fn urgent(&self, role: Role) -> Urgent {
        let term_notice = self.term_notice.map(|notice| (notice.version, notice.is_over));
        let is_aggregating = role == Role::Aggregator;
        let flags = [self.has_store, self.holds_duties, self.is_stopping, is_aggregating];
        let versions = [
            self.config_version,
            self.directory_revision,
            self.evacuations.revision,
            self.limits_stamp,
            self.suspicions_stamp,
        ];
        let endpoints = [self.departures.len(), self.silences.len()];
        Urgent { versions, flags, term_notice, endpoints }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Urgent {
    versions: [u64; 5],
    flags: [bool; 4],
    term_notice: Option<(u64, bool)>,
    /// Numbers of endpoints that have recently announced that they leave, and that are silent.
    endpoints: [usize; 2],
}

/// A message and its receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: Vec<SocketAddr>,
    pub message: Message,
}

/// Identity of this entry.
#[derive(Clone, Debug)]
pub struct Identity {
    pub addr: SocketAddr,
    pub boot: u64,
    pub zone: CompactString,
    pub millicores: u16,
}

/// What an entry does for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Aggregates the load of its zone.
    Aggregator,
    /// Sends to the aggregators of its zone and uses the sums that they send.
    Member,
    /// Has no live peer, or its aggregators are silent.
    Joining,
}

/// What an entry knows of the others that send to the same endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FleetView {
    /// It has just started or was frozen, and does not know the others.
    #[display("unknown")]
    Unknown,
    /// It has had time to hear others, but has heard nobody or is not settled among them. Others may be there.
    #[display("unsettled")]
    Unsettled,
    /// It knows all others.
    #[display("settled")]
    Settled,
}

/// When each kind of message was last sent.
#[derive(Clone, Copy, Debug, Default)]
struct LastSent {
    tick_ms: u64,
    state_ms: u64,
    urgent: Urgent,
    work_ms: u64,
    sums_ms: u64,
    sums_round_ms: u64,
    remote_sums_ms: u64,
    roster_ms: u64,
    seeds_ms: u64,
}

/// State of this entry in the exchange between entries.
#[derive(Clone, Debug)]
pub struct Exchange {
    identity: Identity,
    pub peers: Peers,
    /// When an entry ranked before this one was last heard.
    senior_heard_ms: u64,
    /// Entry that last sent the load of all others, and when.
    aggregator: Option<(SocketAddr, u64)>,
    /// Peer of this zone that last declared that it aggregates, and when.
    declared_aggregator: Option<(SocketAddr, u64)>,
    /// Entry that last sent the sums of each other zone, and when.
    remote_aggregators: HashMap<CompactString, (SocketAddr, u64)>,
    /// When the state of any other entry was last received.
    last_heard_ms: u64,
    /// Until when this entry joins again after it was frozen.
    rejoining_until_ms: u64,
    /// Since when this entry has continuously aggregated or had an aggregator.
    joined_since_ms: Option<u64>,
    /// Since when this entry has run without being frozen.
    running_since_ms: u64,
    /// Number of entries that may be there, with this one, while the fleet is unsettled.
    possible_entries: Option<usize>,
    designated_senders: warmup::DesignatedSenders,
    /// Since when this entry has aggregated.
    aggregating_since_ms: Option<u64>,
    last: LastSent,
    details_sent: details::DetailsSent,
    last_work: Vec<load::Row>,
    last_sums: Vec<load::Row>,
    /// Sums have changed since they were last sent to the other zones.
    is_zone_sum_due: bool,
    /// Placements to forward to the own zone.
    zone_queue: Vec<prefix_index::Placement>,
    /// Placements to forward to other zones.
    remote_queue: Vec<prefix_index::Placement>,
}

impl Exchange {
    /// Creates the state of an entry that starts now.
    #[must_use]
    pub fn new(identity: Identity, peers: Peers, now_ms: u64) -> Self {
        Self {
            identity,
            peers,
            senior_heard_ms: now_ms,
            aggregator: None,
            declared_aggregator: None,
            remote_aggregators: HashMap::new(),
            last_heard_ms: 0,
            rejoining_until_ms: 0,
            joined_since_ms: None,
            running_since_ms: now_ms,
            possible_entries: None,
            designated_senders: warmup::DesignatedSenders::default(),
            aggregating_since_ms: None,
            last: LastSent::default(),
            details_sent: details::DetailsSent::default(),
            last_work: Vec::new(),
            last_sums: Vec::new(),
            is_zone_sum_due: false,
            zone_queue: Vec::new(),
            remote_queue: Vec::new(),
        }
    }

    /// Returns the current role of this entry.
    #[must_use]
    pub fn role(&self, now_ms: u64) -> Role {
        if now_ms < self.rejoining_until_ms {
            return Role::Joining;
        }
        if now_ms >= self.last_heard_ms + AGGREGATOR_TIMEOUT_MS
            && self.peers.live_count(now_ms) == 0
        {
            return Role::Joining;
        }
        let before = self.peers.aggregator_rank(now_ms) as u64;
        if before == 0 || now_ms >= self.senior_heard_ms + TAKEOVER_MS * before {
            return Role::Aggregator;
        }
        let has_aggregator =
            self.aggregator.is_some_and(|(_, at_ms)| now_ms < at_ms + AGGREGATOR_TIMEOUT_MS);
        if has_aggregator { Role::Member } else { Role::Joining }
    }

    /// Returns whether this entry is the only one that sends to an endpoint of this zone while it is cold, as
    /// far as it knows. An entry that has just joined may not know others that consider themselves the only
    /// one.
    #[must_use]
    pub fn is_designated_sender(&self, endpoint: directory::EndpointKey, zone: &str) -> bool {
        self.designated_senders.is_designated(self.identity.addr, endpoint, zone)
    }

    /// Returns the rank of this entry among those that may send to an endpoint of this zone, or `None` if it
    /// does not know the others.
    ///
    /// In an unsettled fleet each entry counts all that may be there and considers itself the first, so that entries
    /// that do not hear each other together exceed a limit by at most one request each, and an entry that is alone
    /// for good is not left without a share.
    #[must_use]
    pub fn position(
        &self,
        endpoint: directory::EndpointKey,
        zone: &str,
    ) -> Option<warmup::Position> {
        let settled = self.designated_senders.position(self.identity.addr, endpoint, zone);
        settled.or(self.possible_entries.map(|entries| warmup::Position { rank: 0, entries }))
    }

    /// Returns what this entry knows of the others.
    #[must_use]
    pub fn fleet_view(&self, now_ms: u64) -> FleetView {
        let is_settled =
            self.joined_since_ms.is_some_and(|since_ms| now_ms >= since_ms + SETTLE_MS);
        if is_settled || self.peers.is_only_entry() {
            return FleetView::Settled;
        }
        let has_heard_any = self.last_heard_ms > 0;
        let listening_ms = if has_heard_any { SETTLE_MS } else { DISCOVERY_MS };
        if now_ms >= self.running_since_ms + listening_ms {
            FleetView::Unsettled
        } else {
            FleetView::Unknown
        }
    }

    fn update_warmup_candidates(&mut self, now_ms: u64) {
        let has_quorum = self.peers.has_quorum(now_ms);
        let view = self.fleet_view(now_ms);
        let candidates = match view {
            FleetView::Settled => self.peers.warmup_candidates(has_quorum, now_ms),
            FleetView::Unsettled | FleetView::Unknown => Vec::new(),
        };
        self.possible_entries = (view == FleetView::Unsettled).then(|| self.peers.possible_count());
        self.designated_senders.observe(candidates, has_quorum, now_ms);
    }

    /// Returns the messages to send now. With `has_urgent_work`, load was added that others have to know at
    /// once.
    pub fn tick(
        &mut self,
        now_ms: u64,
        local: &LocalState,
        has_urgent_work: bool,
        load_table: &mut load::LoadTable,
        prefix_index: &mut prefix_index::PrefixIndex,
    ) -> Vec<Outgoing> {
        if self.last.tick_ms > 0 && now_ms >= self.last.tick_ms + AGGREGATOR_TIMEOUT_MS {
            self.rejoining_until_ms = now_ms + REJOIN_MS;
            self.running_since_ms = now_ms;
            self.senior_heard_ms = now_ms;
        }
        self.last.tick_ms = now_ms;
        let role = self.role(now_ms);
        let aggregating_since_ms = match role {
            Role::Aggregator => Some(*self.aggregating_since_ms.get_or_insert(now_ms)),
            Role::Member | Role::Joining => None,
        };
        self.aggregating_since_ms = aggregating_since_ms;
        self.joined_since_ms = match role {
            Role::Aggregator | Role::Member => self.joined_since_ms.or(Some(now_ms)),
            Role::Joining => None,
        };
        self.update_warmup_candidates(now_ms);
        let is_handover =
            aggregating_since_ms.is_some_and(|since_ms| now_ms < since_ms + HANDOVER_MS);
        load_table.set_aggregated(role == Role::Member || is_handover);
        load_table.sweep(now_ms);
        let mut out = Vec::new();
        self.send_state(now_ms, local, role, &mut out);
        match role {
            Role::Aggregator => {
                self.send_sums(now_ms, is_handover, load_table, &mut out);
                self.send_rosters(now_ms, &mut out);
                self.queue_placements(prefix_index);
            }
            Role::Member | Role::Joining => {
                self.send_work(now_ms, has_urgent_work, load_table, &mut out);
                self.send_placements(role, prefix_index, &mut out);
            }
        }
        self.send_details(now_ms, role, load_table, &mut out);
        // In every role: another entry may have taken this one for an aggregator.
        self.send_forwarded(now_ms, &mut out);
        out
    }

    /// Processes the state of another entry. Returns whether its boot id is new, and the answers.
    pub fn handle_state(
        &mut self,
        state: &State,
        local: &LocalState,
        now_ms: u64,
    ) -> (bool, Vec<Outgoing>) {
        self.last_heard_ms = now_ms;
        let is_new = self.peers.update(state.from, state.peer(now_ms), now_ms);
        if self.peers.outranks_own(state.from) && state.zone == self.identity.zone {
            self.senior_heard_ms = now_ms;
        }
        if let Some((aggregator, at_ms)) = &mut self.aggregator
            && *aggregator == state.from
        {
            *at_ms = now_ms;
        }
        if state.is_aggregating && state.zone == self.identity.zone {
            self.declared_aggregator = Some((state.from, now_ms));
        }
        let mut out = Vec::new();
        // An aggregator of another zone that is not ranked first there may not know the entries before it.
        let is_unexpected_sender = state.zone != self.identity.zone
            && self.peers.aggregators(&state.zone, now_ms).first() != Some(&state.from);
        // An entry that was frozen or cut off knows few others, and may receive no roster of the rest.
        let is_behind = usize::from(state.live) * 4 < self.peers.live_count(now_ms) * 3;
        if state.is_joining || is_unexpected_sender || is_behind {
            let to = vec![state.from];
            if state.is_joining || is_behind {
                // An answer requests none: two joining entries would answer each other without end.
                let state =
                    State { is_joining: false, ..self.state(local, self.role(now_ms), now_ms) };
                let message = Message::State(state);
                out.push(Outgoing { to: to.clone(), message });
            }
            let is_its_aggregator =
                state.zone == self.identity.zone && self.role(now_ms) == Role::Aggregator;
            let roster = if is_its_aggregator {
                self.peers.full_roster(now_ms)
            } else {
                self.peers.aggregator_roster(now_ms)
            };
            sending::push_roster(&to, roster, &mut out);
        }
        (is_new, out)
    }

    /// Processes part of a load table.
    pub fn handle_work(&mut self, work: &Work, load_table: &mut load::LoadTable, now_ms: u64) {
        match &work.source {
            load::Source::Others => {
                if self.peers.outranks_own(work.from) {
                    self.senior_heard_ms = now_ms;
                }
                self.aggregator = Some((work.from, now_ms));
            }
            load::Source::Zone(zone) => {
                self.remote_aggregators.insert(zone.clone(), (work.from, now_ms));
            }
            load::Source::Entry(_) => {}
        }
        load_table.apply(work.source.clone(), work.origin, &work.rows, now_ms);
    }
}
