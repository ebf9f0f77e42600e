#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the versions of the project's Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/stand"
cp ../../Cargo.lock Cargo.lock
cargo build --release --offline || cargo build --release
