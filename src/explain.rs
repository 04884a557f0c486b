//! What an entry remembers of its last requests, so that it can say what it did and why.

use std::collections::VecDeque;
use std::sync::Mutex;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Requests remembered; about half a kilobyte each.
const REMEMBERED: usize = 4096;

/// One offer that was weighed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Asked {
    pub endpoint: CompactString,
    pub zone: CompactString,
    /// `None`: no answer came in time.
    pub first_token_ms: Option<u32>,
    pub knows_prefix: bool,
}

/// One try to get a request served.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Attempt {
    pub asked: Vec<Asked>,
    pub chosen: Option<CompactString>,
    pub outcome: CompactString,
}

/// What happened to one request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Story {
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

/// The last requests, oldest dropped first.
#[derive(Debug, Default)]
pub struct Ring {
    stories: Mutex<VecDeque<Story>>,
}

impl Ring {
    pub fn push(&self, story: Story) {
        let Ok(mut stories) = self.stories.lock() else {
            return;
        };
        if stories.len() == REMEMBERED {
            stories.pop_front();
        }
        stories.push_back(story);
    }

    #[must_use]
    pub fn find(&self, request: &str) -> Option<Story> {
        let stories = self.stories.lock().ok()?;
        stories.iter().rev().find(|story| story.request == request).cloned()
    }
}
