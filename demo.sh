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
work=$(mktemp -d)
pids=()

stop_all() {
  # Only what was started here, by process id; the daemons first, so that they drain.
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: a process of this demo, its output in files of its name.
start() {
  local name=$1; shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
}

# listening NAME: waits for a stand-in's address, chosen by the system.
listening() {
  for _ in $(seq 200); do
    local addr
    addr=$(sed -n 's/^listening //p' "$work/$1.out" 2>/dev/null)
    if [ -n "$addr" ]; then echo "$addr"; return; fi
    sleep 0.05
  done
  echo "demo: $1 does not start" >&2
  return 1
}

ready() {
  for _ in $(seq 200); do
    if curl -sf "http://$1/ready" >/dev/null; then return; fi
    sleep 0.05
  done
  echo "demo: the daemon at $1 does not become ready" >&2
  return 1
}

start platform "$bin/briarwinch-standin" platform
for n in 1 2 3; do start "engine$n" "$bin/briarwinch-standin" engine; done
start service "$bin/briarwinch-standin" service
platform=http://$(listening platform)
admins=()

seeds=

# daemon NAME ZONE: the settings all daemons have; the system chooses the ports.
daemon() {
  cat <<JSON
  "daemon": {
    "id": "$1", "region": "jawa", "zone": "$2",
    "peer_addr": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
    "platform_url": "$platform", "fleet_secret": "the demo's own secret",
    "seeds": [$seeds], "drain_ms": 5000
  },
JSON
}

# addr NAME FIELD: an address that a daemon has printed.
addr() {
  for _ in $(seq 200); do
    local found
    found=$(sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out" 2>/dev/null)
    if [ -n "$found" ]; then echo "$found"; return; fi
    sleep 0.05
  done
  echo "demo: $1 does not start" >&2
  cat "$work/$1.err" >&2
  return 1
}

entries=()
zones=(jkt smg)
for n in 0 1; do
  name=entry-$n
  { echo "{"; daemon "$name" "${zones[$n]}"; echo '  "listen_addr": "127.0.0.1:0" }'; } >"$work/$name.jsonc"
  start "$name" "$bin/briarwinch-entry" --settings "$work/$name.jsonc"
  entries+=("http://$(addr "$name" work_addr)")
  admins+=("$(addr "$name" admin_addr)")
  seeds="${seeds:+$seeds, }\"$(addr "$name" peer_addr)\""
done

zones=(jkt smg sby jkt)
for n in 0 1 2 3; do
  name=side-$n; service=juru-tulis; backend=engine$((n + 1))
  if [ "$n" = 3 ]; then service=loket; backend=service; fi
  { echo "{"; daemon "$name" "${zones[$n]}"
    echo '  "work_addr": "127.0.0.1:0",'
    echo "  \"endpoints\": [{ \"id\": \"$service-$n\", \"service\": \"$service\", \"url\": \"http://$(listening "$backend")\" }] }"
  } >"$work/$name.jsonc"
  start "$name" "$bin/briarwinch-side" --settings "$work/$name.jsonc"
  admins+=("$(addr "$name" admin_addr)")
done

export BRIARWINCH_PLATFORM=$platform BRIARWINCH_ADMIN=http://${admins[0]}
"$bin/briarwinch" apply examples/sidang-rekam.jsonc
key1=$("$bin/briarwinch" keys grant pn-surabaya)
key2=$("$bin/briarwinch" keys grant firma-hukum-kencana)
for admin in "${admins[@]}"; do ready "$admin"; done
for entry in "${entries[@]}"; do
  # The keys and the sides take a moment to reach each entry.
  for key in "$key1" "$key2"; do
    for _ in $(seq 100); do
      code=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $key" "$entry/services/loket/orders")
      if [ "$code" = 200 ]; then break; fi
      sleep 0.1
    done
  done
done

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
