//! Billing by the duty holder. A window's counts are sealed in the store and then reported, so that every
//! holder reports the same figures for a window, also when a report is sent again. Counts of open windows
//! are saved in the store, so that they survive the death of all entries.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::control::{Control, Holder, Platform};
use crate::gateway::duties::election;
use crate::gateway::fleet::pulls;
use crate::lease;
use crate::store::Condition;

const SEALS_KEY: &str = "briarwinch-usage/sealed";
/// Maximum duration of a call under the lease; a call starts only while at least this much of the term
/// remains.
const CALL_MS: u64 = 1_300;
/// Number of peers that a new holder asks for counts. Entries that have ended sent theirs to the holder at
/// that time and the entries next in line, and while the store is unavailable no one else has them.
const MAX_GATHER_PEERS: usize = 4;
/// Number of sealed windows kept in the store; a report is due two windows after a window's end.
const KEPT_SEALS: usize = 8;

/// The final figures of a billing window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedWindow {
    pub window: u64,
    /// Number of requests that began to run, by client account.
    pub counts: BTreeMap<CompactString, u32>,
}

/// Pause after a failed call to the store or the platform.
const RETRY_MS: u64 = 500;
/// Minimum interval between two writes of the open windows' counts. If all entries die together, the counts
/// of this interval are lost; it is below the tolerance, a twentieth of a five-second window.
const SAVE_INTERVAL_MS: u64 = 200;
/// Maximum rate of these writes in bytes; with many entries the interval grows.
const SAVE_BYTES_PER_S: u64 = 150_000;
const OPEN_KEY: &str = "briarwinch-usage/open";

/// The counts of open windows in the store.
#[derive(Debug, Default)]
struct Saved {
    version: u64,
    text: String,
    next_ms: u64,
}

/// Billing state of the duty holder.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Billing {
    /// The stored counts of open windows; none until they are read.
    saved: Option<Saved>,
    /// Time before which no call is made, after a failed one.
    retry_ms: u64,
    /// The sealed windows in the store with the object's version; none until they are read.
    seals: Option<(u64, Vec<SealedWindow>)>,
    reported: BTreeSet<u64>,
    /// Whether the former collectors were asked for their counts.
    has_gathered_counts: bool,
    /// Time at which this holder began to bill.
    since_ms: Option<u64>,
}

impl Billing {
    /// Saves the open counts, then seals or reports the next window that is due.
    pub(in crate::gateway) async fn tick<P: Platform>(
        &mut self,
        control: &Control<P>,
        contender: &lease::Contender,
    ) -> election::Tick {
        let now_ms = control.now_ms();
        let Some(fence) = contender.epoch_with_remaining(now_ms, CALL_MS) else {
            return election::Tick::Done;
        };
        self.since_ms.get_or_insert(now_ms);
        if now_ms < self.retry_ms {
            return election::Tick::Done;
        }
        let is_read = (self.saved.is_some() || self.load_counts(control).await)
            && (self.seals.is_some() || self.read_seals(control).await);
        if !is_read {
            self.retry_ms = now_ms + RETRY_MS;
            return election::Tick::Done;
        }
        if !self.has_gathered_counts {
            self.has_gathered_counts = true;
            let peers = control.exchange.borrow().peers.strongest(MAX_GATHER_PEERS, now_ms);
            pulls::gather_counts(control, &peers).await;
            return election::Tick::Done;
        }
        self.save_counts(control).await;
        if let Some(sealed) = self.due_window(control) {
            self.seal(control, sealed).await;
            return election::Tick::Again;
        }
        let Some((_, seals)) = &self.seals else {
            return election::Tick::Done;
        };
        let next = seals.iter().find(|sealed| !self.reported.contains(&sealed.window)).cloned();
        let Some(sealed) = next else {
            return election::Tick::Done;
        };
        let holder = Holder { id: control.shared.settings.id.clone(), fence };
        self.report(control, &holder, &sealed).await;
        election::Tick::Again
    }

    async fn report<P: Platform>(
        &mut self,
        control: &Control<P>,
        holder: &Holder,
        sealed: &SealedWindow,
    ) {
        match control.platform.report_usage(holder, sealed).await {
            Ok(()) => {
                slog::info!(control.log, "usage reported"; "window" => sealed.window,
                    "requests" => sealed.counts.values().sum::<u32>(), "fence" => holder.fence.0);
                self.reported.insert(sealed.window);
            }
            Err(failure) => {
                self.retry_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "usage not reported"; "window" => sealed.window,
                    "failure" => failure.to_string());
            }
        }
    }

    async fn read_seals<P: Platform>(&mut self, control: &Control<P>) -> bool {
        match control.platform.get(SEALS_KEY).await {
            Ok(None) => self.seals = Some((0, Vec::new())),
            Ok(Some(object)) => {
                let seals = serde_json::from_str(&object.value).unwrap_or_else(|error| {
                    slog::error!(control.log, "stored sealed windows cannot be decoded";
                        "error" => error.to_string());
                    Vec::new()
                });
                self.seals = Some((object.version, seals));
            }
            Err(failure) => {
                slog::info!(control.log, "reading sealed windows failed";
                    "failure" => failure.to_string());
                return false;
            }
        }
        true
    }

    /// Returns the next window that is over, not sealed yet, and complete enough to be sealed.
    fn due_window<P>(&self, control: &Control<P>) -> Option<SealedWindow> {
        let (_, seals) = self.seals.as_ref()?;
        let window_ms = control.shared.billing_window_ms();
        let (now_ms, unix_ms) = (control.now_ms(), control.shared.time.unix_ms());
        let last = (unix_ms / window_ms).checked_sub(1)?;
        let tally = control.shared.tally();
        // Counts that arrive after a window's seal are not added: a report never changes.
        let first = first_unsealed(seals).max(last.saturating_sub(KEPT_SEALS as u64 / 2));
        let (window, counts) = (first..=last)
            .map(|window| (window, tally.sum(window)))
            .find(|(_, counts)| !counts.is_empty())?;
        let end_ms = (window + 1) * window_ms;
        // Entries that vanished since the window began may just be partitioned, so they are awaited too.
        let since_ms = now_ms.saturating_sub(unix_ms.saturating_sub(window * window_ms));
        let is_complete_here = control.shared.counted_until_ms() >= end_ms;
        let exchange = control.exchange.borrow();
        let is_due = control.watermarks.borrow().may_seal(
            end_ms,
            unix_ms,
            now_ms.saturating_sub(self.since_ms.unwrap_or(now_ms)),
            is_complete_here,
            exchange.peers.boots_since(since_ms),
        );
        is_due.then_some(SealedWindow { window, counts })
    }

    async fn seal<P: Platform>(&mut self, control: &Control<P>, sealed: SealedWindow) {
        let Some((version, seals)) = self.seals.take() else {
            return;
        };
        let mut seals = seals;
        seals.push(sealed);
        let excess = seals.len().saturating_sub(KEPT_SEALS);
        seals.drain(..excess);
        let condition = Condition::at(version);
        let value = serde_json::to_string(&seals).unwrap_or_default();
        match control.platform.put(SEALS_KEY, value, condition).await {
            Ok(version) => self.seals = Some((version, seals)),
            // The seals are read again first: the write may have taken effect, or another one came first.
            Err(failure) => {
                self.retry_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "window not sealed"; "failure" => failure.to_string());
            }
        }
    }

    /// Loads the counts that former holders saved; all entries that counted them may be dead.
    async fn load_counts<P: Platform>(&mut self, control: &Control<P>) -> bool {
        match control.platform.get(OPEN_KEY).await {
            Ok(None) => self.saved = Some(Saved::default()),
            Ok(Some(object)) => {
                match serde_json::from_str(&object.value) {
                    Ok(saved) => control.shared.tally().load(&saved),
                    Err(error) => {
                        slog::error!(control.log, "stored usage counts cannot be decoded";
                            "error" => error.to_string());
                    }
                }
                self.saved = Some(Saved { version: object.version, ..Saved::default() });
            }
            Err(failure) => {
                slog::info!(control.log, "reading saved usage counts failed";
                    "failure" => failure.to_string());
                return false;
            }
        }
        true
    }

    /// Saves the counts of the windows that are not sealed, if they have changed and the interval has passed.
    async fn save_counts<P: Platform>(&mut self, control: &Control<P>) {
        let now_ms = control.now_ms();
        let Some(saved) = self.saved.as_mut().filter(|saved| now_ms >= saved.next_ms) else {
            return;
        };
        let first = self.seals.as_ref().map_or(0, |(_, seals)| first_unsealed(seals));
        let counts = control.shared.tally().save(first);
        let text = serde_json::to_string(&counts).unwrap_or_default();
        if text == saved.text {
            return;
        }
        let condition = Condition::at(saved.version);
        match control.platform.put(OPEN_KEY, text.clone(), condition).await {
            Ok(version) => {
                let pause_ms = SAVE_INTERVAL_MS.max(text.len() as u64 * 1_000 / SAVE_BYTES_PER_S);
                *saved = Saved { version, text, next_ms: now_ms + pause_ms };
            }
            Err(failure) => {
                slog::info!(control.log, "counts not saved"; "failure" => failure.to_string());
                self.saved = None;
                self.retry_ms = now_ms + RETRY_MS;
            }
        }
    }
}

/// Returns the first window after all sealed ones.
fn first_unsealed(seals: &[SealedWindow]) -> u64 {
    seals.iter().map(|sealed| sealed.window + 1).max().unwrap_or(0)
}
