//! What an entry sends by its role: its state and work, sums, rosters, prompt parts.

use std::net::SocketAddr;

use super::{Exchange, Facts, LOST_MS, Outgoing, Role};
use crate::gateway::fleet::message::{Leg, Message, Placed, State, Work};
use crate::gateway::fleet::peers::{Scope, roster};
use crate::gateway::policy::{load, prefix_index};

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
/// Rows of work in a message; about 13 bytes each.
const MAX_ROWS: usize = 75;
/// Prompt parts in a message; 16 bytes each.
const MAX_PLACED: usize = 70;
/// Messages of parts after one another; a day's start places hundreds at once.
const MAX_PLACED_MESSAGES: usize = 8;
/// Limits of endpoints in a message; about 18 bytes each.
const MAX_LIMITS: usize = 60;
/// Departures in a message; about 14 bytes each.
const MAX_DEPARTURES: usize = 75;
/// Parts to be passed on that wait, at most; the oldest are dropped, which costs reading again.
const MAX_WAITING: usize = 4_000;

pub(super) fn push_roster(to: &[SocketAddr], roster: roster::Roster, out: &mut Vec<Outgoing>) {
    let pieces = roster.split().into_iter();
    out.extend(pieces.map(|piece| Outgoing { to: to.to_vec(), message: Message::Roster(piece) }));
}

impl Exchange {
    /// Whom a member tells: the first of its zone, and whoever acts for it. While the first are dead and not
    /// known to be, the one that acts would hear of nobody, and the other zones would take all for gone.
    pub(super) fn aggregators(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut first = self.peers.aggregators(&self.own.zone, now_ms);
        let acting = self.acting.filter(|(_, at_ms)| now_ms < at_ms + LOST_MS);
        first.extend(acting.map(|(addr, _)| addr).filter(|addr| !first.contains(addr)));
        first
    }

    /// Those that act for the other zones, as far as is known.
    pub(super) fn other_zones(&self, now_ms: u64) -> Vec<SocketAddr> {
        let zones = self.peers.other_zones(now_ms).into_iter();
        let aggregators = zones.flat_map(|zone| match self.zone_aggregators.get(&zone) {
            Some((addr, at_ms)) if now_ms < at_ms + LOST_MS => vec![*addr],
            _ => self.peers.aggregators(&zone, now_ms),
        });
        aggregators.collect()
    }

    pub(super) fn members(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.peers.members(now_ms).into_iter().map(|(addr, _)| addr).collect()
    }

    pub(super) fn tell_state(
        &mut self,
        now_ms: u64,
        facts: &Facts,
        role: Role,
        out: &mut Vec<Outgoing>,
    ) {
        let urgent = facts.urgent(role);
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
        let state = self.state(facts, role, now_ms);
        self.peers.note_own(&state.peer(now_ms));
        for limits in facts.limits.chunks(MAX_LIMITS) {
            let message = Message::Limits(limits.to_vec());
            out.push(Outgoing { to: to.clone(), message });
        }
        for departures in facts.departures.chunks(MAX_DEPARTURES) {
            let message = Message::Departures(departures.to_vec());
            out.push(Outgoing { to: to.clone(), message });
        }
        let message = Message::State(state);
        out.push(Outgoing { to, message });
    }

    pub(super) fn state(&self, facts: &Facts, role: Role, now_ms: u64) -> State {
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
            is_joining: role == Role::Joining,
            is_acting: role == Role::Aggregator,
            live: u16::try_from(self.peers.live(now_ms)).unwrap_or(u16::MAX),
            lease: facts.lease,
            gate: facts.gate,
            evacuations: facts.evacuations.clone(),
        }
    }

    pub(super) fn tell_work(
        &mut self,
        now_ms: u64,
        is_news: bool,
        book: &mut load::LoadTable,
        out: &mut Vec<Outgoing>,
    ) {
        let is_due = now_ms >= self.last.work_ms + WORK_MS;
        if !is_due && !is_news {
            return;
        }
        let rows = book.rows();
        let is_old = now_ms >= self.last.work_ms + UNCHANGED_MS;
        let news = book.take_updates(MAX_ROWS);
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

    pub(super) fn push_work(
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

    pub(super) fn tell_sums(
        &mut self,
        now_ms: u64,
        is_handover: bool,
        book: &mut load::LoadTable,
        out: &mut Vec<Outgoing>,
    ) {
        if now_ms < self.last.round_ms + ROUND_MS {
            return;
        }
        self.last.round_ms = now_ms;
        book.take_updates(0);
        // Of this entry itself there is no table, so that this is all that is known.
        let (_, sums) = book.table_excluding(self.own.boot, now_ms);
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
            let (origin, rows) = book.table_excluding(boot, now_ms);
            let tables = load::Rows::split(&rows, MAX_ROWS);
            self.push_work(&[addr], &load::Source::Others, origin, tables, out);
        }
    }

    pub(super) fn tell_rosters(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
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
            push_roster(&to, roster, out);
        }
    }

    /// Queues the prompt parts that an aggregator has placed itself.
    pub(super) fn queue_placed(&mut self, homes: &mut prefix_index::PrefixIndex) {
        for _ in 0..MAX_PLACED_MESSAGES {
            let placed = homes.take_unsent(MAX_PLACED);
            if placed.is_empty() {
                return;
            }
            self.pass_on(Leg::FromEntry, &placed);
        }
    }

    pub(super) fn tell_placed(
        &self,
        role: Role,
        homes: &mut prefix_index::PrefixIndex,
        out: &mut Vec<Outgoing>,
    ) {
        let acting = self.aggregator.map(|(addr, _)| addr).filter(|_| role == Role::Member);
        let (leg, to) = match acting {
            Some(addr) => (Leg::FromEntry, vec![addr]),
            None => (Leg::Last, self.peers.by_lot()),
        };
        for _ in 0..MAX_PLACED_MESSAGES {
            let parts = homes.take_unsent(MAX_PLACED);
            if parts.is_empty() {
                return;
            }
            let message = Message::Placed(Placed { leg, parts });
            out.push(Outgoing { to: to.clone(), message });
        }
    }

    /// Queues prompt parts for those that have to hear of them from here.
    pub fn pass_on(&mut self, leg: Leg, parts: &[prefix_index::Placement]) {
        let queue = |queue: &mut Vec<prefix_index::Placement>| {
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

    pub(super) fn tell_passed_on(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
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
}
