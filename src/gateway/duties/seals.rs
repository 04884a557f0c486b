//! The list of sealed windows that the duty holder keeps in the store, and how it is confirmed after the store
//! has come back from an older copy. Without I/O.
//!
//! Each window is sealed before it is reported, so that every holder reports the same figures for it. A copy
//! lacks the newest seals. A holder that sealed these windows again would report other figures for windows that
//! the platform has had, so it withholds those of which nobody knows the seal: a missing report is a loss, but
//! two different ones contradict each other.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::store::Era;

/// Number of seals kept; a report is due two windows after a window's end.
pub const KEPT_SEALS: usize = 8;

/// The final figures of a billing window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    pub window: u64,
    /// Number of requests that began to run, by client account.
    pub counts: BTreeMap<CompactString, u32>,
}

/// An element of the list in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Seal {
    #[serde(flatten)]
    sealed: SealedWindow,
    /// Era of the store in which the list was confirmed; zero if the store named none.
    #[serde(default)]
    era: u64,
    /// Set if this window and all earlier ones without a seal are never reported.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_withheld: bool,
}

/// Sealed windows, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seals {
    list: Vec<Seal>,
}

impl Seals {
    /// Returns the windows to be reported.
    pub fn reportable(&self) -> impl Iterator<Item = &SealedWindow> {
        self.list.iter().filter(|seal| !seal.is_withheld).map(|seal| &seal.sealed)
    }

    /// Returns the first window after all sealed and withheld ones.
    #[must_use]
    pub fn first_unsealed(&self) -> u64 {
        self.list.iter().map(|seal| seal.sealed.window + 1).max().unwrap_or(0)
    }

    /// Adds the seal of a window.
    pub fn push(&mut self, sealed: SealedWindow, era: Era) {
        self.list.push(Seal { sealed, era: era.0, is_withheld: false });
        self.drop_oldest();
    }

    /// Returns whether the list was confirmed in this era. A list from an older era may lack seals that the
    /// store has lost since.
    #[must_use]
    pub fn is_confirmed_in(&self, era: Era) -> bool {
        era == Era::default() || self.list.iter().any(|seal| seal.era == era.0)
    }

    /// Confirms the list in a new era: adds seals that this entry remembers, and withholds the windows up to
    /// `last_in_doubt` that have none. Returns the withheld windows, if any.
    pub fn confirm(
        &mut self,
        remembered: &Self,
        era: Era,
        last_in_doubt: Option<u64>,
    ) -> Option<std::ops::RangeInclusive<u64>> {
        for seal in &remembered.list {
            if self.list.iter().all(|one| one.sealed.window != seal.sealed.window) {
                self.list.push(seal.clone());
            }
        }
        self.list.sort_by_key(|seal| seal.sealed.window);
        let first = self.first_unsealed();
        let withheld = last_in_doubt.filter(|last| first <= *last).map(|last| first..=last);
        if let Some(withheld) = &withheld {
            let sealed = SealedWindow { window: *withheld.end(), counts: BTreeMap::new() };
            self.list.push(Seal { sealed, era: era.0, is_withheld: true });
        }
        self.list.iter_mut().for_each(|seal| seal.era = era.0);
        self.drop_oldest();
        withheld
    }

    fn drop_oldest(&mut self) {
        let excess = self.list.len().saturating_sub(KEPT_SEALS);
        self.list.drain(..excess);
    }
}
