#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/stand"
cargo build --release --locked --offline || cargo build --release --locked
