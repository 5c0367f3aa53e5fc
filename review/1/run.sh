#!/usr/bin/env bash
# Starts three hosts, stand-ins of the store and of backends, and a client. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/skylarkdock-host review/target/release/review-case; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec review/target/release/review-case drill review/1/record.txt
