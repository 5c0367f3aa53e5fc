#!/usr/bin/env bash
# Demonstrates the system on this machine: starts stand-ins for the platform and four upstreams, and
# four entry hosts in four availability zones; publishes a record, sends requests, and shows the owner
# of a key and the time line. Stops all processes at the end. Exits with 0 only if every step passed.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${SKYLARKDOCK_DEMO_BIN:-}
if [ -z "$bin" ]; then
  echo "== Build"
  cargo build --release --workspace --bins --locked
  bin=target/release
fi
unset SKYLARKDOCK_DEMO_BIN
dir=$(mktemp -d)
pids=()

stop() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 100); do
    any_running || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
any_running() {
  local pid
  for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && return 0; done
  return 1
}
trap stop EXIT

fail() {
  echo "demo: $1" >&2
  exit 1
}

# start NAME PROGRAM ARGUMENT...: starts a process and waits until it listens. Each process
# listens on port 0 and prints the address assigned to it.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '^listening ' "$dir/$name.out" && return
    sleep 0.05
  done
  cat "$dir/$name.log" >&2
  fail "$name did not start"
}

# address NAME [LABEL]: prints the address that a process printed after LABEL (default: listening).
address() {
  sed -n "s/^${2:-listening} //p" "$dir/$1.out" | head -n 1
}

# call METHOD ADDRESS PATH BODY [HEADER...]: makes an HTTP request and prints the whole response.
call() {
  local method=$1 addr=$2 path=$3 body=$4 header
  shift 4
  exec 3<>"/dev/tcp/${addr%:*}/${addr#*:}"
  {
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' "$method" "$path" "$addr"
    printf 'Content-Length: %s\r\n' "${#body}"
    for header in "$@"; do printf '%s\r\n' "$header"; done
    printf '\r\n%s' "$body"
  } >&3
  tr -d '\r' <&3
  exec 3>&-
}

# show FILE: prints a response and fails unless its status is 200.
show() {
  cat "$1"
  echo
  head -n 1 "$1" | grep -q ' 200 ' || fail "the response status is not 200"
}

# new_id: prints a UUIDv7, made of the current time and random digits.
new_id() {
  local time random
  time=$(printf '%012x' "$(date +%s%3N)")
  random=$(cat /proc/sys/kernel/random/uuid)
  echo "${time:0:8}-${time:8:4}-7${random:15}"
}

echo "== Stand-ins: log, host list, four upstreams"
start log "$bin/skylarkdock-standin" log --listen 127.0.0.1:0
start hosts "$bin/skylarkdock-standin" hosts --listen 127.0.0.1:0
cp examples/orders.json "$dir/orders.json"
for i in 1 2 3 4; do
  start "orders-$i" "$bin/skylarkdock-standin" upstream --listen 127.0.0.1:0 \
    --service orders --id "orders-$i" --work-ms 5
  sed -i "s/127.0.0.1:1900$i/$(address "orders-$i")/" "$dir/orders.json"
done

echo "== Four entry hosts in four availability zones"
export SKYLARKDOCK_SECRET=demo-secret-of-all-hosts
zones=(norte-a norte-b sur-a sur-b)
rows=()
for i in 0 1 2 3; do
  zone=${zones[$i]}
  region="bajio-${zone%-*}"
  start "host-$i" "$bin/skylarkdockd" --host-id "host-$i" --zone "$zone" --region "$region" \
    --peer-listen 127.0.0.1:0 --http-listen 127.0.0.1:0 \
    --log "$(address log)" --host-list "$(address hosts)"
  rows+=("{\"id\":\"host-$i\",\"zone\":\"$zone\",\"region\":\"$region\",\"peer\":\"$(address "host-$i" peer)\",\"http\":\"$(address "host-$i")\",\"leaving\":false}")
done
call PUT "$(address hosts)" /_standin/hosts "{\"hosts\":[$(IFS=,; echo "${rows[*]}")]}" >"$dir/put"
head -n 1 "$dir/put" | grep -q ' 200 ' || fail "the stand-in did not accept the host list"

SKYLARKDOCK_HOSTS=$(address host-0),$(address host-1)
export SKYLARKDOCK_HOSTS
sky=$bin/skylarkdock
for _ in $(seq 100); do
  [ "$("$sky" hosts 2>/dev/null | grep -c ' live ')" -ge 4 ] && break
  sleep 0.1
done
"$sky" hosts
[ "$("$sky" hosts | grep -c ' live ')" -ge 4 ] || fail "not all hosts are live"

echo
echo "== Check and publish a record; wait until it is in force everywhere"
"$sky" check "$dir/orders.json"
"$sky" publish "$dir/orders.json" --create --by demo --wait
"$sky" records

echo
echo "== A repeatable request through host-2"
call GET "$(address host-2)" /orders/well-7/report '' >"$dir/report"
show "$dir/report"

id=$(new_id)
echo "== A once-only request $id through host-1 and, sent again, through host-3"
for i in 1 3; do
  call POST "$(address "host-$i")" /orders/well-7/resin resin "Idempotency-Key: $id" >"$dir/resin-$i"
  show "$dir/resin-$i"
done
[ "$(tail -n 1 "$dir/resin-1")" = "$(tail -n 1 "$dir/resin-3")" ] ||
  fail "the two responses differ"

runs=0
for i in 1 2 3 4; do
  call GET "$(address "orders-$i")" '/_standin/runs?from=0&max=1000' '' >"$dir/runs-$i"
  runs=$((runs + $(grep -o "\"request_id\":\"$id\"" "$dir/runs-$i" | grep -c . || true)))
done
echo "The upstreams ran it $runs time(s)."
[ "$runs" = 1 ] || fail "the once-only request must run once"

echo
echo "== What became of the request"
"$sky" explain "$id"

echo
echo "== Who serves the key, and why"
"$sky" explain orders well-7

echo
echo "== The end of the time line over all processes"
"$sky" timeline >"$dir/timeline"
tail -n 12 "$dir/timeline"

echo
echo "== Done; stopping all processes"
