//! Who tells whom what, and when. Pure: the time and what is known come in, messages go out.
//!
//! The pattern it answers: hundreds of entries, each of which has to know within about a tenth of a
//! second what all others have under way, over links between availability zones whose bytes cost money.
//! If each told each other, messages would grow with the square of the fleet. So the strongest entry of a
//! zone aggregates: the others of its zone tell it alone, aggregators tell each other sums, and each
//! tells its zone. A second one stands by, is told the same, and acts as soon as the first is silent.
//! Two that act at a time do no harm: what they tell is whole, and the newest counts.

mod telling;

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::gateway::fleet::message::{Message, State, Work};
use crate::gateway::fleet::peers::Peers;
use crate::gateway::policy::{gate, homes, limits, load, warmup};
use crate::gateway::{departures, directory, evacuation};
use crate::lease;

/// After so much silence of the aggregators before it, an entry acts; those further behind wait as much
/// longer each.
const TAKEOVER_MS: u64 = 300;
/// An aggregator that was silent for so long is not waited for: an entry that has none tells everybody.
const LOST_MS: u64 = 700;
/// An entry that has not looked for [`LOST_MS`] was frozen, and joins again for so long.
const REJOIN_MS: u64 = 300;
/// An entry that has just begun to aggregate goes by what it was told for so long: the other zones do not
/// tell it yet.
const HANDOVER_MS: u64 = 200;

/// An entry that has joined knows all others after so long.
const SETTLE_MS: u64 = 2_000;

/// What an entry knows of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    pub age_ms: u64,
    pub unix_ms: u64,
    pub config_version: u64,
    pub directory_revision: u64,
    pub has_store: bool,
    pub holds_duties: bool,
    pub is_stopping: bool,
    pub lease: Option<lease::Told>,
    pub gate: gate::Ages,
    pub evacuations: evacuation::Snapshot,
    pub limits: Vec<limits::Told>,
    /// The newest change of an endpoint's limit.
    pub limits_stamp: u64,
    pub departures: Vec<departures::Departure>,
}

impl Facts {
    /// What the others have to know at once when it changes.
    fn urgent(&self, role: Role) -> Urgent {
        let lease = self.lease.map(|told| (told.version, told.is_over));
        let is_acting = role == Role::Aggregator;
        let flags = [self.has_store, self.holds_duties, self.is_stopping, is_acting];
        let versions = [
            self.config_version,
            self.directory_revision,
            self.evacuations.revision,
            self.limits_stamp,
        ];
        let departures = self.departures.len();
        Urgent { versions, flags, lease, departures }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Urgent {
    versions: [u64; 4],
    flags: [bool; 4],
    lease: Option<(u64, bool)>,
    /// Endpoints that have said lately that they leave.
    departures: usize,
}

/// A message and whom it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: Vec<SocketAddr>,
    pub message: Message,
}

/// Who this entry is.
#[derive(Clone, Debug)]
pub struct Own {
    pub addr: SocketAddr,
    pub boot: u64,
    pub zone: CompactString,
    pub strength: u16,
}

/// What an entry does for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It sums the work of its zone.
    Aggregator,
    /// It tells the aggregators of its zone and goes by what they tell.
    Member,
    /// It hears of nobody, or its aggregators are silent.
    Joining,
}

/// When things were told last.
#[derive(Clone, Copy, Debug, Default)]
struct Last {
    tick_ms: u64,
    state_ms: u64,
    urgent: Urgent,
    work_ms: u64,
    sums_ms: u64,
    round_ms: u64,
    zones_round_ms: u64,
    roster_ms: u64,
    seeds_ms: u64,
}

/// An entry's part in the exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    own: Own,
    pub peers: Peers,
    /// When an aggregator before this entry told of others' work.
    senior_ms: u64,
    /// Who did so last, and when.
    aggregator: Option<(SocketAddr, u64)>,
    /// Who of this zone said last that it acts, and when.
    acting: Option<(SocketAddr, u64)>,
    /// Who last told of another zone, and when.
    zone_aggregators: HashMap<CompactString, (SocketAddr, u64)>,
    /// When any other entry told of itself.
    heard_ms: u64,
    /// Until when this entry joins as if it had just started.
    rejoins_until_ms: u64,
    /// Since when this entry aggregates or has an aggregator, without a break.
    joined_since_ms: Option<u64>,
    keepers: warmup::Keepers,
    /// Since when this entry aggregates.
    acts_since_ms: Option<u64>,
    last: Last,
    last_work: Vec<load::Row>,
    last_sums: Vec<load::Row>,
    /// Sums have changed since the other zones were told.
    zones_are_due: bool,
    /// Parts to pass on to the own zone, and to other zones.
    to_zone: Vec<homes::Placed>,
    to_zones: Vec<homes::Placed>,
}

impl Exchange {
    /// An entry that starts now.
    #[must_use]
    pub fn new(own: Own, peers: Peers, now_ms: u64) -> Self {
        Self {
            own,
            peers,
            senior_ms: now_ms,
            aggregator: None,
            acting: None,
            zone_aggregators: HashMap::new(),
            heard_ms: 0,
            rejoins_until_ms: 0,
            joined_since_ms: None,
            keepers: warmup::Keepers::default(),
            acts_since_ms: None,
            last: Last::default(),
            last_work: Vec::new(),
            last_sums: Vec::new(),
            zones_are_due: false,
            to_zone: Vec::new(),
            to_zones: Vec::new(),
        }
    }

    /// What this entry does now.
    #[must_use]
    pub fn role(&self, now_ms: u64) -> Role {
        if now_ms < self.rejoins_until_ms {
            return Role::Joining;
        }
        if now_ms >= self.heard_ms + LOST_MS && self.peers.live(now_ms) == 0 {
            return Role::Joining;
        }
        let before = self.peers.aggregators_before(now_ms) as u64;
        if before == 0 || now_ms >= self.senior_ms + TAKEOVER_MS * before {
            return Role::Aggregator;
        }
        let is_told = self.aggregator.is_some_and(|(_, at_ms)| now_ms < at_ms + LOST_MS);
        if is_told { Role::Member } else { Role::Joining }
    }

    /// Whether this entry alone sends to an endpoint of this zone while it is cold, as far as it knows. One
    /// that has just joined may not know of others that think the same of themselves.
    #[must_use]
    pub fn keeps(&self, endpoint: directory::EndpointKey, zone: &str) -> bool {
        self.keepers.is_keeper(self.own.addr, endpoint, zone)
    }

    /// This entry's place among those that may send to an endpoint of this zone, if it knows the others.
    #[must_use]
    pub fn standing(
        &self,
        endpoint: directory::EndpointKey,
        zone: &str,
    ) -> Option<warmup::Standing> {
        self.keepers.standing(self.own.addr, endpoint, zone)
    }

    fn see_keepers(&mut self, now_ms: u64) {
        let is_settled =
            self.joined_since_ms.is_some_and(|since_ms| now_ms >= since_ms + SETTLE_MS);
        let is_known = is_settled || self.peers.is_only_entry();
        let hears_half = self.peers.hears_half(now_ms);
        let candidates = if is_known { self.peers.keepers(hears_half, now_ms) } else { Vec::new() };
        self.keepers.see(candidates, hears_half, now_ms);
    }

    /// What to send now. `is_news`: work has come that others have to know of at once.
    pub fn tick(
        &mut self,
        now_ms: u64,
        facts: &Facts,
        is_news: bool,
        book: &mut load::Book,
        homes: &mut homes::Homes,
    ) -> Vec<Outgoing> {
        if self.last.tick_ms > 0 && now_ms >= self.last.tick_ms + LOST_MS {
            self.rejoins_until_ms = now_ms + REJOIN_MS;
            self.senior_ms = now_ms;
        }
        self.last.tick_ms = now_ms;
        let role = self.role(now_ms);
        let acts_since_ms = match role {
            Role::Aggregator => Some(*self.acts_since_ms.get_or_insert(now_ms)),
            Role::Member | Role::Joining => None,
        };
        self.acts_since_ms = acts_since_ms;
        self.joined_since_ms = match role {
            Role::Aggregator | Role::Member => self.joined_since_ms.or(Some(now_ms)),
            Role::Joining => None,
        };
        self.see_keepers(now_ms);
        let is_handover = acts_since_ms.is_some_and(|since_ms| now_ms < since_ms + HANDOVER_MS);
        book.set_told(role == Role::Member || is_handover);
        book.sweep(now_ms);
        let mut out = Vec::new();
        self.tell_state(now_ms, facts, role, &mut out);
        match role {
            Role::Aggregator => {
                self.tell_sums(now_ms, is_handover, book, &mut out);
                self.tell_rosters(now_ms, &mut out);
                self.queue_placed(homes);
            }
            Role::Member | Role::Joining => {
                self.tell_work(now_ms, is_news, book, &mut out);
                self.tell_placed(role, homes, &mut out);
            }
        }
        // Also of an entry that others took for an aggregator.
        self.tell_passed_on(now_ms, &mut out);
        out
    }

    /// Takes what another entry tells of itself. Gives whether its start is new, and what to answer.
    pub fn take_state(
        &mut self,
        state: &State,
        facts: &Facts,
        now_ms: u64,
    ) -> (bool, Vec<Outgoing>) {
        self.heard_ms = now_ms;
        let is_new = self.peers.note(state.from, state.peer(now_ms), now_ms);
        if self.peers.is_before(state.from) && state.zone == self.own.zone {
            self.senior_ms = now_ms;
        }
        if let Some((aggregator, at_ms)) = &mut self.aggregator
            && *aggregator == state.from
        {
            *at_ms = now_ms;
        }
        if state.is_acting && state.zone == self.own.zone {
            self.acting = Some((state.from, now_ms));
        }
        let mut out = Vec::new();
        // One that acts for another zone and is not its first may not know who else is there.
        let is_astray = state.zone != self.own.zone
            && self.peers.aggregators(&state.zone, now_ms).first() != Some(&state.from);
        // One that was frozen or cut off knows few others, and nobody might tell it of the rest.
        let is_behind = usize::from(state.live) * 4 < self.peers.live(now_ms) * 3;
        if state.is_joining || is_astray || is_behind {
            let to = vec![state.from];
            if state.is_joining || is_behind {
                // An answer asks for none: two that join would go on answering each other.
                let state =
                    State { is_joining: false, ..self.state(facts, self.role(now_ms), now_ms) };
                let message = Message::State(state);
                out.push(Outgoing { to: to.clone(), message });
            }
            let is_its_aggregator =
                state.zone == self.own.zone && self.role(now_ms) == Role::Aggregator;
            let roster = if is_its_aggregator {
                self.peers.whole_roster(now_ms)
            } else {
                self.peers.introduction(now_ms)
            };
            telling::push_roster(&to, roster, &mut out);
        }
        (is_new, out)
    }

    /// Takes part of a table of work.
    pub fn take_work(&mut self, work: &Work, book: &mut load::Book, now_ms: u64) {
        match &work.source {
            load::Source::Others => {
                if self.peers.is_before(work.from) {
                    self.senior_ms = now_ms;
                }
                self.aggregator = Some((work.from, now_ms));
            }
            load::Source::Zone(zone) => {
                self.zone_aggregators.insert(zone.clone(), (work.from, now_ms));
            }
            load::Source::Entry(_) => {}
        }
        book.take(work.source.clone(), work.origin, &work.rows, now_ms);
    }
}
