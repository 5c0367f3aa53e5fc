#!/usr/bin/env bash
# Measures the latency that one entry host adds to a call of an upstream, and the maximum requests per
# second that it serves with two traffic threads. Every step has a time limit.
# Writes the results to DIRECTORY as JSON and prints a summary as Markdown.
#
# Usage: scripts/measure-latency.sh DIRECTORY [BINARIES]
# The environment variables ROUNDS, RATE and SPAN override the defaults; PERF=1 profiles the last run
# through the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=${1:?a directory for the results}
readonly BIN=${2:-target/release}
readonly ROUNDS=${ROUNDS:-3}
readonly RATE=${RATE:-2000}
readonly SPAN=${SPAN:-8s}
readonly UPSTREAMS=4
readonly SLOTS=256
readonly STEP_LIMIT_S=60
readonly RANGES=64

mkdir -p "$OUT"
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    timeout 5 tail --pid="$pid" -f /dev/null || kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$dir"
}
trap stop EXIT

start() { # NAME PROGRAM ARGS...
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '^listening ' "$dir/$name.out" && return
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$dir/$name.log" >&2
  exit 1
}

address() { # NAME LABEL
  sed -n "s/^$2 //p" "$dir/$1.out" | head -n 1
}

load() { # FILE ARGS...
  local file=$1
  shift
  local averages
  averages=$(cut -d ' ' -f 1-3 /proc/loadavg)
  timeout "$STEP_LIMIT_S" "$BIN/skylarkdock-load" "$@" --keys 1000 --json "$OUT/$file.json" \
    >"$OUT/$file.txt"
  echo "$averages" >"$OUT/$file.load"
}

start log "$BIN/skylarkdock-standin" log --listen 127.0.0.1:0
start hosts "$BIN/skylarkdock-standin" hosts --listen 127.0.0.1:0
rows=()
direct=()
for i in $(seq "$UPSTREAMS"); do
  start "bench-$i" "$BIN/skylarkdock-standin" upstream --listen 127.0.0.1:0 --service bench \
    --id "bench-$i" --work-ms 0 --slots "$SLOTS" --keep-runs 1000 --checks-orders false
  addr=$(address "bench-$i" listening)
  direct+=(--target "$addr")
  rows+=("{\"id\":\"bench-$i\",\"address\":\"$addr\",\"zone\":\"norte-a\",\"slots\":$SLOTS,\"connections\":1024,\"checks_orders\":false}")
done
record="{\"schema\":2,\"service\":\"bench\",\"ranges\":$RANGES,\"deadline_ms\":5000,\"on_cut\":\"move\",\"operations\":[{\"method\":\"GET\",\"class\":\"repeatable\",\"priority\":\"interactive\"}],\"upstreams\":[$(IFS=,; echo "${rows[*]}")]}"

start host "$BIN/skylarkdockd" --host-id host-1 --zone norte-a --region bajio-norte \
  --secret secret-of-the-measured-host --peer-listen 127.0.0.1:0 --http-listen 127.0.0.1:0 \
  --log "$(address log listening)" --host-list "$(address hosts listening)" \
  --traffic-threads 2 --log-level warn
daemon=${pids[-1]}
http=$(address host listening)
peer=$(address host peer)
curl --silent --show-error --fail --max-time 5 -X PUT "http://$(address hosts listening)/_standin/hosts" \
  -d "{\"hosts\":[{\"id\":\"host-1\",\"zone\":\"norte-a\",\"region\":\"bajio-norte\",\"peer\":\"$peer\",\"http\":\"$http\",\"leaving\":false}]}" >/dev/null
echo "$record" >"$dir/record.json"
for _ in $(seq 100); do
  curl --silent --fail --max-time 1 "http://$http/health" >/dev/null && break
  sleep 0.1
done
SKYLARKDOCK_HOSTS=$http timeout 20 "$BIN/skylarkdock" publish "$dir/record.json" --create --by bench --wait
for _ in $(seq 100); do
  curl --silent --max-time 1 "http://$http/metrics" | grep -q "^skylarkdock_ranges_held $RANGES" && break
  sleep 0.1
done
sleep 2

template='/bench/{key}/x'
echo "| round | run | answers/s | p50 ms | p99 ms | not 2xx | load average |"
echo "| --- | --- | --- | --- | --- | --- | --- |"
show() { # ROUND RUN FILE
  python3 - "$1" "$2" "$OUT/$3" <<'PY'
import json, sys
round_, run, path = sys.argv[1:]
s = json.load(open(path + ".json"))
bad = sum(n for c, n in s["statuses"].items() if not 200 <= int(c) < 300) + sum(s["failures"].values())
q = s["latency"]
loads = open(path + ".load").read().strip()
print(f'| {round_} | {run} | {s["rate_achieved"]:.0f} | {q["p50_us"]/1000:.3f} | {q["p99_us"]/1000:.3f} | {bad} | {loads} |')
PY
}
ticks() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
# Prints the milliseconds that the daemon's threads were runnable but waited for a core, and how many
# times they were scheduled.
run_queue_wait() { cat /proc/"$daemon"/task/*/schedstat | awk '{w += $2; n += $3} END {printf "%d %d", w / 1000000, n}'; }
for round in $(seq "$ROUNDS"); do
  load "direct-$round" "${direct[@]}" --path-template "$template" --direct bench --rate "$RATE" --duration "$SPAN"
  show "$round" "direct, $RATE/s" "direct-$round"
  read -r waited_before runs_before <<<"$(run_queue_wait)"
  load "routed-$round" --target "$http" --path-template "$template" --rate "$RATE" --duration "$SPAN"
  show "$round" "routed, $RATE/s" "routed-$round"
  read -r waited_after runs_after <<<"$(run_queue_wait)"
  echo "routed in round $round: daemon's threads waited $((waited_after - waited_before)) ms for a core in $((runs_after - runs_before)) runs" >>"$dir/added"
  echo "added in round $round: $("$BIN/skylarkdock-load" compare "$OUT/direct-$round.json" "$OUT/routed-$round.json" | tr -s ' \n' ' ')" >>"$dir/added"
done
for connections in 16 64 128; do
  before=$(ticks)
  if [ -n "${PERF:-}" ] && [ "$connections" = 128 ]; then
    timeout 20 perf record --quiet -F 499 -g -o "$OUT/perf.data" -p "$daemon" -- sleep 6 2>"$OUT/perf.log" &
    pids+=($!)
  fi
  load "most-$connections" --target "$http" --path-template "$template" --connections "$connections" \
    --threads 3 --duration "$SPAN" --warmup 1s
  show "-" "most, $connections connections" "most-$connections"
  after=$(ticks)
  echo "most, $connections connections: daemon used $((after - before)) ticks of 1/$(getconf CLK_TCK) s over warm-up and span" >>"$dir/added"
done
load most-direct "${direct[@]}" --path-template "$template" --direct bench --connections 64 --threads 3 --duration "$SPAN"
show "-" "direct, most, 64 connections" most-direct
echo
cat "$dir/added"
