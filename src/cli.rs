//! Command-line arguments of the binaries.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Command-line arguments of a daemon.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Daemon {
    /// Settings file, in JSON with comments
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
}

/// Operates a fleet: configuration, keys, status and claims.
///
/// Exit codes: 0 success; 1 failure; 2 invalid command line; 3 invalid configuration; 4 changed by
/// somebody else in the meantime; 5 the platform or a daemon does not answer; 6 the platform has
/// accepted a change, but too few daemons are known to hold it.
#[derive(Debug, Parser)]
#[command(name = "briarwinch", version)]
pub struct Operator {
    /// Address of the platform, as `http://IP:PORT`
    #[arg(
        long,
        global = true,
        env = "BRIARWINCH_PLATFORM",
        default_value = "http://127.0.0.1:7700"
    )]
    pub platform: String,
    /// Address of the admin listener of any daemon, as `http://IP:PORT`
    #[arg(long, global = true, env = "BRIARWINCH_ADMIN", default_value = "http://127.0.0.1:7701")]
    pub admin: String,
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    pub output: Output,
    #[command(subcommand)]
    pub command: Command,
}

/// Output format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    Text,
    Json,
}

/// Subcommands of the operator's tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a configuration
    Check { file: PathBuf },
    /// Show what a configuration would change
    Diff { file: PathBuf },
    /// Put a configuration in force
    Apply {
        file: PathBuf,
        /// Apply only if the configuration in force has this version
        #[arg(long, value_name = "VERSION")]
        expect: Option<u64>,
    },
    /// Grant, withdraw and list keys
    Keys {
        #[command(subcommand)]
        command: KeyCommand,
    },
    /// Show daemons, versions in force, duties and endpoints
    Status,
    /// Show how an entry handled a request
    Explain { request: String },
    /// Show the log lines of a request across all processes
    Story {
        request: String,
        /// Log files, one JSON object per line
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Include the fleet events that the involved processes logged during the request
        #[arg(long)]
        around: bool,
    },
    /// Show the holder of each duty
    Duties,
    /// List and resolve claims whose outcome is unknown
    Claims {
        #[command(subcommand)]
        command: ClaimCommand,
    },
}

/// Subcommands of `keys`.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Grant a key to a client account; the key is printed only once
    Grant { account: String },
    /// Withdraw a key by its id
    Withdraw { id: String },
    /// List keys by id
    List,
}

/// Subcommands of `claims`.
#[derive(Debug, Subcommand)]
pub enum ClaimCommand {
    /// List claims that are running or of unknown outcome
    List,
    /// Record the outcome of a call
    Resolve {
        /// Object key of the claim, as printed by `claims list`
        key: String,
        #[arg(long, value_enum)]
        outcome: ClaimOutcome,
    },
}

/// Outcome of a call as determined by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ClaimOutcome {
    /// The call ran; a retry gets an answer that says so
    Ran,
    /// The call did not run; callers may retry
    NotRun,
}
