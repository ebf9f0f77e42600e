#!/usr/bin/env bash
# Exits with 1 if a task ran twice at the same time, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves out the cut.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/stand/target/release/gang
if ! [ -x target/release/waxwingd ] || ! [ -x "$program" ]; then
  echo "not built: the build of deploy/system.toml and review/build.sh come first"
  exit 2
fi
folder=$(mktemp -d)
# The program ends what it starts; this is for the case that it is ended itself.
cleanup() {
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = waxwingd ] && kill -9 "$pid"
    done < "$folder/pids"
  fi
  rm -rf "$folder"
}
trap cleanup EXIT
CUT=refuse TMPDIR=$folder REVIEW_PIDS=$folder/pids timeout -k 1 110 "$program" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
