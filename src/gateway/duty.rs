//! The duties of the fleet, done by whichever entry holds their lease: billing windows are sealed
//! and reported, and the number of endpoints is ordered.
//!
//! A window is sealed in the store before it is reported, so that every holder reports the same
//! figures however often a report is sent.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::control::{Control, Holder, Platform};
use super::peers;
use crate::lease;
use crate::store::{Condition, Failure};

const LEASE_KEY: &str = "briarwinch-leases/duties";
const SEALS_KEY: &str = "briarwinch-usage/sealed";
/// Longest pause between two steps.
const STEP_MS: u64 = 200;
/// How long no entry may hold the duties before this one contends; the others wait longer by rank,
/// so that mostly one writes.
const VACANT_MS: u64 = 300;
const VACANT_RANK_MS: u64 = 500;
/// Entries beside the holder that keep an eye on the lease.
const STAND_BY: usize = 2;
/// How long after a window's end it is sealed: all entries' digests have come by then.
const SETTLE_MS: u64 = 900;
/// A call under a duty takes at most this; so much of the term has to be left.
const CALL_MS: u64 = 1_300;
/// Seals kept in the store; a report is due two windows after a window's end.
const KEPT_SEALS: usize = 8;
/// After a holder gave the lease back, its successor waits. Two holders that stop one after the
/// other would otherwise act in turns within one term as the platform counts it (three seconds).
const SUCCESSION_MS: u64 = 3_200;

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
const SAVE_BYTES_PER_S: u64 = 20_000;
const OPEN_KEY: &str = "briarwinch-usage/open";
/// Windows whose counts are saved.
const SAVED_WINDOWS: usize = 3;

/// Counts that outlast the death of all entries.
#[derive(Debug, Default)]
struct Saved {
    version: u64,
    text: String,
    next_ms: u64,
}

/// Billing, as the holder of the duties knows it.
#[derive(Debug, Default)]
struct Billing {
    /// What was saved of open windows, once read.
    saved: Option<Saved>,
    /// Nothing is tried before this time.
    retry_ms: u64,
    /// What the store holds, once read, with its version.
    seals: Option<(u64, Vec<Sealed>)>,
    reported: BTreeSet<u64>,
}

/// Contends for the duties and does them while they are held.
pub(super) async fn contend<P: Platform>(control: Rc<Control<P>>) {
    let id = control.shared.settings.id.clone();
    let mut contender = lease::Contender::new(id, control.shared.boot);
    let mut billing = Billing::default();
    let mut vacant_since_ms = None;
    let mut quiet_until_ms = 0;
    loop {
        let now_ms = control.now_ms();
        if control.shared.is_draining() {
            contender.release();
        }
        let held = contender.epoch(now_ms).is_some();
        note_holding(&control, held);
        if !contender.is_engaged() && !may_contend(&control, now_ms, &mut vacant_since_ms) {
            if stands_by(&control, now_ms) && contender.step_aside(now_ms) == lease::Step::Read {
                read(&control, &mut contender).await;
            }
            time::sleep(Duration::from_millis(STEP_MS)).await;
            continue;
        }
        let before = contender.holder().cloned();
        match contender.step(now_ms) {
            lease::Step::Read => read(&control, &mut contender).await,
            lease::Step::Write(write) => self::write(&control, &mut contender, write).await,
            lease::Step::WaitUntil(at_ms) => {
                let pause_ms = at_ms.saturating_sub(control.now_ms()).clamp(1, STEP_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        let now_ms = control.now_ms();
        if contender.epoch(now_ms).is_some() && !held {
            billing = Billing::default();
            let was_returned = before.is_some_and(|record| record.term_ms == 0);
            quiet_until_ms = if was_returned { now_ms + SUCCESSION_MS } else { 0 };
            note_holding(&control, true);
        }
        if now_ms >= quiet_until_ms {
            billing.tick(&control, &contender).await;
        }
    }
}

fn note_holding<P>(control: &Control<P>, held: bool) {
    if control.holds_duties.replace(held) != held {
        slog::info!(control.log, "duties"; "held" => held);
    }
}

/// Whether this entry is one of the next in line for the duties.
fn stands_by<P>(control: &Control<P>, now_ms: u64) -> bool {
    control.shared.is_ready() && control.peers.borrow().rank(now_ms) <= STAND_BY
}

/// Whether this entry contends: nobody is heard to hold the duties, and it is this one's turn.
fn may_contend<P>(control: &Control<P>, now_ms: u64, vacant_since_ms: &mut Option<u64>) -> bool {
    let peers = control.peers.borrow();
    if !control.shared.is_ready() || peers.holds_duties(now_ms) {
        *vacant_since_ms = None;
        return false;
    }
    let since_ms = *vacant_since_ms.get_or_insert(now_ms);
    now_ms >= since_ms + VACANT_MS + peers.rank(now_ms) as u64 * VACANT_RANK_MS
}

async fn read<P: Platform>(control: &Control<P>, contender: &mut lease::Contender) {
    let sent_ms = control.now_ms();
    let seen = match control.platform.get(LEASE_KEY).await {
        Ok(None) => lease::Seen { version: 0, record: None },
        Ok(Some(object)) => {
            let record = serde_json::from_str(&object.value).ok();
            lease::Seen { version: object.version, record }
        }
        Err(failure) => {
            slog::info!(control.log, "lease not read"; "failure" => failure.to_string());
            return;
        }
    };
    contender.read(seen, sent_ms, control.now_ms());
}

async fn write<P: Platform>(
    control: &Control<P>,
    contender: &mut lease::Contender,
    write: lease::Write,
) {
    let condition = match write.if_version {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let epoch = write.record.epoch.0;
    let term_ms = write.record.term_ms;
    let value = serde_json::to_string(&write.record).unwrap_or_default();
    let written = control.platform.put(LEASE_KEY, value, condition).await;
    let now_ms = control.now_ms();
    match written {
        Ok(version) => contender.written(version, now_ms),
        Err(failure) => {
            slog::info!(control.log, "lease not written"; "epoch" => epoch, "term_ms" => term_ms,
                "failure" => failure.to_string());
            match failure {
                Failure::Conflict => contender.refused(now_ms),
                Failure::NoAnswer | Failure::Down => contender.no_answer(now_ms),
            }
        }
    }
}

impl Billing {
    /// Seals and reports what is due, one call at a time.
    async fn tick<P: Platform>(&mut self, control: &Control<P>, contender: &lease::Contender) {
        let now_ms = control.now_ms();
        let Some(fence) = contender.epoch_for(now_ms, CALL_MS) else {
            return;
        };
        if now_ms < self.retry_ms {
            return;
        }
        let is_read = (self.saved.is_some() || self.load(control).await)
            && (self.seals.is_some() || self.read(control).await);
        if !is_read {
            self.retry_ms = now_ms + RETRY_MS;
            return;
        }
        self.save(control).await;
        if let Some(sealed) = self.due(control) {
            self.seal(control, sealed).await;
            return;
        }
        let Some((_, seals)) = &self.seals else {
            return;
        };
        let next = seals.iter().find(|sealed| !self.reported.contains(&sealed.window)).cloned();
        if let Some(sealed) = next {
            let holder = Holder { id: control.shared.settings.id.clone(), fence };
            match control.platform.report_usage(&holder, &sealed).await {
                Ok(()) => {
                    slog::info!(control.log, "usage reported"; "window" => sealed.window,
                        "requests" => sealed.counts.values().sum::<u32>(), "fence" => fence.0);
                    self.reported.insert(sealed.window);
                }
                Err(failure) => {
                    self.retry_ms = control.now_ms() + RETRY_MS;
                    slog::info!(control.log, "usage not reported"; "window" => sealed.window,
                        "failure" => failure.to_string());
                }
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
        let window_ms = control.shared.settings.billing_window_s.max(1) * 1_000;
        let settled_ms = control.shared.time.unix_ms().checked_sub(SETTLE_MS)?;
        let last = (settled_ms / window_ms).checked_sub(1)?;
        let first = last.saturating_sub(KEPT_SEALS as u64 / 2);
        let sealed = seals.iter().map(|sealed| sealed.window).max();
        let tally = control.shared.tally();
        // What was counted later for a window that is sealed is not added: a report never changes.
        (first.max(sealed.map_or(0, |window| window + 1))..=last).find_map(|window| {
            let counts = tally.sum(window);
            (!counts.is_empty()).then_some(Sealed { window, counts })
        })
    }

    async fn seal<P: Platform>(&mut self, control: &Control<P>, sealed: Sealed) {
        let Some((version, seals)) = self.seals.take() else {
            return;
        };
        let mut seals = seals;
        seals.push(sealed);
        let excess = seals.len().saturating_sub(KEPT_SEALS);
        seals.drain(..excess);
        let condition = if version == 0 { Condition::Absent } else { Condition::Version(version) };
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
                    Ok(counts) => control.shared.tally().take_saved(counts),
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

    /// Saves the counts of the newest windows, if they have changed.
    async fn save<P: Platform>(&mut self, control: &Control<P>) {
        let now_ms = control.now_ms();
        let Some(saved) = self.saved.as_mut().filter(|saved| now_ms >= saved.next_ms) else {
            return;
        };
        let counts = control.shared.tally().newest(SAVED_WINDOWS);
        let text = serde_json::to_string(&counts).unwrap_or_default();
        if text == saved.text {
            return;
        }
        let condition = match saved.version {
            0 => Condition::Absent,
            version => Condition::Version(version),
        };
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

/// A peer that is gone no longer holds the duties for this entry.
const _: () = assert!(peers::GONE_MS < lease::TERM_MS, "a vacancy is noticed within a term");
