#!/usr/bin/env bash
# Plays a script of the review: play.sh NAME FOLDER. Writes FOLDER/record.txt; exits with 0 (the rule held), 1 (broken)
# or 2 (the script could not run). Ends all processes that were started.
set -u
name=$1
record=$2/record.txt
cd "$(dirname "$0")/../.."
program=target/review/release/$name
if [ ! -x "$program" ] || [ ! -x target/release/briarwinch-gateway ]; then
  echo "exit 2: not built; run the deploy file's build and review/build.sh first"
  exit 2
fi
rm -f "$record"
end_entries() {
  # Processes of the record that are still entries of this run: their settings lie in the folder of its script.
  folder=$(grep -o -m1 'briarwinch-review-[0-9]*' "$record" 2>/dev/null) || return 0
  grep -o 'as process [0-9]*' "$record" | while read -r _ _ pid; do
    if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -q "^BRIARWINCH_BOOT=.*/$folder/"; then
      kill -KILL "$pid" 2>/dev/null
    fi
  done
}
trap end_entries EXIT
timeout --kill-after=1 115 "$program" "$record"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
