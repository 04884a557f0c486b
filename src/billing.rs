//! The billing duty: seals each window once and reports the sealed figures.
//!
//! Each daemon writes its own usage sheet to the store; the holder of the duty adds the sheets up. A
//! window is sealed by a conditional create. If two daemons both believe that they hold the duty, one
//! creates the object and the other reads it, so both can only report the same figures.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::store::{Condition, Failure, ObjectStore};
use crate::{control, hub, lease, usage};

/// Minimum interval between two writes of a sheet.
const MIN_SHEET_INTERVAL_MS: u64 = 3_000;
/// Maximum rate of sheet writes by all daemons together; the interval grows with the fleet.
const MAX_SHEETS_PER_S: u64 = 25;
/// Minimum remaining lease term for a report: the timeout of the call plus a margin.
const MIN_REPORT_TERM_MS: u64 = 2_600;
/// Interval between two checks whether the next window is due.
const CHECK_INTERVAL_MS: u64 = 500;

/// Billing progress of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The last window that was sealed and reported.
    pub reported: usage::Window,
}

fn sheets_prefix(region: &str) -> String {
    format!("usage/{region}/sheets/")
}

fn sealed_key(region: &str, window: usage::Window) -> String {
    format!("usage/{region}/sealed/{window}")
}

fn progress_key(region: &str) -> String {
    format!("usage/{region}/progress")
}

/// Writes this daemon's usage sheet to the store whenever it has changed.
pub async fn write_sheet(control: Rc<control::Control>) {
    let daemon = &control.settings;
    let prefix = sheets_prefix(&daemon.region);
    let key = format!("{prefix}{}.{:016x}", daemon.id, control.boot);
    let mut written = usage::Sheet::default();
    let mut version = 0;
    loop {
        let fleet = control.with_shared(|shared| shared.fleet.len()) as u64;
        let pause_ms = MIN_SHEET_INTERVAL_MS.max(fleet * 1000 / MAX_SHEETS_PER_S);
        let jitter_ms = rand::random_range(0..pause_ms / 4);
        time::sleep(Duration::from_millis(pause_ms - pause_ms / 8 + jitter_ms)).await;
        let sheet = control.hub.sheet.lock().map(|sheet| sheet.clone()).unwrap_or_default();
        if sheet == written {
            continue;
        }
        let condition = Condition::at(version);
        let value = serde_json::to_string(&sheet).unwrap_or_default();
        let put = control.platform.put(&key, value, condition).await;
        control.record_store_outcome(&put);
        match put {
            Ok(new) => {
                version = new;
                written = sheet;
            }
            // Only this daemon writes this key, so a conflict comes from an earlier write of its own
            // whose answer was lost. The version is read, and the next round overwrites it.
            Err(Failure::Conflict | Failure::NoAnswer) => {
                if let Ok(found) = control.platform.get(&key).await {
                    version = found.map_or(0, |object| object.version);
                }
            }
            Err(Failure::Down | Failure::Throttled) => {}
        }
    }
}

/// State of the billing duty's holder between ticks; all of it can be read again from the store.
#[derive(Debug, Default)]
pub struct Worker {
    next_check_ms: u64,
    progress: Option<(u64, Progress)>,
    note: String,
}

impl Worker {
    /// Describes the progress of the duty, for the status page.
    #[must_use]
    pub fn note(&self) -> &str {
        &self.note
    }

    /// Seals and reports the next window if it is due.
    pub async fn tick(
        &mut self,
        control: &control::Control,
        lease: &lease::Contender,
        region: &str,
    ) {
        let now_ms = control.hub.now_ms();
        if now_ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        if let Err(failure) = self.advance(control, lease, region).await {
            self.progress = None;
            self.note = format!("waits: {failure}");
        }
    }

    async fn advance(
        &mut self,
        control: &control::Control,
        lease: &lease::Contender,
        region: &str,
    ) -> Result<(), Failure> {
        let billing =
            control.with_shared(|shared| shared.config.as_ref().map(|config| config.model.billing));
        let Some(billing) = billing else {
            return Ok(());
        };
        let now_s = hub::unix_ms() / 1000;
        let (version, progress) = match self.progress {
            Some(known) => known,
            None => read_progress(control, region, now_s / billing.window_s).await?,
        };
        self.progress = Some((version, progress));
        let window = usage::Window(progress.reported.0 + 1);
        self.note = format!("reported up to window {}", progress.reported);
        if now_s < (window.0 + 1) * billing.window_s + billing.grace_s {
            return Ok(());
        }
        let sealed = seal(control, region, window).await?;
        // A holder that was suspended here and resumes after its term must not report: its successor
        // does.
        if lease.epoch_with_remaining(control.hub.now_ms(), MIN_REPORT_TERM_MS).is_none() {
            return Ok(());
        }
        control.platform.report(&sealed.report(region)).await?;
        slog::info!(control.log, "window reported"; "window" => window.0,
            "output_tokens" => sealed.figures.sum().output_tokens);
        self.progress = None;
        let value = serde_json::to_string(&Progress { reported: window }).unwrap_or_default();
        let condition = Condition::at(version);
        control.platform.put(&progress_key(region), value, condition).await?;
        Ok(())
    }
}

async fn read_progress(
    control: &control::Control,
    region: &str,
    current: u64,
) -> Result<(u64, Progress), Failure> {
    let read = control.platform.get(&progress_key(region)).await?;
    let known = read.and_then(|object| {
        let progress = serde_json::from_str(&object.value).ok()?;
        Some((object.version, progress))
    });
    if let Some(known) = known {
        return Ok(known);
    }
    // The first holder begins with the window before the current one and stores that, so that later
    // holders continue from the same window.
    let first = Progress { reported: usage::Window(current.saturating_sub(2)) };
    let value = serde_json::to_string(&first).unwrap_or_default();
    let version = control.platform.put(&progress_key(region), value, Condition::Absent).await?;
    Ok((version, first))
}

/// Returns the sealed figures of a window; seals the window if it is not sealed yet.
pub async fn seal(
    control: &control::Control,
    region: &str,
    window: usage::Window,
) -> Result<usage::Sealed, Failure> {
    seal_in(&control.platform, region, window, rand::random()).await
}

/// Returns the sealed figures of a window in the given store; seals the window if it is not sealed yet.
///
/// # Errors
/// When the store is down or does not answer; the window may or may not be sealed then.
pub async fn seal_in(
    store: &impl ObjectStore,
    region: &str,
    window: usage::Window,
    nonce: u64,
) -> Result<usage::Sealed, Failure> {
    let key = sealed_key(region, window);
    if let Some(sealed) = read_sealed(store, &key).await? {
        return Ok(sealed);
    }
    let previous = match window.0.checked_sub(1) {
        Some(before) => read_sealed(store, &sealed_key(region, usage::Window(before))).await?,
        None => None,
    };
    let listing = store.list(&sheets_prefix(region)).await?;
    let sheets: Vec<usage::Sheet> = listing
        .objects
        .iter()
        .filter_map(|object| serde_json::from_str(&object.value).ok())
        .collect();
    let sealed = usage::Sealed::compute(window, &sheets, previous.as_ref(), nonce);
    let value = serde_json::to_string(&sealed).unwrap_or_default();
    match store.put(&key, value, Condition::Absent).await {
        Ok(_) => Ok(sealed),
        // Another holder sealed the window, or the answer to our own write was lost: the stored object
        // is authoritative.
        Err(Failure::Conflict | Failure::NoAnswer) => {
            read_sealed(store, &key).await?.ok_or(Failure::NoAnswer)
        }
        Err(failure @ (Failure::Down | Failure::Throttled)) => Err(failure),
    }
}

async fn read_sealed(
    store: &impl ObjectStore,
    key: &str,
) -> Result<Option<usage::Sealed>, Failure> {
    let Some(object) = store.get(key).await? else {
        return Ok(None);
    };
    serde_json::from_str(&object.value).map(Some).map_err(|_| Failure::NoAnswer)
}
