//! The record of a run, and its outcome as an exit code.

use std::fmt::Write as _;
use std::panic;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Exit codes of a script.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

/// Lines with the time since the start of the run.
#[derive(Clone, Debug)]
pub struct Record {
    begin: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    /// Adds a line.
    pub fn note(&self, line: impl Into<String>) {
        let line = line.into();
        self.lines.lock().expect("the record").push((Instant::now(), line));
    }

    /// Adds a line and prints it.
    pub fn tell(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{line}");
        self.note(line);
    }

    /// Seconds from the start of the run to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begin).as_secs_f64()
    }

    fn write(&self) {
        let lines = self.lines.lock().expect("the record");
        let mut text = String::new();
        for (at, line) in lines.iter() {
            let _ = writeln!(text, "{:9.3} {line}", self.seconds(*at));
        }
        if let Ok(path) = std::env::var("RECORD") {
            std::fs::write(path, text).expect("the record is written");
        }
    }
}

/// Whether the disruption takes place: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Plays a case, which returns whether the rule held, and exits with its outcome. All processes that it started
/// have ended by then.
pub fn play(case: impl FnOnce(&Record) -> bool + panic::UnwindSafe) -> ! {
    let record = Record { begin: Instant::now(), lines: Arc::default() };
    record.tell(format!("disruption: {}", if has_trouble() { "yes" } else { "no" }));
    let inner = record.clone();
    let outcome = panic::catch_unwind(move || case(&inner));
    let (code, text) = match outcome {
        Ok(true) => (HELD, "the rule held"),
        Ok(false) => (BROKEN, "the rule was broken"),
        Err(_) => (COULD_NOT_RUN, "the case could not run"),
    };
    record.tell(text);
    record.write();
    exit(code)
}
