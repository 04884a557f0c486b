//! Records of the latest requests of an entry, which explain how each was handled and why.

use std::collections::VecDeque;
use std::sync::Mutex;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Number of records kept; each takes about 0.5 kB.
const MAX_RECORDS: usize = 4096;

/// An endpoint that was asked for an offer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Candidate {
    pub endpoint: CompactString,
    pub zone: CompactString,
    /// Offered time to first token; `None` if no answer came in time.
    pub first_token_ms: Option<u32>,
    pub knows_prefix: bool,
}

/// One attempt to have a request served.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Attempt {
    pub asked: Vec<Candidate>,
    pub chosen: Option<CompactString>,
    pub outcome: CompactString,
}

/// How one request was handled.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestRecord {
    pub request: CompactString,
    pub trace_id: String,
    pub account: CompactString,
    pub key: CompactString,
    pub class: CompactString,
    pub service: CompactString,
    pub config_version: u64,
    pub attempts: Vec<Attempt>,
    pub status: u16,
    pub outcome: CompactString,
    pub ran: CompactString,
    pub queue_ms: Option<u32>,
    pub first_token_ms: Option<u64>,
    pub total_ms: u64,
    pub tokens: u32,
    pub body_bytes: u64,
}

/// The records of the latest requests; the oldest one is dropped first.
#[derive(Debug, Default)]
pub struct RequestHistory {
    records: Mutex<VecDeque<RequestRecord>>,
}

impl RequestHistory {
    pub fn push(&self, record: RequestRecord) {
        let Ok(mut records) = self.records.lock() else {
            return;
        };
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    #[must_use]
    pub fn find(&self, request: &str) -> Option<RequestRecord> {
        let records = self.records.lock().ok()?;
        records.iter().rev().find(|record| record.request == request).cloned()
    }
}
