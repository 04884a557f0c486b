//! The entry daemon: accepts callers' requests and routes them to endpoints.

use std::process::ExitCode;

use briarwinch::{daemon, entry};

fn main() -> ExitCode {
    daemon::main(entry::run)
}
