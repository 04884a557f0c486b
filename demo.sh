#!/usr/bin/env bash
# Runs the whole system on this machine: a stand-in platform, three engines and a plain service with one
# side each, and two entries. Applies a configuration, grants API keys, sends mixed load for ten seconds,
# checks every answer and fails unless all are complete. With --keep, sends no load, keeps the processes
# running and prints commands to try.
set -euo pipefail
cd "$(dirname "$0")"

keep=no
if [ "${1:-}" = "--keep" ]; then keep=yes; fi

# BRIARWINCH_BIN names a directory of binaries that are already built.
bin_dir=${BRIARWINCH_BIN:-${CARGO_TARGET_DIR:-target}/release}
if [ -z "${BRIARWINCH_BIN:-}" ]; then cargo build --release --workspace --locked --quiet; fi
source scripts/fleet.sh

start_process platform "$bin_dir/briarwinch-standin" platform
for n in 1 2 3; do start_process "engine$n" "$bin_dir/briarwinch-standin" engine; done
start_process service "$bin_dir/briarwinch-standin" service
platform=http://$(standin_address platform)

start_entry entry-1 jkt
start_entry entry-2 smg
start_side side-1 jkt juru-tulis engine1
start_side side-2 smg juru-tulis engine2
start_side side-3 sby juru-tulis engine3
start_side side-4 jkt loket service

export BRIARWINCH_PLATFORM=$platform BRIARWINCH_ADMIN=http://${admins[0]}
"$bin_dir/briarwinch" apply examples/sidang-rekam.jsonc
key1=$("$bin_dir/briarwinch" keys grant pn-surabaya)
key2=$("$bin_dir/briarwinch" keys grant firma-hukum-kencana)
wait_until_serving "$key1" "$key2"

if [ "$keep" = yes ]; then
  echo "running; try:"
  echo "  curl -N ${entries[0]}/v1/chat/completions -H 'Authorization: Bearer $key1' -H 'Content-Type: application/json' -d '{\"model\":\"juru-tulis\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"the list of exhibits\"}]}'"
  echo "  export BRIARWINCH_PLATFORM=$BRIARWINCH_PLATFORM BRIARWINCH_ADMIN=$BRIARWINCH_ADMIN"
  echo "  $bin_dir/briarwinch status"
  echo "stop it with Ctrl-C"
  trap 'exit 0' INT TERM
  while :; do sleep 1; done
fi

"$bin_dir/briarwinch-standin" load --target "$(IFS=,; echo "${entries[*]}")" --key "$key1,$key2" \
  --plan examples/demo-load.jsonc --seconds 10 --rate 60 --seed 7 >"$work_dir/load.out" 2>"$work_dir/load.err" ||
  { cat "$work_dir/load.err" >&2; exit 1; }
cat "$work_dir/load.out"
head -5 "$work_dir/load.err"
read -r whole sent < <(sed -n 's/^answers whole \([0-9]*\) of \([0-9]*\)$/\1 \2/p' "$work_dir/load.out")
echo "demo: answers whole $whole of $sent"
[ "$whole" = "$sent" ] && [ "$sent" -gt 0 ]
