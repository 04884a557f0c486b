//! Messages that an entry sends in each role: its state and load, sums, rosters, placements of prompt parts.

use std::net::SocketAddr;

use super::{AGGREGATOR_TIMEOUT_MS, Exchange, LocalState, Outgoing, Role};
use crate::gateway::fleet::message::{Hop, Message, Placements, State, Work};
use crate::gateway::fleet::peers::{Scope, roster};
use crate::gateway::policy::{load, prefix_index, quarantine};

/// Interval at which an entry sends its load while that changes.
const WORK_MS: u64 = 100;
/// Interval at which an aggregator sends sums to its zone.
const SUMS_MS: u64 = 50;
/// Interval at which an aggregator sends the sums of its zone to other zones. Longer, as traffic between
/// zones is expensive.
const REMOTE_SUMS_MS: u64 = 100;
/// Interval at which unchanged load and sums are sent again.
const UNCHANGED_MS: u64 = 400;
/// Interval at which an entry sends its state, unless that changes.
const STATE_MS: u64 = 200;
/// Interval at which an entry without an aggregator sends its state.
const JOIN_MS: u64 = 100;
/// Interval at which an aggregator sends rosters, unless a peer changes.
const ROSTER_MS: u64 = 200;
/// Interval at which silent seeds and former peers are probed.
const SEEDS_MS: u64 = 1_000;
/// Maximum number of load table rows in a message; about 13 bytes each.
const MAX_ROWS: usize = 75;
/// Maximum number of prompt parts in a message; 16 bytes each.
const MAX_PLACEMENTS: usize = 70;
/// Maximum number of placement messages in one tick; the start of a day places hundreds of parts.
const MAX_PLACEMENT_MESSAGES: usize = 8;
/// Maximum number of endpoint limits in a message; about 18 bytes each.
const MAX_LIMITS: usize = 60;
/// Maximum number of departures in a message; about 14 bytes each.
const MAX_DEPARTURES: usize = 75;
/// Maximum number of silent endpoints in a message; about 16 bytes each.
const MAX_SILENCES: usize = 60;
/// Maximum number of suspected requests and prompt parts in a message; at most 200 bytes each.
const MAX_SUSPICIONS: usize = 6;
/// Maximum number of parts queued for forwarding. Older ones are dropped, so that engines may have to
/// prefill them again.
const MAX_QUEUED_PARTS: usize = 4_000;

pub(super) fn push_roster(to: &[SocketAddr], roster: roster::Roster, out: &mut Vec<Outgoing>) {
    let pieces = roster.split().into_iter();
    out.extend(pieces.map(|piece| Outgoing { to: to.to_vec(), message: Message::Roster(piece) }));
}

impl Exchange {
    /// Returns the receivers of a member's messages: the first-ranked entries of its zone and the one that
    /// declared itself its aggregator. Without the latter, while the first-ranked are dead but not yet timed
    /// out, the acting aggregator would receive nothing and the other zones would take all members for dead.
    pub(super) fn aggregators(&self, now_ms: u64) -> Vec<SocketAddr> {
        let mut receivers = self.peers.aggregators(&self.identity.zone, now_ms);
        let declared =
            self.declared_aggregator.filter(|(_, at_ms)| now_ms < at_ms + AGGREGATOR_TIMEOUT_MS);
        receivers.extend(declared.map(|(addr, _)| addr).filter(|addr| !receivers.contains(addr)));
        receivers
    }

    /// Returns the known aggregators of the other zones.
    pub(super) fn other_zones(&self, now_ms: u64) -> Vec<SocketAddr> {
        let zones = self.peers.other_zones(now_ms).into_iter();
        let aggregators = zones.flat_map(|zone| match self.remote_aggregators.get(&zone) {
            Some((addr, at_ms)) if now_ms < at_ms + AGGREGATOR_TIMEOUT_MS => vec![*addr],
            _ => self.peers.aggregators(&zone, now_ms),
        });
        aggregators.collect()
    }

    pub(super) fn members(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.peers.members(now_ms).into_iter().map(|(addr, _)| addr).collect()
    }

    pub(super) fn send_state(
        &mut self,
        now_ms: u64,
        local: &LocalState,
        role: Role,
        out: &mut Vec<Outgoing>,
    ) {
        let urgent = local.urgent(role);
        let interval_ms = if role == Role::Joining { JOIN_MS } else { STATE_MS };
        if now_ms < self.last.state_ms + interval_ms && urgent == self.last.urgent {
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
                let mut to = self.peers.join_targets();
                to.extend(self.aggregators(now_ms));
                to
            }
        };
        if role == Role::Aggregator && now_ms >= self.last.seeds_ms + SEEDS_MS {
            self.last.seeds_ms = now_ms;
            to.extend(self.peers.probe_targets(now_ms));
        }
        let state = self.state(local, role, now_ms);
        self.peers.update_own(&state.peer(now_ms));
        for limits in local.limits.chunks(MAX_LIMITS) {
            let message = Message::Limits(limits.to_vec());
            out.push(Outgoing { to: to.clone(), message });
        }
        if !local.durations.is_empty() {
            let message = Message::Durations(local.durations.clone());
            out.push(Outgoing { to: to.clone(), message });
        }
        for departures in local.departures.chunks(MAX_DEPARTURES) {
            let message = Message::Departures(departures.to_vec());
            out.push(Outgoing { to: to.clone(), message });
        }
        for silences in local.silences.chunks(MAX_SILENCES) {
            let message = Message::Silences(silences.to_vec());
            out.push(Outgoing { to: to.clone(), message });
        }
        self.push_suspicions(&local.suspicions, role, &to, now_ms, out);
        let message = Message::State(state);
        out.push(Outgoing { to, message });
    }

    /// Adds the suspected requests and prompt parts. An aggregator sends all of them to the other zones, and to the many
    /// entries of its zone only those that may come into quarantine soon or are in it.
    fn push_suspicions(
        &self,
        suspicions: &[quarantine::Suspicion],
        role: Role,
        to: &[SocketAddr],
        now_ms: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let strong: Vec<_> = suspicions.iter().filter(|one| one.is_strong()).cloned().collect();
        let receivers = match role {
            Role::Aggregator => {
                vec![
                    (self.other_zones(now_ms), suspicions.to_vec()),
                    (self.members(now_ms), strong),
                ]
            }
            Role::Member | Role::Joining => vec![(to.to_vec(), suspicions.to_vec())],
        };
        for (to, suspicions) in receivers {
            for part in suspicions.chunks(MAX_SUSPICIONS) {
                let message = Message::Suspicions(part.to_vec());
                out.push(Outgoing { to: to.clone(), message });
            }
        }
    }

    pub(super) fn state(&self, local: &LocalState, role: Role, now_ms: u64) -> State {
        State {
            from: self.identity.addr,
            boot: self.identity.boot,
            age_ms: local.age_ms,
            unix_ms: local.unix_ms,
            config_version: local.config_version,
            directory_revision: local.directory_revision,
            zone: self.identity.zone.clone(),
            millicores: self.identity.millicores,
            has_store: local.has_store,
            holds_duties: local.holds_duties,
            is_stopping: local.is_stopping,
            is_joining: role == Role::Joining,
            is_aggregating: role == Role::Aggregator,
            live: u16::try_from(self.peers.live_count(now_ms)).unwrap_or(u16::MAX),
            term_notice: local.term_notice,
            admission_ages: local.admission_ages,
            evacuations: local.evacuations.clone(),
        }
    }

    pub(super) fn send_work(
        &mut self,
        now_ms: u64,
        has_urgent_work: bool,
        load_table: &mut load::LoadTable,
        out: &mut Vec<Outgoing>,
    ) {
        let is_due = now_ms >= self.last.work_ms + WORK_MS;
        if !is_due && !has_urgent_work {
            return;
        }
        let rows = load_table.rows();
        let is_old = now_ms >= self.last.work_ms + UNCHANGED_MS;
        let updates = load_table.take_updates(MAX_ROWS);
        let tables = if !is_due {
            vec![load::Rows::update(updates)]
        } else if rows != self.last_work || is_old {
            self.last.work_ms = now_ms;
            self.last_work.clone_from(&rows);
            load::Rows::split(&rows, MAX_ROWS)
        } else {
            return;
        };
        let source = load::Source::Entry(self.identity.boot);
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
            let work = Work { from: self.identity.addr, source: source.clone(), origin, rows };
            out.push(Outgoing { to: to.to_vec(), message: Message::Work(work) });
        }
    }

    pub(super) fn send_sums(
        &mut self,
        now_ms: u64,
        is_handover: bool,
        load_table: &mut load::LoadTable,
        out: &mut Vec<Outgoing>,
    ) {
        if now_ms < self.last.sums_round_ms + SUMS_MS {
            return;
        }
        self.last.sums_round_ms = now_ms;
        load_table.take_updates(0);
        // There is no table for this entry's own boot id, so nothing is subtracted from the sums.
        let (_, sums) = load_table.table_excluding(self.identity.boot, now_ms);
        let is_old = now_ms >= self.last.sums_ms + UNCHANGED_MS;
        let is_changed = sums != self.last_sums || is_old;
        self.is_zone_sum_due |= is_changed;
        if self.is_zone_sum_due && now_ms >= self.last.remote_sums_ms + REMOTE_SUMS_MS {
            self.is_zone_sum_due = false;
            self.last.remote_sums_ms = now_ms;
            let (origin, rows) = load_table.zone_table(now_ms);
            let source = load::Source::Zone(self.identity.zone.clone());
            let to = self.other_zones(now_ms);
            self.push_work(&to, &source, origin, load::Rows::split(&rows, MAX_ROWS), out);
        }
        if !is_changed || is_handover {
            return;
        }
        self.last.sums_ms = now_ms;
        self.last_sums = sums;
        for (addr, boot) in self.peers.members(now_ms) {
            let (origin, rows) = load_table.table_excluding(boot, now_ms);
            let tables = load::Rows::split(&rows, MAX_ROWS);
            self.push_work(&[addr], &load::Source::Others, origin, tables, out);
        }
    }

    pub(super) fn send_rosters(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        let has_changed = self.peers.has_changed_since(self.last.roster_ms);
        let is_due = now_ms >= self.last.roster_ms + ROSTER_MS;
        if !is_due && !has_changed {
            return;
        }
        self.last.roster_ms = now_ms;
        self.peers.advance_round();
        let zone = self.identity.zone.clone();
        let rosters = [
            (self.other_zones(now_ms), self.peers.roster(Scope::Zone(&zone), now_ms)),
            (self.members(now_ms), self.peers.roster(Scope::All, now_ms)),
        ];
        for (to, roster) in rosters {
            push_roster(&to, roster, out);
        }
    }

    /// Queues the placements that an aggregator has made itself.
    pub(super) fn queue_placements(&mut self, prefix_index: &mut prefix_index::PrefixIndex) {
        for _ in 0..MAX_PLACEMENT_MESSAGES {
            let placements = prefix_index.take_unsent(MAX_PLACEMENTS);
            if placements.is_empty() {
                return;
            }
            self.forward(Hop::OwnAggregator, &placements);
        }
    }

    pub(super) fn send_placements(
        &self,
        role: Role,
        prefix_index: &mut prefix_index::PrefixIndex,
        out: &mut Vec<Outgoing>,
    ) {
        let aggregator = self.aggregator.map(|(addr, _)| addr).filter(|_| role == Role::Member);
        let (hop, to) = match aggregator {
            Some(addr) => (Hop::OwnAggregator, vec![addr]),
            None => (Hop::Final, self.peers.random_peers()),
        };
        for _ in 0..MAX_PLACEMENT_MESSAGES {
            let parts = prefix_index.take_unsent(MAX_PLACEMENTS);
            if parts.is_empty() {
                return;
            }
            let message = Message::Placements(Placements { hop, parts });
            out.push(Outgoing { to: to.clone(), message });
        }
    }

    /// Queues placements for the receivers that this entry forwards them to.
    pub fn forward(&mut self, hop: Hop, parts: &[prefix_index::Placement]) {
        let queue = |queue: &mut Vec<prefix_index::Placement>| {
            queue.extend_from_slice(parts);
            let excess = queue.len().saturating_sub(MAX_QUEUED_PARTS);
            queue.drain(..excess);
        };
        match hop {
            Hop::OwnAggregator => {
                queue(&mut self.zone_queue);
                queue(&mut self.remote_queue);
            }
            Hop::RemoteAggregator => queue(&mut self.zone_queue),
            Hop::Final => {}
        }
    }

    pub(super) fn send_forwarded(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        let queues = [
            (Hop::Final, std::mem::take(&mut self.zone_queue), self.members(now_ms)),
            (
                Hop::RemoteAggregator,
                std::mem::take(&mut self.remote_queue),
                self.other_zones(now_ms),
            ),
        ];
        for (hop, parts, to) in queues {
            for parts in parts.chunks(MAX_PLACEMENTS) {
                let message = Message::Placements(Placements { hop, parts: parts.to_vec() });
                out.push(Outgoing { to: to.clone(), message });
            }
        }
    }
}
