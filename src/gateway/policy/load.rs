//! Load table: the work in progress at each endpoint. The requests of this entry are known exactly,
//! those of other entries as they report them.
//!
//! Reports by the endpoints themselves are some hundred ms old when they arrive, and all entries
//! that read the same report choose the same endpoint. An entry knows at once what it has sent
//! itself.

mod details;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub use self::details::DetailRow;
use crate::gateway::directory::EndpointKey;
use crate::gateway::policy::{engine_memory, gap_forecast};

/// Older tables are ignored: their source is gone or partitioned.
const TABLE_MAX_AGE_MS: u64 = 2_000;
/// How long a load report of an endpoint is used.
const REPORT_MAX_AGE_MS: u64 = 300;

/// Window over which the send rate of this entry to an endpoint is measured.
const RATE_WINDOW_MS: u64 = 1_000;
/// Sends per endpoint whose time is kept: more than an entry makes within [`RATE_WINDOW_MS`] to an
/// endpoint that is not full.
const MAX_RECENT_SENDS: usize = 64;

/// Work in progress at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens still to prefill, of requests without a first event.
    pub unread_tokens: u64,
    /// Streams in progress by gap limit, see [`gap_forecast::class_of`]. This and the next field travel in
    /// [`DetailRow`]: in each row they would multiply the traffic between entries.
    #[serde(skip)]
    pub streams: [u16; gap_forecast::GAP_CLASSES],
    /// Tokens that the requests hold or will hold: prompts and output limits.
    #[serde(skip)]
    pub memory_tokens: u64,
}

impl Work {
    fn saturating_sub(self, other: Self) -> Self {
        let mut streams = self.streams;
        for (count, removed) in streams.iter_mut().zip(other.streams) {
            *count = count.saturating_sub(removed);
        }
        Self {
            requests: self.requests.saturating_sub(other.requests),
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
            streams,
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
        }
    }
}

/// Row of a load table: one endpoint's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub endpoint: EndpointKey,
    pub work: Work,
}

/// Whose work a table holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Source {
    /// One start of an entry.
    Entry(u64),
    /// The sum over all entries of an availability zone.
    Zone(CompactString),
    /// The sum over all entries but the receiver.
    Others,
}

/// Number of entries whose work a table sums, and their average age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub entries: u32,
    pub age_ms: u32,
}

/// Part of a table, as one message carries it: the endpoints whose key falls into part `part` of
/// `parts`. With zero `parts` it is an update, which says nothing of the endpoints that it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    pub part: u8,
    pub parts: u8,
    pub rows: Vec<Row>,
}

impl Rows {
    /// Splits a whole table into parts of about `max_rows` rows. An empty table is one part.
    #[must_use]
    pub fn split(rows: &[Row], max_rows: usize) -> Vec<Self> {
        let parts = rows.len().div_ceil(max_rows.max(1)).clamp(1, usize::from(u8::MAX)) as u8;
        let mut split: Vec<Self> =
            (0..parts).map(|part| Self { part, parts, rows: Vec::new() }).collect();
        for row in rows {
            split[usize::from(row.endpoint.part_of(parts))].rows.push(*row);
        }
        split
    }

    /// Creates an update of some rows.
    #[must_use]
    pub fn update(rows: Vec<Row>) -> Self {
        Self { part: 0, parts: 0, rows }
    }

    fn replaces(&self, endpoint: EndpointKey) -> bool {
        self.parts > 0 && endpoint.part_of(self.parts) == self.part
    }
}

/// Table of one source.
#[derive(Clone, Debug, Default)]
struct SourceTable {
    rows: HashMap<EndpointKey, Work>,
    details: details::SourceDetails,
    at_ms: u64,
    origin: Origin,
}

impl SourceTable {
    fn is_stale(&self, now_ms: u64) -> bool {
        now_ms >= self.at_ms + TABLE_MAX_AGE_MS
    }

    /// Returns its age, summed over the entries whose work it holds.
    fn total_age_ms(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) + u64::from(self.origin.age_ms);
        u64::from(self.origin.entries) * age_ms
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    requests: u32,
    /// Requests of this entry there at that time.
    own_requests: u32,
    at_ms: u64,
}

/// Recently rejected requests by service: demand that no queue of an endpoint shows.
#[derive(Clone, Debug, Default)]
pub struct Rejections {
    at_ms: HashMap<CompactString, VecDeque<u64>>,
}

impl Rejections {
    /// How long a rejected request counts; callers retry after about this time.
    const RECENT_MS: u64 = 1_000;
    /// More than the slots of all endpoints that an operator orders at a time.
    const MAX_KEPT: usize = 4_096;

    pub fn record(&mut self, service: &CompactString, now_ms: u64) {
        let at_ms = self.at_ms.entry(service.clone()).or_default();
        if at_ms.len() >= Self::MAX_KEPT {
            at_ms.pop_front();
        }
        at_ms.push_back(now_ms);
    }

    /// Returns the recently rejected requests for a service.
    #[must_use]
    pub fn count(&self, service: &str, now_ms: u64) -> u32 {
        let recent = |at_ms: &&u64| now_ms < **at_ms + Self::RECENT_MS;
        self.at_ms
            .get(service)
            .map_or(0, |at_ms| at_ms.iter().rev().take_while(recent).count() as u32)
    }
}

/// Work in progress, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: HashMap<EndpointKey, Work>,
    /// Times of the latest sends of this entry.
    recent_sends: HashMap<EndpointKey, VecDeque<u64>>,
    /// Endpoints that got work from this entry since it last notified the others.
    unsent: BTreeSet<EndpointKey>,
    tables: HashMap<Source, SourceTable>,
    /// Work of the other entries: the sum of the active tables.
    others: HashMap<EndpointKey, Work>,
    /// When the last active table arrived.
    others_at_ms: u64,
    /// Whether an aggregator sends this entry the sum of all others; otherwise each source sends
    /// its own table.
    is_aggregated: bool,
    reports: HashMap<EndpointKey, Report>,
    used_parts: engine_memory::UsedParts,
    arrivals: gap_forecast::Arrivals,
}

impl LoadTable {
    pub fn add(&mut self, endpoint: EndpointKey, work: Work, now_ms: u64) {
        *self.own.entry(endpoint).or_default() += work;
        self.arrivals.record(endpoint, work.unread_tokens, now_ms);
        self.unsent.insert(endpoint);
        let recent_sends = self.recent_sends.entry(endpoint).or_default();
        if recent_sends.len() >= MAX_RECENT_SENDS {
            recent_sends.pop_front();
        }
        recent_sends.push_back(now_ms);
    }

    pub fn remove(&mut self, endpoint: EndpointKey, work: Work) {
        let Some(own) = self.own.get_mut(&endpoint) else {
            return;
        };
        *own = own.saturating_sub(work);
        if *own == Work::default() {
            self.own.remove(&endpoint);
        }
    }

    /// Returns the rows of this entry, for the other entries.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        rows_of(&self.own)
    }

    /// Returns the rows of endpoints that got work since the last call, at most `max_rows`.
    pub fn take_updates(&mut self, max_rows: usize) -> Vec<Row> {
        let unsent = std::mem::take(&mut self.unsent);
        let rows = unsent.into_iter().filter_map(|endpoint| {
            let work = self.own.get(&endpoint).copied()?;
            Some(Row { endpoint, work })
        });
        rows.take(max_rows).collect()
    }

    /// Applies part of a table from a source.
    pub fn apply(&mut self, source: Source, origin: Origin, update: &Rows, now_ms: u64) {
        let is_active = self.is_active(&source);
        if is_active {
            self.others_at_ms = now_ms;
        }
        let table = self.tables.entry(source).or_default();
        table.at_ms = now_ms;
        table.origin = origin;
        let (others, arrivals) = (&mut self.others, &mut self.arrivals);
        let mut change = |before: Work, after: Work, endpoint: EndpointKey| {
            if is_active {
                let sum = others.entry(endpoint).or_default();
                *sum = sum.saturating_sub(before) + after;
                let arrived_tokens = after.unread_tokens.saturating_sub(before.unread_tokens);
                arrivals.record(endpoint, arrived_tokens, now_ms);
            }
        };
        let updated: HashSet<EndpointKey> = update.rows.iter().map(|row| row.endpoint).collect();
        let details = &mut table.details;
        table.rows.retain(|endpoint, work| {
            let is_gone = update.replaces(*endpoint) && !updated.contains(endpoint);
            if is_gone {
                change(*work, Work::default(), *endpoint);
                details.remove(*endpoint);
            }
            !is_gone
        });
        for row in &update.rows {
            let work = details.complete(row.endpoint, row.work);
            let before = table.rows.insert(row.endpoint, work).unwrap_or_default();
            change(before, work, row.endpoint);
        }
    }

    /// Selects the active tables: the sum that an aggregator sends, or the tables of the single
    /// sources.
    pub fn set_aggregated(&mut self, is_aggregated: bool) {
        if self.is_aggregated != is_aggregated {
            self.is_aggregated = is_aggregated;
            self.sum_others();
        }
    }

    fn is_active(&self, source: &Source) -> bool {
        self.is_aggregated == (*source == Source::Others)
    }

    fn active_tables(&self) -> impl Iterator<Item = &SourceTable> {
        let active_tables = self.tables.iter().filter(|(source, _)| self.is_active(source));
        active_tables.map(|(_, table)| table)
    }

    fn sum_others(&mut self) {
        let mut others: HashMap<EndpointKey, Work> = HashMap::new();
        for table in self.active_tables() {
            for (endpoint, work) in &table.rows {
                *others.entry(*endpoint).or_default() += *work;
            }
        }
        self.others_at_ms = self.active_tables().map(|table| table.at_ms).max().unwrap_or(0);
        self.others = others;
    }

    /// Removes tables of sources that are gone, and sends that are too old for the send rate.
    pub fn sweep(&mut self, now_ms: u64) {
        let before = self.tables.len();
        self.tables.retain(|_, table| !table.is_stale(now_ms));
        if self.tables.len() != before {
            self.sum_others();
        }
        self.arrivals.sweep(now_ms);
        self.recent_sends.retain(|_, recent_sends| {
            recent_sends.retain(|sent_ms| now_ms < sent_ms + RATE_WINDOW_MS);
            !recent_sends.is_empty()
        });
    }

    /// Returns the work of this entry and of those that sent it their own tables, for other zones.
    #[must_use]
    pub fn zone_table(&self, now_ms: u64) -> (Origin, Vec<Row>) {
        let mut sum = self.own.clone();
        let (mut entries, mut total_age_ms) = (1, 0);
        for (source, table) in &self.tables {
            if matches!(source, Source::Entry(_)) {
                entries += 1;
                total_age_ms += table.total_age_ms(now_ms);
                for (endpoint, work) in &table.rows {
                    *sum.entry(*endpoint).or_default() += *work;
                }
            }
        }
        (Origin::of(entries, total_age_ms), rows_of(&sum))
    }

    /// Returns the work of all entries but `peer`, according to the active tables.
    #[must_use]
    pub fn table_excluding(&self, peer: u64, now_ms: u64) -> (Origin, Vec<Row>) {
        let own_table = self.tables.get(&Source::Entry(peer));
        let (mut entries, mut total_age_ms) = (1, 0);
        for table in self.active_tables() {
            entries += table.origin.entries;
            total_age_ms += table.total_age_ms(now_ms);
        }
        if let Some(table) = own_table {
            entries -= table.origin.entries.min(entries);
            total_age_ms -= table.total_age_ms(now_ms).min(total_age_ms);
        }
        let mut sum = self.own.clone();
        for (endpoint, work) in &self.others {
            *sum.entry(*endpoint).or_default() += *work;
        }
        for (endpoint, work) in own_table.into_iter().flat_map(|table| &table.rows) {
            if let Some(sum) = sum.get_mut(endpoint) {
                *sum = sum.saturating_sub(*work);
            }
        }
        (Origin::of(entries, total_age_ms), rows_of(&sum))
    }

    /// Records the running and waiting requests that an endpoint reported.
    pub fn record_report(&mut self, endpoint: EndpointKey, requests: u32, now_ms: u64) {
        let own_requests = self.own_at(endpoint).requests;
        self.reports.insert(endpoint, Report { requests, own_requests, at_ms: now_ms });
    }

    /// Returns the work of this entry at an endpoint.
    #[must_use]
    pub fn own_at(&self, endpoint: EndpointKey) -> Work {
        self.own.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns the work of the other entries at an endpoint according to their tables.
    #[must_use]
    pub fn others_at(&self, endpoint: EndpointKey, now_ms: u64) -> Work {
        let is_fresh = now_ms < self.others_at_ms + TABLE_MAX_AGE_MS;
        self.others.get(&endpoint).copied().filter(|_| is_fresh).unwrap_or_default()
    }

    /// Returns the requests of the other entries according to the endpoint's last report, and its
    /// age.
    #[must_use]
    pub fn report_at(&self, endpoint: EndpointKey, now_ms: u64) -> Option<(u32, u64)> {
        let report = self.reports.get(&endpoint)?;
        let age_ms = now_ms.saturating_sub(report.at_ms);
        let requests = report.requests.saturating_sub(report.own_requests);
        (age_ms < TABLE_MAX_AGE_MS).then_some((requests, age_ms))
    }

    /// Returns the mean age of the active tables, weighted by their entries; `None` without tables.
    #[must_use]
    pub fn others_age_ms(&self, now_ms: u64) -> Option<f64> {
        let fresh = self.active_tables().filter(|table| !table.is_stale(now_ms));
        let (entries, total_age_ms) = fresh.fold((0, 0), |(entries, age_ms), table| {
            (entries + table.origin.entries, age_ms + table.total_age_ms(now_ms))
        });
        (entries > 0).then(|| total_age_ms as f64 / f64::from(entries))
    }

    /// Returns all work known to be in progress at an endpoint.
    #[must_use]
    pub fn work_at(&self, endpoint: EndpointKey, now_ms: u64) -> Work {
        let mut work = self.own_at(endpoint) + self.others_at(endpoint, now_ms);
        if let Some(report) = self.reports.get(&endpoint)
            && now_ms < report.at_ms + REPORT_MAX_AGE_MS
        {
            work.requests = work.requests.max(report.requests);
        }
        work
    }

    /// Estimates the requests that the other entries have sent to an endpoint since their last
    /// tables, assuming that each sends at this entry's own rate.
    ///
    /// A document that suddenly becomes popular is sent to the endpoint that has it cached by all
    /// entries, each of which sees free slots there. Without the estimate they overfill it
    /// together, and less urgent requests are preempted.
    #[must_use]
    pub fn expected_unreported(&self, endpoint: EndpointKey, now_ms: u64) -> u32 {
        let Some(recent_sends) = self.recent_sends.get(&endpoint) else {
            return 0;
        };
        let recent =
            recent_sends.iter().rev().take_while(|sent_ms| now_ms < **sent_ms + RATE_WINDOW_MS);
        let per_ms = recent.count() as f64 / RATE_WINDOW_MS as f64;
        let fresh = self.active_tables().filter(|table| !table.is_stale(now_ms));
        let total_age_ms: u64 = fresh.map(|table| table.total_age_ms(now_ms)).sum();
        (per_ms * total_age_ms as f64).round() as u32
    }

    /// Returns the age of the oldest active table; zero if there are no other entries.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        let age_ms = |table: &SourceTable| {
            now_ms.saturating_sub(table.at_ms) + u64::from(table.origin.age_ms)
        };
        self.active_tables().map(age_ms).max().unwrap_or(0)
    }
}

impl Origin {
    fn of(entries: u32, total_age_ms: u64) -> Self {
        let age_ms = total_age_ms / u64::from(entries.max(1));
        Self { entries, age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX) }
    }
}

fn rows_of(work: &HashMap<EndpointKey, Work>) -> Vec<Row> {
    let under_way = work.iter().filter(|(_, work)| **work != Work::default());
    let mut rows: Vec<Row> =
        under_way.map(|(endpoint, work)| Row { endpoint: *endpoint, work: *work }).collect();
    rows.sort_unstable_by_key(|row| row.endpoint);
    rows
}
