#!/usr/bin/env bash
# Measures the overhead of the router: sends the same load to an engine directly and then through an
# entry and a side, and measures the CPU time per token and the memory of entry and side. Prints the
# results as JSON.
# Usage: scripts/measure-path.sh [RATE] [SECONDS] [TOKENS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-50} seconds=${2:-10} tokens=${3:-64}

bin_dir=${BRIARWINCH_BIN:-${CARGO_TARGET_DIR:-target}/release}
if [ -z "${BRIARWINCH_BIN:-}" ]; then cargo build --release --workspace --locked --quiet; fi
source scripts/fleet.sh

start_process platform "$bin_dir/briarwinch-standin" platform
start_process engine "$bin_dir/briarwinch-standin" engine --slots 4096 --workers 2
start_process service "$bin_dir/briarwinch-standin" service
platform=http://$(standin_address platform)
start_entry entry-1 jkt
start_side side-1 jkt juru-tulis engine
start_side side-2 jkt loket service
export BRIARWINCH_PLATFORM=$platform BRIARWINCH_ADMIN=http://${admins[0]}
sed 's/"slots": 32,/"slots": 4096,/' examples/sidang-rekam.jsonc >"$work_dir/config.jsonc"
"$bin_dir/briarwinch" apply "$work_dir/config.jsonc" >/dev/null
key=$("$bin_dir/briarwinch" keys grant pn-surabaya)
wait_until_serving "$key"

cat >"$work_dir/plan.jsonc" <<JSON
{ "lines": [ { "class": "hearing-summary", "share": 1, "target_ms": 800, "kind": "chat",
  "model": "juru-tulis", "stream": true, "prompt_chars": 400, "max_tokens": $tokens } ] }
JSON

# cpu_ms NAME: user and system time of a process so far, in ms. Assumes clock ticks of 10 ms.
cpu_ms() { awk '{ print ($14 + $15) * 10 }' "/proc/$(cat "$work_dir/$1.pid")/stat"; }
# rss_kib NAME: resident memory of a process in KiB.
rss_kib() { awk '/VmRSS/ { print $2 }' "/proc/$(cat "$work_dir/$1.pid")/status"; }

# run_load OPTION...: sends the load and prints its result as one JSON line.
run_load() {
  "$bin_dir/briarwinch-standin" load --plan "$work_dir/plan.jsonc" --seconds "$seconds" --rate "$rate" \
    --seed 7 --json "$@" 2>/dev/null | grep '^{'
}

echo "{\"rate\": $rate, \"seconds\": $seconds, \"tokens\": $tokens, \"seed\": 7}"
engine_before=$(cpu_ms engine)
direct=$(run_load --target "http://$(standin_address engine)")
engine_after=$(cpu_ms engine)
echo "direct  $direct"
completed=$(sed 's/.*"whole":\([0-9]*\).*/\1/' <<<"$direct")
# Baseline: CPU time per token of a process that only writes each token once.
awk -v engine="$((engine_after - engine_before))" -v token_count="$((completed * tokens))" \
  'BEGIN { printf "{\"engine_cpu_us_a_token\": %.2f}\n", engine * 1000 / token_count }'
entry_before=$(cpu_ms entry-1) side_before=$(cpu_ms side-1)
routed=$(run_load --target "${entries[0]}" --key "$key")
entry_after=$(cpu_ms entry-1) side_after=$(cpu_ms side-1)
echo "through $routed"
completed=$(sed 's/.*"whole":\([0-9]*\).*/\1/' <<<"$routed")
awk -v entry="$((entry_after - entry_before))" -v side="$((side_after - side_before))" \
  -v token_count="$((completed * tokens))" -v entry_rss="$(rss_kib entry-1)" -v side_rss="$(rss_kib side-1)" 'BEGIN {
  printf "{\"tokens_carried\": %d, \"entry_cpu_us_a_token\": %.2f, \"side_cpu_us_a_token\": %.2f, \"both_cpu_us_a_token\": %.2f, \"entry_rss_kib\": %d, \"side_rss_kib\": %d}\n",
    token_count, entry * 1000 / token_count, side * 1000 / token_count, (entry + side) * 1000 / token_count, entry_rss, side_rss }'
