#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, the project's own among them. The program of the
# deploy file is built before.
set -e
cd "$(dirname "$0")/.."
cargo build --offline --locked --release --manifest-path review/cases-2/Cargo.toml --target-dir target/review-2
