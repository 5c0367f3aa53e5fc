#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, offline, into review/target.
set -euo pipefail
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=../target cargo build --release --offline --locked
