#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts in review/4 to review/8. Fetches nothing that the
# build of the workspace has not fetched.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
cargo build --release --locked --offline --bin review-case
