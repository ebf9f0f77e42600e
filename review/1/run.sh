#!/usr/bin/env bash
# Exits with 1 if a task ran twice at the same time, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves out the freezes.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/waxwingd ] && [ -x review/stand/target/release/wake ] || { echo "build first: the build of deploy/system.toml, review/build.sh"; exit 2; }
timeout -k 2 117 review/stand/target/release/wake "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
