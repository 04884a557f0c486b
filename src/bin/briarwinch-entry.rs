//! The entry daemon: callers' requests in, answers out.

use std::process::ExitCode;

use briarwinch::{daemon, entry};

fn main() -> ExitCode {
    daemon::main(entry::run)
}
