//! Objects of the platform that cannot be read. Each is counted, and has to be logged, once for as long as it cannot
//! be read.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

/// Longest text of another writer that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 128;

/// Unreadable objects by kind, each as a hash that tells it from the others.
#[derive(Debug, Default)]
pub struct SetAside {
    by_kind: RefCell<HashMap<String, HashSet<u64>>>,
}

impl SetAside {
    /// Adds an object that cannot be read. Returns whether it is new, so that it has to be logged.
    pub fn add(&self, kind: &str, hash: u64) -> bool {
        let mut by_kind = self.by_kind.borrow_mut();
        let hashes = by_kind.entry(kind.to_owned()).or_default();
        let is_new = hashes.insert(hash);
        if is_new {
            metrics::counter!("briarwinch_objects_set_aside_total", "kind" => kind.to_owned())
                .increment(1);
            set_gauge(kind, hashes.len());
        }
        is_new
    }

    /// Removes an object that has been deleted or can be read.
    pub fn remove(&self, kind: &str, hash: impl FnOnce() -> u64) {
        let mut by_kind = self.by_kind.borrow_mut();
        if let Some(hashes) = by_kind.get_mut(kind).filter(|hashes| !hashes.is_empty())
            && hashes.remove(&hash())
        {
            set_gauge(kind, hashes.len());
        }
    }

    /// Removes the objects of a kind that a complete list does not have.
    pub fn retain_listed(&self, kind: &str, listed: impl Iterator<Item = u64>) {
        let mut by_kind = self.by_kind.borrow_mut();
        if let Some(hashes) = by_kind.get_mut(kind).filter(|hashes| !hashes.is_empty()) {
            let listed: HashSet<u64> = listed.collect();
            hashes.retain(|hash| listed.contains(hash));
            set_gauge(kind, hashes.len());
        }
    }
}

fn set_gauge(kind: &str, count: usize) {
    metrics::gauge!("briarwinch_objects_set_aside", "kind" => kind.to_owned()).set(count as f64);
}

/// Shortens text of another writer for the log.
#[must_use]
pub fn shortened(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
