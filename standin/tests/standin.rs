//! The stand-in program starts; this also makes `cargo test` build it for the other tests.

use std::process::Command;

#[test]
fn it_tells_its_parts() {
    let output = Command::new(env!("CARGO_BIN_EXE_briarwinch-standin")).arg("--help").output();
    let text = String::from_utf8(output.expect("it starts").stdout).expect("text");
    for part in ["platform", "engine", "service", "load"] {
        assert!(text.contains(part), "{text}");
    }
}
