//! What the daemons' programs have in common: settings, log, runtime, exit code.

use std::process::ExitCode;

use clap::Parser;
use compact_str::CompactString;

use crate::{cli, gateway, logging, settings};

/// Exit code for settings that hold a mistake.
const EXIT_SETTINGS: u8 = 3;

/// A daemon's settings name it.
pub trait DaemonSettings: settings::Validate {
    fn id(&self) -> &CompactString;

    /// Where the daemon's log goes.
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

/// Runs a daemon's program: reads the command line and the settings, then `run` to its end.
pub fn main<T: DaemonSettings + 'static>(
    run: impl AsyncFnOnce(T, slog::Logger) -> anyhow::Result<()> + 'static,
) -> ExitCode {
    let line = cli::Daemon::parse();
    start(&line, run)
}

/// Runs a daemon's program on a command line that has been read.
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
        println!("{}: no mistakes", line.settings.display());
        return ExitCode::SUCCESS;
    }
    let (log, guard) = logging::open(settings.id(), settings.log_output());
    let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
    let outcome = runner.block_on(async move { run(settings, log).await });
    // The last lines say how the process ended.
    drop(guard);
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
