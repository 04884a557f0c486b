//! Who tells whom what, and when. Pure: the time and what is known come in, messages go out.
//!
//! The pattern it answers: hundreds of entries, each of which has to know within about a tenth of a
//! second what all others have under way, over links between availability zones whose bytes cost money.
//! If each told each other, messages would grow with the square of the fleet. So the strongest entry of a
//! zone aggregates: the others of its zone tell it alone, aggregators tell each other sums, and each
//! tells its zone. A second one stands by, is told the same, and acts as soon as the first is silent.
//! Two that act at a time do no harm: what they tell is whole, and the newest counts.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::gateway::fleet::message::{Leg, Message, Placed, State, Work};
use crate::gateway::fleet::peers::{Peers, Scope};
use crate::gateway::policy::{gate, homes, load};
use crate::lease;

/// How often an entry tells of its work while that changes.
const WORK_MS: u64 = 100;
/// How often an aggregator tells its zone sums.
const ROUND_MS: u64 = 50;
/// How often an aggregator tells other zones the sum of its own: the bytes between zones are dear.
const ZONES_ROUND_MS: u64 = 100;
/// How often work and sums are told that do not change.
const UNCHANGED_MS: u64 = 400;
/// How often an entry tells of itself, unless something changes.
const STATE_MS: u64 = 200;
/// How often an entry that has no aggregator tells of itself.
const JOIN_MS: u64 = 100;
/// How often who lives is told, unless somebody changes.
const ROSTER_MS: u64 = 200;
/// How often seeds and former peers are tried that are silent.
const SEEDS_MS: u64 = 1_000;
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
/// Rows of work in a message; about 13 bytes each.
const MAX_ROWS: usize = 75;
/// Prompt parts in a message; 16 bytes each.
const MAX_PLACED: usize = 70;
/// Messages of parts after one another; a day's start places hundreds at once.
const MAX_PLACED_MESSAGES: usize = 8;
/// Parts to be passed on that wait, at most; the oldest are dropped, which costs reading again.
const MAX_WAITING: usize = 4_000;

/// What an entry knows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
}

impl Facts {
    /// What the others have to know at once when it changes.
    fn urgent(&self) -> Urgent {
        let lease = self.lease.map(|told| (told.version, told.is_over));
        let flags = [self.has_store, self.holds_duties, self.is_stopping];
        Urgent { versions: [self.config_version, self.directory_revision], flags, lease }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Urgent {
    versions: [u64; 2],
    flags: [bool; 3],
    lease: Option<(u64, bool)>,
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
    /// Who last told of another zone, and when.
    zone_aggregators: HashMap<CompactString, (SocketAddr, u64)>,
    /// When any other entry told of itself.
    heard_ms: u64,
    /// Until when this entry joins as if it had just started.
    rejoins_until_ms: u64,
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
            zone_aggregators: HashMap::new(),
            heard_ms: 0,
            rejoins_until_ms: 0,
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
        let is_handover = acts_since_ms.is_some_and(|since_ms| now_ms < since_ms + HANDOVER_MS);
        book.set_told(role == Role::Member || is_handover);
        book.sweep(now_ms);
        let mut out = Vec::new();
        self.tell_state(now_ms, facts, role, &mut out);
        match role {
            Role::Aggregator => {
                self.tell_sums(now_ms, is_handover, book, &mut out);
                self.tell_rosters(now_ms, &mut out);
                for _ in 0..MAX_PLACED_MESSAGES {
                    let placed = homes.take_untold(MAX_PLACED);
                    if placed.is_empty() {
                        break;
                    }
                    self.pass_on(Leg::FromEntry, &placed);
                }
                self.tell_passed_on(now_ms, &mut out);
            }
            Role::Member | Role::Joining => {
                self.tell_work(now_ms, is_news, book, &mut out);
                self.tell_placed(role, homes, &mut out);
                // What came while this entry was taken for an aggregator.
                self.tell_passed_on(now_ms, &mut out);
            }
        }
        out
    }

    /// Whom a member tells.
    fn aggregators(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.peers.aggregators(&self.own.zone, now_ms)
    }

    /// Those that act for the other zones, as far as is known.
    fn other_zones(&self, now_ms: u64) -> Vec<SocketAddr> {
        let zones = self.peers.other_zones(now_ms).into_iter();
        let aggregators = zones.flat_map(|zone| match self.zone_aggregators.get(&zone) {
            Some((addr, at_ms)) if now_ms < at_ms + LOST_MS => vec![*addr],
            _ => self.peers.aggregators(&zone, now_ms),
        });
        aggregators.collect()
    }

    fn members(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.peers.members(now_ms).into_iter().map(|(addr, _)| addr).collect()
    }

    fn tell_state(&mut self, now_ms: u64, facts: &Facts, role: Role, out: &mut Vec<Outgoing>) {
        let urgent = facts.urgent();
        let pause_ms = if role == Role::Joining { JOIN_MS } else { STATE_MS };
        if now_ms < self.last.state_ms + pause_ms && urgent == self.last.urgent {
            return;
        }
        self.last.state_ms = now_ms;
        self.last.urgent = urgent;
        let mut to = match role {
            Role::Aggregator => {
                let mut to = self.members(now_ms);
                to.extend(self.other_zones(now_ms));
                to
            }
            Role::Member => self.aggregators(now_ms),
            Role::Joining => {
                let mut to = self.peers.to_join();
                to.extend(self.aggregators(now_ms));
                to
            }
        };
        if role == Role::Aggregator && now_ms >= self.last.seeds_ms + SEEDS_MS {
            self.last.seeds_ms = now_ms;
            to.extend(self.peers.silent(now_ms));
        }
        let state = self.state(facts, role == Role::Joining, now_ms);
        self.peers.note_own(&state.peer(now_ms));
        let message = Message::State(state);
        out.push(Outgoing { to, message });
    }

    fn state(&self, facts: &Facts, is_joining: bool, now_ms: u64) -> State {
        State {
            from: self.own.addr,
            boot: self.own.boot,
            age_ms: facts.age_ms,
            unix_ms: facts.unix_ms,
            config_version: facts.config_version,
            directory_revision: facts.directory_revision,
            zone: self.own.zone.clone(),
            strength: self.own.strength,
            has_store: facts.has_store,
            holds_duties: facts.holds_duties,
            is_stopping: facts.is_stopping,
            is_joining,
            live: u16::try_from(self.peers.live(now_ms)).unwrap_or(u16::MAX),
            lease: facts.lease,
            gate: facts.gate,
        }
    }

    fn tell_work(
        &mut self,
        now_ms: u64,
        is_news: bool,
        book: &mut load::Book,
        out: &mut Vec<Outgoing>,
    ) {
        let is_due = now_ms >= self.last.work_ms + WORK_MS;
        if !is_due && !is_news {
            return;
        }
        let rows = book.rows();
        let is_old = now_ms >= self.last.work_ms + UNCHANGED_MS;
        let news = book.take_news(MAX_ROWS);
        let tables = if !is_due {
            vec![load::Rows::update(news)]
        } else if rows != self.last_work || is_old {
            self.last.work_ms = now_ms;
            self.last_work.clone_from(&rows);
            load::Rows::split(&rows, MAX_ROWS)
        } else {
            return;
        };
        let source = load::Source::Entry(self.own.boot);
        let origin = load::Origin { entries: 1, age_ms: 0 };
        let to = self.aggregators(now_ms);
        self.push_work(&to, &source, origin, tables, out);
    }

    fn push_work(
        &self,
        to: &[SocketAddr],
        source: &load::Source,
        origin: load::Origin,
        tables: Vec<load::Rows>,
        out: &mut Vec<Outgoing>,
    ) {
        for rows in tables {
            let work = Work { from: self.own.addr, source: source.clone(), origin, rows };
            out.push(Outgoing { to: to.to_vec(), message: Message::Work(work) });
        }
    }

    fn tell_sums(
        &mut self,
        now_ms: u64,
        is_handover: bool,
        book: &mut load::Book,
        out: &mut Vec<Outgoing>,
    ) {
        if now_ms < self.last.round_ms + ROUND_MS {
            return;
        }
        self.last.round_ms = now_ms;
        book.take_news(0);
        // Of this entry itself there is no table, so that this is all that is known.
        let (_, sums) = book.table_for(self.own.boot, now_ms);
        let is_old = now_ms >= self.last.sums_ms + UNCHANGED_MS;
        let is_changed = sums != self.last_sums || is_old;
        self.zones_are_due |= is_changed;
        if self.zones_are_due && now_ms >= self.last.zones_round_ms + ZONES_ROUND_MS {
            self.zones_are_due = false;
            self.last.zones_round_ms = now_ms;
            let (origin, rows) = book.zone_table(now_ms);
            let source = load::Source::Zone(self.own.zone.clone());
            let to = self.other_zones(now_ms);
            self.push_work(&to, &source, origin, load::Rows::split(&rows, MAX_ROWS), out);
        }
        if !is_changed || is_handover {
            return;
        }
        self.last.sums_ms = now_ms;
        self.last_sums = sums;
        for (addr, boot) in self.peers.members(now_ms) {
            let (origin, rows) = book.table_for(boot, now_ms);
            let tables = load::Rows::split(&rows, MAX_ROWS);
            self.push_work(&[addr], &load::Source::Others, origin, tables, out);
        }
    }

    fn tell_rosters(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        let has_changed = self.peers.has_changed_since(self.last.roster_ms);
        let is_due = now_ms >= self.last.roster_ms + ROSTER_MS;
        if !is_due && !has_changed {
            return;
        }
        self.last.roster_ms = now_ms;
        self.peers.next_turn();
        let zone = self.own.zone.clone();
        let rosters = [
            (self.other_zones(now_ms), self.peers.roster(Scope::Zone(&zone), now_ms)),
            (self.members(now_ms), self.peers.roster(Scope::All, now_ms)),
        ];
        for (to, roster) in rosters {
            let pieces = roster.split().into_iter();
            out.extend(
                pieces.map(|piece| Outgoing { to: to.clone(), message: Message::Roster(piece) }),
            );
        }
    }

    fn tell_placed(&self, role: Role, homes: &mut homes::Homes, out: &mut Vec<Outgoing>) {
        let acting = self.aggregator.map(|(addr, _)| addr).filter(|_| role == Role::Member);
        let (leg, to) = match acting {
            Some(addr) => (Leg::FromEntry, vec![addr]),
            None => (Leg::Last, self.peers.by_lot()),
        };
        for _ in 0..MAX_PLACED_MESSAGES {
            let parts = homes.take_untold(MAX_PLACED);
            if parts.is_empty() {
                return;
            }
            let message = Message::Placed(Placed { leg, parts });
            out.push(Outgoing { to: to.clone(), message });
        }
    }

    /// Queues prompt parts for those that have to hear of them from here.
    pub fn pass_on(&mut self, leg: Leg, parts: &[homes::Placed]) {
        let queue = |queue: &mut Vec<homes::Placed>| {
            queue.extend_from_slice(parts);
            let excess = queue.len().saturating_sub(MAX_WAITING);
            queue.drain(..excess);
        };
        match leg {
            Leg::FromEntry => {
                queue(&mut self.to_zone);
                queue(&mut self.to_zones);
            }
            Leg::FromZone => queue(&mut self.to_zone),
            Leg::Last => {}
        }
    }

    fn tell_passed_on(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        let queues = [
            (Leg::Last, std::mem::take(&mut self.to_zone), self.members(now_ms)),
            (Leg::FromZone, std::mem::take(&mut self.to_zones), self.other_zones(now_ms)),
        ];
        for (leg, parts, to) in queues {
            for parts in parts.chunks(MAX_PLACED) {
                let message = Message::Placed(Placed { leg, parts: parts.to_vec() });
                out.push(Outgoing { to: to.clone(), message });
            }
        }
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
        let mut out = Vec::new();
        // One that acts for another zone and is not its first may not know who else is there.
        let is_astray = state.zone != self.own.zone
            && self.peers.aggregators(&state.zone, now_ms).first() != Some(&state.from);
        // One that was frozen or cut off knows few others, and nobody might tell it of the rest.
        let is_behind = usize::from(state.live) * 4 < self.peers.live(now_ms) * 3;
        if state.is_joining || is_astray || is_behind {
            let to = vec![state.from];
            if state.is_joining || is_behind {
                let message = Message::State(self.state(facts, false, now_ms));
                out.push(Outgoing { to: to.clone(), message });
            }
            let is_its_aggregator =
                state.zone == self.own.zone && self.role(now_ms) == Role::Aggregator;
            let roster = if is_its_aggregator {
                self.peers.whole_roster(now_ms)
            } else {
                self.peers.introduction(now_ms)
            };
            let pieces = roster.split().into_iter();
            out.extend(
                pieces.map(|piece| Outgoing { to: to.clone(), message: Message::Roster(piece) }),
            );
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
