#!/usr/bin/env bash
# Measures what the router adds: the same load to an engine directly and through an entry and a side,
# in one run; and the processor time of entry and side for each token. Prints JSON lines.
# Usage: scripts/measure-path.sh [RATE] [SECONDS] [TOKENS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-50} seconds=${2:-10} tokens=${3:-64}

bin=${BRIARWINCH_BIN:-target/release}
if [ -z "${BRIARWINCH_BIN:-}" ]; then cargo build --release --workspace --locked --quiet; fi
source scripts/fleet.sh

start platform "$bin/briarwinch-standin" platform
start engine "$bin/briarwinch-standin" engine --slots 4096 --workers 2
start service "$bin/briarwinch-standin" service
platform=http://$(listening platform)
entry entry-1 jkt
side side-1 jkt juru-tulis engine
side side-2 jkt loket service
export BRIARWINCH_PLATFORM=$platform BRIARWINCH_ADMIN=http://${admins[0]}
sed 's/"slots": 32,/"slots": 4096,/' examples/sidang-rekam.jsonc >"$work/text.jsonc"
"$bin/briarwinch" apply "$work/text.jsonc" >/dev/null
key=$("$bin/briarwinch" keys grant pn-surabaya)
serving "$key"

cat >"$work/plan.jsonc" <<JSON
{ "lines": [ { "class": "hearing-summary", "share": 1, "target_ms": 800, "kind": "chat",
  "model": "juru-tulis", "stream": true, "prompt_chars": 400, "max_tokens": $tokens } ] }
JSON

# cpu NAME: user and system time of a process so far, in ms.
cpu() { awk '{ print ($14 + $15) * 10 }' "/proc/$(cat "$work/$1.pid")/stat"; }
rss() { awk '/VmRSS/ { print $2 }' "/proc/$(cat "$work/$1.pid")/status"; }

load() {
  "$bin/briarwinch-standin" load --plan "$work/plan.jsonc" --seconds "$seconds" --rate "$rate" \
    --seed 7 --json "$@" 2>/dev/null | grep '^{'
}

echo "{\"rate\": $rate, \"seconds\": $seconds, \"tokens\": $tokens, \"seed\": 7}"
engine_before=$(cpu engine)
direct=$(load --target "http://$(listening engine)")
engine_after=$(cpu engine)
echo "direct  $direct"
whole=$(sed 's/.*"whole":\([0-9]*\).*/\1/' <<<"$direct")
# What one process that writes each token once, and reads nothing, costs on this machine.
awk -v engine="$((engine_after - engine_before))" -v all="$((whole * tokens))" \
  'BEGIN { printf "{\"engine_cpu_us_a_token\": %.2f}\n", engine * 1000 / all }'
entry_before=$(cpu entry-1) side_before=$(cpu side-1)
through=$(load --target "${entries[0]}" --key "$key")
entry_after=$(cpu entry-1) side_after=$(cpu side-1)
echo "through $through"
whole=$(sed 's/.*"whole":\([0-9]*\).*/\1/' <<<"$through")
awk -v entry="$((entry_after - entry_before))" -v side="$((side_after - side_before))" \
  -v all="$((whole * tokens))" -v entry_rss="$(rss entry-1)" -v side_rss="$(rss side-1)" 'BEGIN {
  printf "{\"tokens_carried\": %d, \"entry_cpu_us_a_token\": %.2f, \"side_cpu_us_a_token\": %.2f, \"both_cpu_us_a_token\": %.2f, \"entry_rss_kib\": %d, \"side_rss_kib\": %d}\n",
    all, entry * 1000 / all, side * 1000 / all, (entry + side) * 1000 / all, entry_rss, side_rss }'
