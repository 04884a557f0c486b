//! Details of the load that entries send each other: streams by gap limit, and memory of engines.
//!
//! They change more slowly than the load itself, and the receiver scales them by the requests that it knows, so
//! they are sent less often, and in a larger fleet less often still.

use super::{Exchange, Outgoing, Role};
use crate::gateway::fleet::message::{Details, Message};
use crate::gateway::policy::load;

/// Interval at which an aggregator sends details to its zone and to other zones, in a fleet of up to
/// [`INTERVAL_ENTRIES`].
const ZONE_MS: u64 = 100;
/// Interval at which a member sends details to its aggregator.
const UPWARD_MS: u64 = 200;
/// In larger fleets the intervals grow in proportion, so that an entry's traffic is bounded.
const INTERVAL_ENTRIES: usize = 50;
/// Rows that a message has on average if a table takes several.
const MEAN_ROWS: usize = 50;
/// Maximum number of rows in a message; at most 19 bytes each.
const MAX_ROWS: usize = 65;

/// When details were last sent, and which part of a large table is next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DetailsSent {
    zone_ms: u64,
    upward_ms: u64,
    zone_round: usize,
    upward_round: usize,
}

/// Returns the details of the part of a table that is due in a round.
fn part(rows: &[load::Row], round: usize) -> Vec<load::DetailRow> {
    let parts = rows.len().div_ceil(MEAN_ROWS).clamp(1, usize::from(u8::MAX)) as u8;
    let due = (round % usize::from(parts)) as u8;
    let due = rows.iter().filter(|row| row.endpoint.part_of(parts) == due);
    due.filter_map(load::DetailRow::of).take(MAX_ROWS).collect()
}

impl Exchange {
    /// Sends the details that are due. Nothing is sent while no request has any.
    pub(super) fn send_details(
        &mut self,
        now_ms: u64,
        role: Role,
        load_table: &load::LoadTable,
        out: &mut Vec<Outgoing>,
    ) {
        if !load_table.has_details() {
            return;
        }
        let scale = (1 + self.peers.live_count(now_ms)).div_ceil(INTERVAL_ENTRIES) as u64;
        let upward_ms = if role == Role::Aggregator { ZONE_MS } else { UPWARD_MS };
        if now_ms >= self.details_sent.upward_ms + upward_ms * scale {
            self.details_sent.upward_ms = now_ms;
            self.details_sent.upward_round += 1;
            let round = self.details_sent.upward_round;
            let (to, source, rows) = match role {
                Role::Aggregator => {
                    let source = load::Source::Zone(self.identity.zone.clone());
                    (self.other_zones(now_ms), source, load_table.zone_table(now_ms).1)
                }
                Role::Member => {
                    let to = self.aggregator.map(|(addr, _)| addr).into_iter().collect();
                    (to, load::Source::Entry(self.identity.boot), load_table.rows())
                }
                Role::Joining => return,
            };
            self.push_details(to, source, part(&rows, round), out);
        }
        let is_zone_due = now_ms >= self.details_sent.zone_ms + ZONE_MS * scale;
        if role == Role::Aggregator && is_zone_due {
            self.details_sent.zone_ms = now_ms;
            self.details_sent.zone_round += 1;
            for (addr, boot) in self.peers.members(now_ms) {
                let (_, rows) = load_table.table_excluding(boot, now_ms);
                let rows = part(&rows, self.details_sent.zone_round);
                self.push_details(vec![addr], load::Source::Others, rows, out);
            }
        }
    }

    fn push_details(
        &self,
        to: Vec<std::net::SocketAddr>,
        source: load::Source,
        rows: Vec<load::DetailRow>,
        out: &mut Vec<Outgoing>,
    ) {
        if !rows.is_empty() && !to.is_empty() {
            out.push(Outgoing { to, message: Message::Details(Details { source, rows }) });
        }
    }
}
