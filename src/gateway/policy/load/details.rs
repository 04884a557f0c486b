//! Details of the work in progress, which entries send each other less often than its amount: streams by gap
//! limit, and the memory that requests hold.

use std::collections::HashMap;
use std::ops;

use serde::{Deserialize, Serialize};

use super::{LoadTable, Row, Source, SourceTable, Work};
use crate::gateway::directory::EndpointKey;
use crate::gateway::policy::{engine_memory, gap_forecast};
use crate::gateway::request::PromptPart;

/// Unit of memory in messages, in tokens.
const BLOCK_TOKENS: u64 = 256;

impl ops::Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        let mut streams = self.streams;
        for (count, added) in streams.iter_mut().zip(other.streams) {
            *count = count.saturating_add(added);
        }
        Self {
            requests: self.requests + other.requests,
            unread_tokens: self.unread_tokens + other.unread_tokens,
            streams,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }
}

impl ops::AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Details of the requests of one source at an endpoint, as of one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DetailRow {
    pub endpoint: EndpointKey,
    /// Number of requests that the details are about.
    requests: u32,
    streams: [u16; gap_forecast::GAP_CLASSES],
    /// Rounded up, so that memory is never underestimated.
    memory_blocks: u32,
}

impl DetailRow {
    /// Returns the details of a row; `None` if it has none.
    #[must_use]
    pub fn of(row: &Row) -> Option<Self> {
        let work = row.work;
        let has_details = work.memory_tokens > 0 || work.streams.iter().any(|count| *count > 0);
        let memory_blocks = work.memory_tokens.div_ceil(BLOCK_TOKENS);
        has_details.then(|| Self {
            endpoint: row.endpoint,
            requests: work.requests.max(1),
            streams: work.streams,
            memory_blocks: u32::try_from(memory_blocks).unwrap_or(u32::MAX),
        })
    }

    fn memory_tokens(&self) -> u64 {
        u64::from(self.memory_blocks) * BLOCK_TOKENS
    }
}

/// Details that one source has sent.
#[derive(Clone, Debug, Default)]
pub(super) struct SourceDetails {
    rows: HashMap<EndpointKey, DetailRow>,
    /// Mean memory of a request, for endpoints whose details have not arrived.
    mean_memory_tokens: u64,
    at_ms: u64,
}

impl SourceDetails {
    /// Returns the work at an endpoint with details, scaled by the change in requests since they were sent.
    pub(super) fn complete(&self, endpoint: EndpointKey, work: Work) -> Work {
        let requests = u64::from(work.requests);
        let Some(row) = self.rows.get(&endpoint) else {
            return Work { memory_tokens: self.mean_memory_tokens * requests, ..work };
        };
        let then = u64::from(row.requests.max(1));
        let scale = |count: u64| (count * requests).div_ceil(then);
        Work {
            streams: row
                .streams
                .map(|count| u16::try_from(scale(u64::from(count))).unwrap_or(u16::MAX)),
            memory_tokens: scale(row.memory_tokens()),
            ..work
        }
    }

    pub(super) fn remove(&mut self, endpoint: EndpointKey) {
        self.rows.remove(&endpoint);
    }

    fn update_mean(&mut self) {
        let requests: u64 = self.rows.values().map(|row| u64::from(row.requests)).sum();
        let tokens: u64 = self.rows.values().map(DetailRow::memory_tokens).sum();
        self.mean_memory_tokens = tokens / requests.max(1);
    }
}

impl SourceTable {
    fn apply_detail(&mut self, row: &DetailRow) -> Option<(Work, Work)> {
        let work = self.rows.get_mut(&row.endpoint)?;
        let before = *work;
        self.details.rows.insert(row.endpoint, *row);
        *work = self.details.complete(row.endpoint, before);
        Some((before, *work))
    }
}

impl LoadTable {
    /// Applies details from a source. Those of endpoints that its table lacks are ignored.
    pub fn apply_details(&mut self, source: &Source, rows: &[DetailRow], now_ms: u64) {
        let is_active = self.is_active(source);
        let Some(table) = self.tables.get_mut(source) else {
            return;
        };
        for row in rows {
            if let Some((before, after)) = table.apply_detail(row)
                && is_active
            {
                let sum = self.others.entry(row.endpoint).or_default();
                *sum = sum.saturating_sub(before) + after;
            }
        }
        table.details.update_mean();
        table.details.at_ms = now_ms;
    }

    /// Returns whether any known request has details.
    #[must_use]
    pub fn has_details(&self) -> bool {
        let mut all = self.own.iter().chain(&self.others);
        all.any(|(endpoint, work)| {
            DetailRow::of(&Row { endpoint: *endpoint, work: *work }).is_some()
        })
    }

    /// Returns the time since the last details of a source arrived, for the source with the oldest; `None` if
    /// none has sent any.
    #[must_use]
    pub fn details_age_ms(&self, now_ms: u64) -> Option<u64> {
        let sent = self.active_tables().filter(|table| table.details.at_ms > 0);
        sent.map(|table| now_ms.saturating_sub(table.details.at_ms)).max()
    }

    /// Adds a use of shared prompt parts by a request of this entry. Parts that are already in use there take
    /// no memory.
    pub fn add_used_parts(&mut self, endpoint: EndpointKey, parts: &[PromptPart]) {
        let added_tokens = self.used_parts.add(endpoint, parts);
        if added_tokens > 0 {
            self.own.entry(endpoint).or_default().memory_tokens += added_tokens;
        }
    }

    /// Removes a use of shared prompt parts.
    pub fn remove_used_parts(&mut self, endpoint: EndpointKey, parts: &[PromptPart]) {
        let memory_tokens = self.used_parts.remove(endpoint, parts);
        self.remove(endpoint, Work { memory_tokens, ..Work::default() });
    }

    /// Shared prompt parts that this entry's requests use.
    #[must_use]
    pub fn used_parts(&self) -> &engine_memory::UsedParts {
        &self.used_parts
    }

    /// Prompts that have arrived at each endpoint recently.
    #[must_use]
    pub fn arrivals(&self) -> &gap_forecast::Arrivals {
        &self.arrivals
    }
}
