//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Name of the folder of this run's settings, which tells its processes from those of other runs.
pub fn folder_name() -> String {
    format!("briarwinch-review-{}", std::process::id())
}

#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Opens the file that is named by the first argument of the program.
    pub fn open() -> Self {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(path).expect("the record is created");
        let record = Self { file: Arc::new(Mutex::new(file)), began: Instant::now() };
        record.line(format!("script: settings in the folder {}", folder_name()));
        record
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:8.3} {}", self.began.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Ends the script.
    pub fn end(&self, code: i32, text: &str) -> i32 {
        self.line(format!("exit {code}: {text}"));
        println!("exit {code}: {text}");
        code
    }
}
