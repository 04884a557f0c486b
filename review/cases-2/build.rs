//! Names the program of the deploy file for the stand-ins that start it.

use std::path::Path;

fn main() {
    let root =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the root");
    let program = root.join("target/release/briarwinch-gateway");
    println!("cargo:rustc-env=CARGO_BIN_EXE_briarwinch-gateway={}", program.display());
    println!("cargo:rerun-if-changed=build.rs");
}
