//! Billing by the holder of the duties: windows are sealed in the store and then reported, so that
//! every holder reports the same figures however often a report is sent. Counts of open windows are
//! saved, so that they outlast the death of all entries.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::gateway::control::{Control, Holder, Platform};
use crate::gateway::duties::duty;
use crate::gateway::fleet::pulls;
use crate::lease;
use crate::store::Condition;

const SEALS_KEY: &str = "briarwinch-usage/sealed";
/// A call under a duty takes at most this; so much of the term has to be left.
const CALL_MS: u64 = 1_300;
/// Peers that a new holder asks for counts: entries that have ended sent theirs to the holder of their time and
/// the next in line, and while the store is away nobody else has them.
const KEEPERS: usize = 4;
/// Seals kept in the store; a report is due two windows after a window's end.
const KEPT_SEALS: usize = 8;

/// The final figures of a billing window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    pub window: u64,
    /// Requests that began to run, by client account.
    pub counts: BTreeMap<CompactString, u32>,
}

/// Pause after the store failed a call of billing.
const RETRY_MS: u64 = 500;
/// How often the counts of windows that are still open are written, at most: what is lost when all
/// entries die at once is this much of a window of five seconds, below the tolerance of a
/// twentieth.
const SAVE_MS: u64 = 200;
/// Bytes a second that these writes may come to; with many entries they come less often.
const SAVE_BYTES_PER_S: u64 = 150_000;
const OPEN_KEY: &str = "briarwinch-usage/open";

/// Counts that outlast the death of all entries.
#[derive(Debug, Default)]
struct Saved {
    version: u64,
    text: String,
    next_ms: u64,
}

/// Billing, as the holder of the duties knows it.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Billing {
    /// What was saved of open windows, once read.
    saved: Option<Saved>,
    /// Nothing is tried before this time.
    retry_ms: u64,
    /// What the store holds, once read, with its version.
    seals: Option<(u64, Vec<Sealed>)>,
    reported: BTreeSet<u64>,
    /// Those that kept counts before this holder did were asked for them.
    has_gathered: bool,
    /// When this holder began to bill.
    since_ms: Option<u64>,
}

impl Billing {
    /// Seals or reports the next window that is due.
    pub(in crate::gateway) async fn tick<P: Platform>(
        &mut self,
        control: &Control<P>,
        contender: &lease::Contender,
    ) -> duty::Tick {
        let now_ms = control.now_ms();
        let Some(fence) = contender.epoch_for(now_ms, CALL_MS) else {
            return duty::Tick::Done;
        };
        self.since_ms.get_or_insert(now_ms);
        if now_ms < self.retry_ms {
            return duty::Tick::Done;
        }
        let is_read = (self.saved.is_some() || self.load(control).await)
            && (self.seals.is_some() || self.read(control).await);
        if !is_read {
            self.retry_ms = now_ms + RETRY_MS;
            return duty::Tick::Done;
        }
        if !self.has_gathered {
            self.has_gathered = true;
            let peers = control.exchange.borrow().peers.strongest(KEEPERS, now_ms);
            pulls::gather_counts(control, &peers).await;
            return duty::Tick::Done;
        }
        self.save(control).await;
        if let Some(sealed) = self.due(control) {
            self.seal(control, sealed).await;
            return duty::Tick::Again;
        }
        let Some((_, seals)) = &self.seals else {
            return duty::Tick::Done;
        };
        let next = seals.iter().find(|sealed| !self.reported.contains(&sealed.window)).cloned();
        let Some(sealed) = next else {
            return duty::Tick::Done;
        };
        let holder = Holder { id: control.shared.settings.id.clone(), fence };
        self.report(control, &holder, &sealed).await;
        duty::Tick::Again
    }

    async fn report<P: Platform>(
        &mut self,
        control: &Control<P>,
        holder: &Holder,
        sealed: &Sealed,
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

    async fn read<P: Platform>(&mut self, control: &Control<P>) -> bool {
        match control.platform.get(SEALS_KEY).await {
            Ok(None) => self.seals = Some((0, Vec::new())),
            Ok(Some(object)) => {
                let seals = serde_json::from_str(&object.value).unwrap_or_else(|error| {
                    slog::error!(control.log, "seals not readable"; "error" => error.to_string());
                    Vec::new()
                });
                self.seals = Some((object.version, seals));
            }
            Err(failure) => {
                slog::info!(control.log, "seals not read"; "failure" => failure.to_string());
                return false;
            }
        }
        true
    }

    /// The next window that is over and not sealed.
    fn due<P>(&self, control: &Control<P>) -> Option<Sealed> {
        let (_, seals) = self.seals.as_ref()?;
        let window_ms = control.shared.billing_window_ms();
        let (now_ms, unix_ms) = (control.now_ms(), control.shared.time.unix_ms());
        let last = (unix_ms / window_ms).checked_sub(1)?;
        let tally = control.shared.tally();
        // What was counted later for a window that is sealed is not added: a report never changes.
        let first = first_unsealed(seals).max(last.saturating_sub(KEPT_SEALS as u64 / 2));
        let (window, counts) = (first..=last)
            .map(|window| (window, tally.sum(window)))
            .find(|(_, counts)| !counts.is_empty())?;
        let end_ms = (window + 1) * window_ms;
        // Those that vanished since the window began may only be cut off, and are waited for as well.
        let since_ms = now_ms.saturating_sub(unix_ms.saturating_sub(window * window_ms));
        let is_settled_here = control.shared.counted_until_ms() >= end_ms;
        let exchange = control.exchange.borrow();
        let is_due = control.settled.borrow().may_seal(
            end_ms,
            unix_ms,
            now_ms.saturating_sub(self.since_ms.unwrap_or(now_ms)),
            is_settled_here,
            exchange.peers.boots_since(since_ms),
        );
        is_due.then_some(Sealed { window, counts })
    }

    async fn seal<P: Platform>(&mut self, control: &Control<P>, sealed: Sealed) {
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
            // Read again before anything else: the write may have been done, or another came first.
            Err(failure) => {
                self.retry_ms = control.now_ms() + RETRY_MS;
                slog::info!(control.log, "window not sealed"; "failure" => failure.to_string());
            }
        }
    }

    /// Takes up what former holders saved: counts of entries that may all be dead.
    async fn load<P: Platform>(&mut self, control: &Control<P>) -> bool {
        match control.platform.get(OPEN_KEY).await {
            Ok(None) => self.saved = Some(Saved::default()),
            Ok(Some(object)) => {
                match serde_json::from_str(&object.value) {
                    Ok(saved) => control.shared.tally().load(&saved),
                    Err(error) => {
                        slog::error!(control.log, "saved counts not readable";
                            "error" => error.to_string());
                    }
                }
                self.saved = Some(Saved { version: object.version, ..Saved::default() });
            }
            Err(failure) => {
                slog::info!(control.log, "saved counts not read"; "failure" => failure.to_string());
                return false;
            }
        }
        true
    }

    /// Saves the counts of the windows that are not sealed, if they have changed.
    async fn save<P: Platform>(&mut self, control: &Control<P>) {
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
                let pause_ms = SAVE_MS.max(text.len() as u64 * 1_000 / SAVE_BYTES_PER_S);
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

/// The first window after those that are sealed.
fn first_unsealed(seals: &[Sealed]) -> u64 {
    seals.iter().map(|sealed| sealed.window + 1).max().unwrap_or(0)
}
