#!/usr/bin/env bash
# Runs the whole system on this machine: a stand-in platform, three engines and a plain service with
# a side each, two entries. Applies a configuration, grants keys, sends ten seconds of mixed load,
# checks every answer. With --keep it leaves all running and prints a line to try.
set -euo pipefail
cd "$(dirname "$0")"

keep=no
if [ "${1:-}" = "--keep" ]; then keep=yes; fi

# BRIARWINCH_BIN: a folder of binaries already built.
bin=${BRIARWINCH_BIN:-target/release}
if [ -z "${BRIARWINCH_BIN:-}" ]; then cargo build --release --workspace --locked --quiet; fi
source scripts/fleet.sh

start platform "$bin/briarwinch-standin" platform
for n in 1 2 3; do start "engine$n" "$bin/briarwinch-standin" engine; done
start service "$bin/briarwinch-standin" service
platform=http://$(listening platform)

entry entry-1 jkt
entry entry-2 smg
side side-1 jkt juru-tulis engine1
side side-2 smg juru-tulis engine2
side side-3 sby juru-tulis engine3
side side-4 jkt loket service

export BRIARWINCH_PLATFORM=$platform BRIARWINCH_ADMIN=http://${admins[0]}
"$bin/briarwinch" apply examples/sidang-rekam.jsonc
key1=$("$bin/briarwinch" keys grant pn-surabaya)
key2=$("$bin/briarwinch" keys grant firma-hukum-kencana)
serving "$key1" "$key2"

if [ "$keep" = yes ]; then
  echo "running; try:"
  echo "  curl -N ${entries[0]}/v1/chat/completions -H 'Authorization: Bearer $key1' -H 'Content-Type: application/json' -d '{\"model\":\"juru-tulis\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"the list of exhibits\"}]}'"
  echo "  export BRIARWINCH_PLATFORM=$BRIARWINCH_PLATFORM BRIARWINCH_ADMIN=$BRIARWINCH_ADMIN"
  echo "  $bin/briarwinch status"
  echo "stop it with Ctrl-C"
  trap 'exit 0' INT TERM
  while :; do sleep 1; done
fi

"$bin/briarwinch-standin" load --target "$(IFS=,; echo "${entries[*]}")" --key "$key1,$key2" \
  --plan examples/demo-load.jsonc --seconds 10 --rate 60 --seed 7 >"$work/load.out" 2>"$work/load.err" ||
  { cat "$work/load.err" >&2; exit 1; }
cat "$work/load.out"
head -5 "$work/load.err"
read -r whole sent < <(sed -n 's/^answers whole \([0-9]*\) of \([0-9]*\)$/\1 \2/p' "$work/load.out")
echo "demo: answers whole $whole of $sent"
[ "$whole" = "$sent" ] && [ "$sent" -gt 0 ]
