#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-3.md that are scripts. Needs no network: the only dependency
# is one of the workspace's, at its version. The versions are those of the workspace's Cargo.lock, of which
# the copy is not committed.
set -eu
cd "$(dirname "$0")/.."
cp Cargo.lock review/harness-3/Cargo.lock
CARGO_NET_OFFLINE=true cargo build --release --manifest-path review/harness-3/Cargo.toml \
    --target-dir target/review-3
