#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts in review/4 to review/8. Fetches nothing that the
# build of the workspace has not fetched: the versions are those of the workspace's Cargo.lock, of
# which the copy is not committed.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
cp ../../Cargo.lock Cargo.lock
cargo build --release --offline --bin review-case
