//! The command lines of the binaries.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Command line of a daemon.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Daemon {
    /// Settings: JSON with comments
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings and stop
    #[arg(long)]
    pub check: bool,
}

/// Drives the fleet: the operators' text, keys, status.
///
/// Exit codes: 0 done; 1 it failed; 2 the command line is wrong; 3 the text has a mistake;
/// 4 somebody else changed it first; 5 the platform or a daemon does not answer; 6 the platform has
/// accepted a change, and too few daemons are known to hold it.
#[derive(Debug, Parser)]
#[command(name = "briarwinch", version)]
pub struct Operator {
    /// The platform, as `http://IP:PORT`
    #[arg(
        long,
        global = true,
        env = "BRIARWINCH_PLATFORM",
        default_value = "http://127.0.0.1:7700"
    )]
    pub platform: String,
    /// The operators' listener of any daemon, as `http://IP:PORT`
    #[arg(long, global = true, env = "BRIARWINCH_ADMIN", default_value = "http://127.0.0.1:7701")]
    pub admin: String,
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    pub output: Output,
    #[command(subcommand)]
    pub command: Command,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    Text,
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check an operators' text
    Check { file: PathBuf },
    /// Show what a text would change
    Diff { file: PathBuf },
    /// Put a text in force
    Apply {
        file: PathBuf,
        /// Only if the text in force stands at this version
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
    /// Tell what happened to a request
    Explain { request: String },
    /// Tell a request's way out of the logs of all processes
    Story {
        request: String,
        /// Logs: JSON lines
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Also what the processes believed meanwhile
        #[arg(long)]
        around: bool,
    },
    /// Show who holds which duty
    Duties,
    /// List and resolve claims whose outcome is unknown
    Claims {
        #[command(subcommand)]
        command: ClaimCommand,
    },
}

/// What to do with keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a key for a client account; prints it once
    Grant { account: String },
    /// Withdraw a key by its id
    Withdraw { id: String },
    /// List keys by id
    List,
}

/// What to do with claims.
#[derive(Debug, Subcommand)]
pub enum ClaimCommand {
    /// List claims that are running or of unknown outcome
    List,
    /// Say what became of a call
    Resolve {
        /// Object key of the claim, as `claims list` prints it
        key: String,
        #[arg(long, value_enum)]
        outcome: ClaimOutcome,
    },
}

/// What an operator found out about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ClaimOutcome {
    /// It ran; callers that ask again are told so
    Ran,
    /// It did not run; callers may ask again
    NotRun,
}
