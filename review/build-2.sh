#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, without a network.
set -euo pipefail
cd "$(dirname "$0")"

CARGO_TARGET_DIR="$PWD/target" cargo build --release --offline --locked --manifest-path standins-2/Cargo.toml
