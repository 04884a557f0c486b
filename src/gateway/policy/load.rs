//! What is under way at each endpoint: this entry's own requests exactly, the other entries' as they
//! tell.
//!
//! Endpoints' own reports are some hundred milliseconds old when they arrive, and all entries that
//! read the same report choose the same endpoint. What an entry has sent itself it knows at once.

use std::collections::{BTreeSet, HashMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::directory::EndpointKey;

/// A table older than this says nothing: who told of it is gone or cut off.
const TABLE_OLD_MS: u64 = 2_000;
/// How long what an endpoint says of its load is believed.
const REPORT_OLD_MS: u64 = 300;

/// Over this time an entry's rate of sends to an endpoint is taken.
const RATE_MS: u64 = 1_000;
/// Sends to one endpoint that are remembered by their time: more than an entry makes within
/// [`RATE_MS`] to an endpoint that is not full.
const MAX_LATEST: usize = 64;

/// Work under way at an endpoint.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    derive_more::Add,
    derive_more::AddAssign,
)]
pub struct Work {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens that have to be read before the first event, of requests without one.
    pub unread_tokens: u64,
}

impl Work {
    fn less(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
        }
    }
}

/// One endpoint's line in a table of work.
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
    /// All entries of an availability zone, summed.
    Zone(CompactString),
    /// All entries but the one that is told, summed.
    Others,
}

/// How many entries' work a table sums, and how old it is on average.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub entries: u32,
    pub age_ms: u32,
}

/// Part of a table, as one message carries it: the endpoints whose key falls into this one of so many
/// parts. A table that is told in no parts is an update: it says nothing of the endpoints it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    pub part: u8,
    pub parts: u8,
    pub rows: Vec<Row>,
}

impl Rows {
    /// A whole table in parts of about this many rows; an empty one is one part.
    #[must_use]
    pub fn split(rows: &[Row], most: usize) -> Vec<Self> {
        let parts = rows.len().div_ceil(most.max(1)).clamp(1, usize::from(u8::MAX)) as u8;
        let mut split: Vec<Self> =
            (0..parts).map(|part| Self { part, parts, rows: Vec::new() }).collect();
        for row in rows {
            split[usize::from(row.endpoint.part_of(parts))].rows.push(*row);
        }
        split
    }

    /// An update of some rows.
    #[must_use]
    pub fn update(rows: Vec<Row>) -> Self {
        Self { part: 0, parts: 0, rows }
    }

    fn replaces(&self, endpoint: EndpointKey) -> bool {
        self.parts > 0 && endpoint.part_of(self.parts) == self.part
    }
}

#[derive(Clone, Debug, Default)]
struct SourceTable {
    rows: HashMap<EndpointKey, Work>,
    at_ms: u64,
    origin: Origin,
}

impl SourceTable {
    fn is_old(&self, now_ms: u64) -> bool {
        now_ms >= self.at_ms + TABLE_OLD_MS
    }

    /// Its age, summed over the entries whose work it holds.
    fn ages_ms(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) + u64::from(self.origin.age_ms);
        u64::from(self.origin.entries) * age_ms
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    requests: u32,
    at_ms: u64,
}

/// Requests that were turned away lately, by service: demand that stands in no endpoint's queue.
#[derive(Clone, Debug, Default)]
pub struct Rejections {
    at_ms: HashMap<CompactString, VecDeque<u64>>,
}

impl Rejections {
    /// How long a request that was turned away counts; its caller comes back after about this.
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

    /// Requests for a service that were turned away just now.
    #[must_use]
    pub fn count(&self, service: &str, now_ms: u64) -> u32 {
        let recent = |at_ms: &&u64| now_ms < **at_ms + Self::RECENT_MS;
        self.at_ms
            .get(service)
            .map_or(0, |at_ms| at_ms.iter().rev().take_while(recent).count() as u32)
    }
}

/// Work under way, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: HashMap<EndpointKey, Work>,
    /// When this entry made its latest sends.
    latest: HashMap<EndpointKey, VecDeque<u64>>,
    /// Endpoints that have got work from here since the other entries were told last.
    untold: BTreeSet<EndpointKey>,
    tables: HashMap<Source, SourceTable>,
    /// What the other entries have under way: the sum of the tables that count.
    others: HashMap<EndpointKey, Work>,
    /// When a table that counts was told last.
    others_ms: u64,
    /// An aggregator tells this entry of all others; else it goes by the tables of each.
    is_told: bool,
    reports: HashMap<EndpointKey, Report>,
}

impl LoadTable {
    pub fn add(&mut self, endpoint: EndpointKey, work: Work, now_ms: u64) {
        *self.own.entry(endpoint).or_default() += work;
        self.untold.insert(endpoint);
        let latest = self.latest.entry(endpoint).or_default();
        if latest.len() >= MAX_LATEST {
            latest.pop_front();
        }
        latest.push_back(now_ms);
    }

    pub fn remove(&mut self, endpoint: EndpointKey, work: Work) {
        let Some(own) = self.own.get_mut(&endpoint) else {
            return;
        };
        *own = own.less(work);
        if *own == Work::default() {
            self.own.remove(&endpoint);
        }
    }

    /// This entry's part, for the other entries.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        rows_of(&self.own)
    }

    /// The rows of endpoints that have got work since the last call, at most this many.
    pub fn take_updates(&mut self, most: usize) -> Vec<Row> {
        let untold = std::mem::take(&mut self.untold);
        let rows = untold.into_iter().filter_map(|endpoint| {
            let work = self.own.get(&endpoint).copied()?;
            Some(Row { endpoint, work })
        });
        rows.take(most).collect()
    }

    /// Takes part of a table.
    pub fn apply(&mut self, source: Source, origin: Origin, told: &Rows, now_ms: u64) {
        let counts = self.counts(&source);
        if counts {
            self.others_ms = now_ms;
        }
        let table = self.tables.entry(source).or_default();
        table.at_ms = now_ms;
        table.origin = origin;
        let others = &mut self.others;
        let mut change = |before: Work, after: Work, endpoint: EndpointKey| {
            if counts {
                let sum = others.entry(endpoint).or_default();
                *sum = sum.less(before) + after;
            }
        };
        table.rows.retain(|endpoint, work| {
            let is_replaced = told.replaces(*endpoint);
            if is_replaced {
                change(*work, Work::default(), *endpoint);
            }
            !is_replaced
        });
        for row in &told.rows {
            let before = table.rows.insert(row.endpoint, row.work).unwrap_or_default();
            change(before, row.work, row.endpoint);
        }
    }

    /// Goes by what an aggregator tells of all others, or by the tables of each.
    pub fn set_aggregated(&mut self, is_told: bool) {
        if self.is_told != is_told {
            self.is_told = is_told;
            self.sum_others();
        }
    }

    fn counts(&self, source: &Source) -> bool {
        self.is_told == (*source == Source::Others)
    }

    fn counted(&self) -> impl Iterator<Item = &SourceTable> {
        let counted = self.tables.iter().filter(|(source, _)| self.counts(source));
        counted.map(|(_, table)| table)
    }

    fn sum_others(&mut self) {
        let mut others: HashMap<EndpointKey, Work> = HashMap::new();
        for table in self.counted() {
            for (endpoint, work) in &table.rows {
                *others.entry(*endpoint).or_default() += *work;
            }
        }
        self.others_ms = self.counted().map(|table| table.at_ms).max().unwrap_or(0);
        self.others = others;
    }

    /// Drops tables of sources that are gone, and sends of which no rate is taken any more.
    pub fn sweep(&mut self, now_ms: u64) {
        let before = self.tables.len();
        self.tables.retain(|_, table| !table.is_old(now_ms));
        if self.tables.len() != before {
            self.sum_others();
        }
        self.latest.retain(|_, latest| {
            latest.retain(|sent_ms| now_ms < sent_ms + RATE_MS);
            !latest.is_empty()
        });
    }

    /// The work of this entry and of those that have told it of theirs, for other zones.
    #[must_use]
    pub fn zone_table(&self, now_ms: u64) -> (Origin, Vec<Row>) {
        let mut sum = self.own.clone();
        let (mut entries, mut ages_ms) = (1, 0);
        for (source, table) in &self.tables {
            if matches!(source, Source::Entry(_)) {
                entries += 1;
                ages_ms += table.ages_ms(now_ms);
                for (endpoint, work) in &table.rows {
                    *sum.entry(*endpoint).or_default() += *work;
                }
            }
        }
        (Origin::of(entries, ages_ms), rows_of(&sum))
    }

    /// The work of all entries but one, as far as this entry goes by the tables of each.
    #[must_use]
    pub fn table_excluding(&self, peer: u64, now_ms: u64) -> (Origin, Vec<Row>) {
        let own_table = self.tables.get(&Source::Entry(peer));
        let (mut entries, mut ages_ms) = (1, 0);
        for table in self.counted() {
            entries += table.origin.entries;
            ages_ms += table.ages_ms(now_ms);
        }
        if let Some(table) = own_table {
            entries -= table.origin.entries.min(entries);
            ages_ms -= table.ages_ms(now_ms).min(ages_ms);
        }
        let mut sum = self.own.clone();
        for (endpoint, work) in &self.others {
            *sum.entry(*endpoint).or_default() += *work;
        }
        for (endpoint, work) in own_table.into_iter().flat_map(|table| &table.rows) {
            if let Some(sum) = sum.get_mut(endpoint) {
                *sum = sum.less(*work);
            }
        }
        (Origin::of(entries, ages_ms), rows_of(&sum))
    }

    /// Takes what an endpoint said of its running and waiting requests.
    pub fn record_report(&mut self, endpoint: EndpointKey, requests: u32, now_ms: u64) {
        self.reports.insert(endpoint, Report { requests, at_ms: now_ms });
    }

    /// All work known to be under way at an endpoint.
    #[must_use]
    pub fn work_at(&self, endpoint: EndpointKey, now_ms: u64) -> Work {
        let own = self.own.get(&endpoint).copied().unwrap_or_default();
        let others = self.others.get(&endpoint).filter(|_| now_ms < self.others_ms + TABLE_OLD_MS);
        let mut work = own + others.copied().unwrap_or_default();
        if let Some(report) = self.reports.get(&endpoint)
            && now_ms < report.at_ms + REPORT_OLD_MS
        {
            work.requests = work.requests.max(report.requests);
        }
        work
    }

    /// Requests that the other entries are expected to have sent to an endpoint and not told yet: each
    /// at this entry's own rate since it was told of.
    ///
    /// A document that becomes popular at once is sent to its home by all entries, each of which sees
    /// free places there; without this they overfill it together, and what is less urgent is stopped.
    #[must_use]
    pub fn expected_unreported(&self, endpoint: EndpointKey, now_ms: u64) -> u32 {
        let Some(latest) = self.latest.get(&endpoint) else {
            return 0;
        };
        let recent = latest.iter().rev().take_while(|sent_ms| now_ms < **sent_ms + RATE_MS);
        let per_ms = recent.count() as f64 / RATE_MS as f64;
        let fresh = self.counted().filter(|table| !table.is_old(now_ms));
        let ages_ms: u64 = fresh.map(|table| table.ages_ms(now_ms)).sum();
        (per_ms * ages_ms as f64).round() as u32
    }

    /// Age of the oldest table that counts; zero where there are no other entries.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        let age_ms = |table: &SourceTable| {
            now_ms.saturating_sub(table.at_ms) + u64::from(table.origin.age_ms)
        };
        self.counted().map(age_ms).max().unwrap_or(0)
    }
}

impl Origin {
    fn of(entries: u32, ages_ms: u64) -> Self {
        let age_ms = ages_ms / u64::from(entries.max(1));
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
