#!/usr/bin/env bash
# Case review/12, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. With TROUBLE=0 the disruption is left out. Writes record.txt beside this file.
set -um
cd "$(dirname "$0")/../.." || exit 2
stand=target/review-3/release/review-harness-3
if [ ! -x "$stand" ] || [ ! -x target/release/waxwingd ]; then
    echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
export TROUBLE="${TROUBLE:-1}"
timeout -k 2 116 "$stand" advised-watch review/12/record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
