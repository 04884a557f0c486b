//! Checks that the stand-in program starts. This test also makes `cargo test` build the program, which the
//! other tests run.

use std::process::Command;

#[test]
fn help_lists_all_subcommands() {
    let output = Command::new(env!("CARGO_BIN_EXE_briarwinch-standin")).arg("--help").output();
    let help = String::from_utf8(output.expect("program starts").stdout).expect("help is UTF-8");
    for subcommand in ["platform", "engine", "service", "load"] {
        assert!(help.contains(subcommand), "{help}");
    }
}
