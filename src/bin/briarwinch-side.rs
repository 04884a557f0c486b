//! The side daemon: the only access path to the endpoints of its instance.

use std::process::ExitCode;

use briarwinch::{daemon, side};

fn main() -> ExitCode {
    daemon::main(side::run)
}
