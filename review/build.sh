#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review. The program under test is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/harness"
exec cargo build --release --offline --locked --target-dir ../../target/review
