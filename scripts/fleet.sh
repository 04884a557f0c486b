# Shared functions of demo.sh and scripts/measure-path.sh: start processes, read the addresses they
# listen on, write settings files and stop the processes on exit. Sourced by these scripts, which set
# `bin_dir` to the directory of the binaries.

work_dir=$(mktemp -d)
pids=()
seeds=
entries=()
admins=()

stop_all() {
  # Signals only the processes started here, by process id. The daemons drain on SIGTERM.
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work_dir"
}
trap stop_all EXIT

# start_process NAME COMMAND...: starts a process in the background. Its output and process id go to
# files named after it.
start_process() {
  local name=$1; shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
  pids+=($!)
  echo $! >"$work_dir/$name.pid"
}

# wait_for_output NAME SED_SCRIPT: waits up to 10 s until the sed script matches a process's output, and
# prints the match.
wait_for_output() {
  for _ in $(seq 200); do
    local found
    found=$(sed -n "$2" "$work_dir/$1.out" 2>/dev/null)
    if [ -n "$found" ]; then echo "$found"; return; fi
    sleep 0.05
  done
  echo "$1 does not start" >&2
  cat "$work_dir/$1.err" >&2
  return 1
}

# standin_address NAME: prints the address of a stand-in. The operating system chooses the port.
standin_address() { wait_for_output "$1" 's/^listening //p'; }

# daemon_address NAME FIELD: prints an address from a daemon's output.
daemon_address() { wait_for_output "$1" "s/.*\"$2\":\"\\([^\"]*\\)\".*/\\1/p"; }

# wait_until_ready ADDR: waits up to 10 s until a daemon is ready.
wait_until_ready() {
  for _ in $(seq 200); do
    if curl -sf "http://$1/ready" >/dev/null; then return; fi
    sleep 0.05
  done
  echo "the daemon at $1 does not become ready" >&2
  return 1
}

# daemon_settings NAME ZONE: prints the settings common to all daemons. Port 0 lets the operating system
# choose the port.
daemon_settings() {
  cat <<JSON
  "daemon": {
    "id": "$1", "region": "jawa", "zone": "$2",
    "peer_addr": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
    "platform_url": "$platform", "fleet_secret": "the demo's own secret",
    "seeds": [$seeds], "drain_ms": 5000
  },
JSON
}

# start_entry NAME ZONE: starts an entry.
start_entry() {
  { echo "{"; daemon_settings "$1" "$2"; echo '  "listen_addr": "127.0.0.1:0" }'; } >"$work_dir/$1.jsonc"
  start_process "$1" "$bin_dir/briarwinch-entry" --settings "$work_dir/$1.jsonc"
  entries+=("http://$(daemon_address "$1" work_addr)")
  admins+=("$(daemon_address "$1" admin_addr)")
  seeds="${seeds:+$seeds, }\"$(daemon_address "$1" peer_addr)\""
}

# start_side NAME ZONE SERVICE STANDIN: starts a side in front of a stand-in's endpoint.
start_side() {
  { echo "{"; daemon_settings "$1" "$2"
    echo '  "work_addr": "127.0.0.1:0",'
    echo "  \"endpoints\": [{ \"id\": \"$3-$1\", \"service\": \"$3\", \"url\": \"http://$(standin_address "$4")\" }] }"
  } >"$work_dir/$1.jsonc"
  start_process "$1" "$bin_dir/briarwinch-side" --settings "$work_dir/$1.jsonc"
  admins+=("$(daemon_address "$1" admin_addr)")
}

# wait_until_serving KEY...: waits until all daemons are ready, then up to 10 s per entry and key until
# the entry accepts the key.
wait_until_serving() {
  for admin in "${admins[@]}"; do wait_until_ready "$admin"; done
  local entry key code
  for entry in "${entries[@]}"; do
    for key in "$@"; do
      for _ in $(seq 100); do
        code=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $key" \
          "$entry/services/loket/orders")
        if [ "$code" = 200 ]; then break; fi
        sleep 0.1
      done
    done
  done
}
