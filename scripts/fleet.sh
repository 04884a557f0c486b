# Functions that the demo and the measure of the real path share: start processes, read where they
# listen, write settings, end what was started. To be sourced; `bin` names the folder of binaries.

work=$(mktemp -d)
pids=()
seeds=
entries=()
admins=()

stop_all() {
  # Only what was started here, by process id; the daemons drain on this signal.
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: a process of this fleet, its output in files of its name.
start() {
  local name=$1; shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  echo $! >"$work/$name.pid"
}

# until_printed NAME SED_SCRIPT: waits for something that a process prints.
until_printed() {
  for _ in $(seq 200); do
    local found
    found=$(sed -n "$2" "$work/$1.out" 2>/dev/null)
    if [ -n "$found" ]; then echo "$found"; return; fi
    sleep 0.05
  done
  echo "$1 does not start" >&2
  cat "$work/$1.err" >&2
  return 1
}

# listening NAME: a stand-in's address, chosen by the system.
listening() { until_printed "$1" 's/^listening //p'; }

# addr NAME FIELD: an address that a daemon has printed.
addr() { until_printed "$1" "s/.*\"$2\":\"\\([^\"]*\\)\".*/\\1/p"; }

# ready ADDR: waits until a daemon is ready.
ready() {
  for _ in $(seq 200); do
    if curl -sf "http://$1/ready" >/dev/null; then return; fi
    sleep 0.05
  done
  echo "the daemon at $1 does not become ready" >&2
  return 1
}

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

# entry NAME ZONE: starts an entry.
entry() {
  { echo "{"; daemon "$1" "$2"; echo '  "listen_addr": "127.0.0.1:0" }'; } >"$work/$1.jsonc"
  start "$1" "$bin/briarwinch-entry" --settings "$work/$1.jsonc"
  entries+=("http://$(addr "$1" work_addr)")
  admins+=("$(addr "$1" admin_addr)")
  seeds="${seeds:+$seeds, }\"$(addr "$1" peer_addr)\""
}

# side NAME ZONE SERVICE STANDIN: starts a side before a stand-in's endpoint.
side() {
  { echo "{"; daemon "$1" "$2"
    echo '  "work_addr": "127.0.0.1:0",'
    echo "  \"endpoints\": [{ \"id\": \"$3-$1\", \"service\": \"$3\", \"url\": \"http://$(listening "$4")\" }] }"
  } >"$work/$1.jsonc"
  start "$1" "$bin/briarwinch-side" --settings "$work/$1.jsonc"
  admins+=("$(addr "$1" admin_addr)")
}

# serving KEY...: waits until all daemons are ready and all entries serve these keys.
serving() {
  for admin in "${admins[@]}"; do ready "$admin"; done
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
