//! Billing by the duty holder. A window's counts are sealed in the store and then reported, so that every
//! holder reports the same figures for a window, also when a report is sent again. Counts of open windows
//! are saved in the store, so that they survive the death of all entries.

use std::collections::BTreeSet;

use crate::gateway::control::{Control, Holder, Platform};
use crate::gateway::duties::{election, seals};
use crate::gateway::fleet::pulls;
use crate::lease;
use crate::store::{Condition, Era};

const SEALS_KEY: &str = "briarwinch-usage/sealed";
/// Number of peers that a new holder asks for counts. Entries that have ended sent theirs to the holder at
/// that time and the entries next in line, and while the store is unavailable no one else has them.
const MAX_GATHER_PEERS: usize = 4;
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
    seals: Option<(u64, seals::Seals)>,
    /// The last list of sealed windows that this entry has read or written, in any term.
    remembered_seals: seals::Seals,
    reported: BTreeSet<u64>,
    /// Whether the former collectors were asked for their counts.
    has_gathered_counts: bool,
    /// Time at which this holder began to bill.
    since_ms: Option<u64>,
    /// The newest known era of the store, and when it became known here.
    era_since_ms: Option<(Era, u64)>,
}

impl Billing {
    /// Notes when an era of the store became known here.
    pub(in crate::gateway) fn observe_era(&mut self, era: Era, now_ms: u64) {
        if self.era_since_ms.is_none_or(|(known, _)| known < era) {
            self.era_since_ms = Some((era, now_ms));
        }
    }

    /// Begins a term. What this entry did in its last one counts if the new one continues it.
    pub(in crate::gateway) fn begin_term(&mut self, is_continued: bool) {
        let before = std::mem::take(self);
        *self = Self {
            remembered_seals: before.remembered_seals,
            era_since_ms: before.era_since_ms,
            reported: if is_continued { before.reported } else { BTreeSet::new() },
            ..Self::default()
        };
    }

    /// Saves the open counts, then seals or reports the next window that is due.
    pub(in crate::gateway) async fn tick<P: Platform>(
        &mut self,
        control: &Control<P>,
        contender: &lease::Contender,
    ) -> election::Tick {
        let now_ms = control.now_ms();
        let Some(fence) = election::acting_epoch(control, contender, now_ms) else {
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
        let Some((version, seals)) = &self.seals else {
            return election::Tick::Done;
        };
        if Era::of(*version) > fence.era() {
            // The term ends with the next step of the election.
            return election::Tick::Done;
        }
        if !seals.is_confirmed_in(fence.era()) {
            self.confirm_seals(control, contender.is_continued()).await;
            return election::Tick::Done;
        }
        self.save_counts(control).await;
        if let Some(sealed) = self.due_window(control) {
            self.seal(control, sealed, fence.era()).await;
            return election::Tick::Again;
        }
        let Some((_, seals)) = &self.seals else {
            return election::Tick::Done;
        };
        let next = seals.reportable().find(|sealed| !self.reported.contains(&sealed.window));
        let next = next.cloned();
        let Some(sealed) = next else {
            return election::Tick::Done;
        };
        let Some(holder) = election::acting_holder(control, contender) else {
            return election::Tick::Done;
        };
        self.report(control, &holder, &sealed).await;
        election::Tick::Again
    }

    async fn report<P: Platform>(
        &mut self,
        control: &Control<P>,
        holder: &Holder,
        sealed: &seals::SealedWindow,
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
            Ok(None) => {
                let version = control.platform.era().version(0);
                self.seals = Some((version, seals::Seals::default()));
            }
            Ok(Some(object)) => {
                let seals: seals::Seals =
                    serde_json::from_str(&object.value).unwrap_or_else(|error| {
                        slog::error!(control.log, "stored sealed windows cannot be decoded";
                        "error" => error.to_string());
                        seals::Seals::default()
                    });
                if seals.is_confirmed_in(Era::of(object.version)) {
                    self.remembered_seals = seals.clone();
                }
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

    /// Confirms the sealed windows in an era in which no holder has done so. A window without a seal is in doubt
    /// if it ended before the era was known here: it may have been reported. Nothing is in doubt in a term that
    /// continues one of the era before, since no other entry can have sealed a window.
    async fn confirm_seals<P: Platform>(&mut self, control: &Control<P>, is_continued: bool) {
        let Some((version, mut seals)) = self.seals.take() else {
            return;
        };
        let now_ms = control.now_ms();
        let era = Era::of(version);
        let known_for_ms = self.era_since_ms.map_or(0, |(_, since_ms)| now_ms - since_ms);
        let known_since_unix_ms = control.shared.time.unix_ms().saturating_sub(known_for_ms);
        let last_ended = (known_since_unix_ms / control.shared.billing_window_ms()).checked_sub(1);
        let last_in_doubt = last_ended.filter(|_| !is_continued);
        let withheld = seals.confirm(&self.remembered_seals, era, last_in_doubt);
        slog::info!(control.log, "sealed windows confirmed"; "era" => era.0,
            "continued" => is_continued, "first_unsealed" => seals.first_unsealed());
        // Before the first seal there is nothing to withhold: the fleet has just started for the first time.
        if let Some(withheld) = withheld.filter(|withheld| *withheld.start() > 0) {
            slog::warn!(control.log, "usage withheld"; "era" => era.0,
                "first_window" => withheld.start(), "last_window" => withheld.end());
        }
        self.write_seals(control, version, seals).await;
    }

    /// Returns the next window that is over, not sealed yet, and complete enough to be sealed.
    fn due_window<P>(&self, control: &Control<P>) -> Option<seals::SealedWindow> {
        let (_, seals) = self.seals.as_ref()?;
        let window_ms = control.shared.billing_window_ms();
        let (now_ms, unix_ms) = (control.now_ms(), control.shared.time.unix_ms());
        let last = (unix_ms / window_ms).checked_sub(1)?;
        let tally = control.shared.tally();
        // Counts that arrive after a window's seal are not added: a report never changes.
        let first = seals.first_unsealed().max(last.saturating_sub(seals::KEPT_SEALS as u64 / 2));
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
        is_due.then_some(seals::SealedWindow { window, counts })
    }

    async fn seal<P: Platform>(
        &mut self,
        control: &Control<P>,
        sealed: seals::SealedWindow,
        era: Era,
    ) {
        let Some((version, mut seals)) = self.seals.take() else {
            return;
        };
        seals.push(sealed, era);
        self.write_seals(control, version, seals).await;
    }

    async fn write_seals<P: Platform>(
        &mut self,
        control: &Control<P>,
        version: u64,
        seals: seals::Seals,
    ) {
        let condition = Condition::at(version);
        let value = serde_json::to_string(&seals).unwrap_or_default();
        match control.platform.put(SEALS_KEY, value, condition).await {
            Ok(version) => {
                self.remembered_seals = seals.clone();
                self.seals = Some((version, seals));
            }
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
        let first = self.seals.as_ref().map_or(0, |(_, seals)| seals.first_unsealed());
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
