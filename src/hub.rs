//! State shared by the control thread and the traffic threads of a daemon.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;

use crate::{clock, duties, gossip, usage};

/// State shared by the control thread and the traffic threads of a daemon.
#[derive(Debug)]
pub struct Hub {
    pub snapshot: ArcSwap<gossip::Snapshot>,
    /// Number of published snapshots; lets a traffic thread detect a new one cheaply.
    pub generation: AtomicU64,
    pub ready: AtomicBool,
    pub draining: AtomicBool,
    /// Whether the last store call got an answer.
    pub store_up: AtomicBool,
    pub sheet: Mutex<usage::Sheet>,
    /// Copy of the shared state for the operators' listener.
    pub shared: Mutex<gossip::SharedState>,
    pub duties: Mutex<Vec<duties::Status>>,
    pub bytes_out: AtomicU64,
    pub store_calls: AtomicU64,
    /// Start time on the boot clock, which includes time in suspension.
    started_ms: u64,
}

impl Default for Hub {
    fn default() -> Self {
        Self {
            snapshot: ArcSwap::from_pointee(gossip::Snapshot::default()),
            generation: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            store_up: AtomicBool::new(true),
            sheet: Mutex::default(),
            shared: Mutex::default(),
            duties: Mutex::default(),
            bytes_out: AtomicU64::new(0),
            store_calls: AtomicU64::new(0),
            started_ms: clock::boot_ms(),
        }
    }
}

impl Hub {
    /// Time since this daemon's start, on the boot clock. With a clock that stops while the instance is
    /// suspended, a holder would act on a lease that has expired in the meantime.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        clock::boot_ms() - self.started_ms
    }

    /// Adds usage to the current billing window.
    pub fn count_usage(&self, line: &usage::Line, figures: usage::Figures) {
        let snapshot = self.snapshot.load();
        let window_s = snapshot.config.as_ref().map_or(3600, |c| c.model.billing.window_s);
        let window = usage::Window(unix_ms() / 1000 / window_s);
        if let Ok(mut sheet) = self.sheet.lock() {
            sheet.add(window, line, figures);
        }
    }
}

/// Current time in milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}
