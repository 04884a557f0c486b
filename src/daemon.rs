//! Common start-up of the daemons' programs: settings, log, runtime and exit code.

use std::process::ExitCode;

use clap::Parser;
use compact_str::CompactString;

use crate::{cli, gateway, logging, settings};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 3;

/// Settings of a daemon, with its id and the destination of its log.
pub trait DaemonSettings: settings::Validate {
    fn id(&self) -> &CompactString;

    /// Destination of the daemon's log.
    fn log_output(&self) -> logging::Output {
        logging::Output::Stderr
    }
}

impl DaemonSettings for settings::Entry {
    fn id(&self) -> &CompactString {
        &self.daemon.id
    }
}

impl DaemonSettings for settings::Side {
    fn id(&self) -> &CompactString {
        &self.daemon.id
    }
}

impl DaemonSettings for gateway::settings::Gateway {
    fn id(&self) -> &CompactString {
        &self.id
    }

    fn log_output(&self) -> logging::Output {
        logging::Output::Stdout
    }
}

/// Runs a daemon's program: parses the command line, loads the settings and runs `run` to its end.
pub fn main<T: DaemonSettings + 'static>(
    run: impl AsyncFnOnce(T, slog::Logger) -> anyhow::Result<()> + 'static,
) -> ExitCode {
    let line = cli::Daemon::parse();
    start(&line, run)
}

/// Runs a daemon's program with a parsed command line.
pub fn start<T: DaemonSettings + 'static>(
    line: &cli::Daemon,
    run: impl AsyncFnOnce(T, slog::Logger) -> anyhow::Result<()> + 'static,
) -> ExitCode {
    let settings: T = match settings::load(&line.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if line.check {
        println!("{}: no errors", line.settings.display());
        return ExitCode::SUCCESS;
    }
    let (log, guard) = logging::open(settings.id(), settings.log_output());
    let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
    let outcome = runner.block_on(async move { run(settings, log).await });
    // Flushes the log: its last lines show how the process ended.
    drop(guard);
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
