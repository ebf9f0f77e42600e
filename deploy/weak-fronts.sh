#!/usr/bin/env bash
# Writes a copy of an installation's sheet in which all fronts have the least that any front there has: the pool
# must hold with its strong machines lost or never bought.
#
# Usage: deploy/weak-fronts.sh SHEET FOLDER, which gets the copy and the files that it names.
set -euo pipefail

sheet=$1
folder=$2
mkdir -p "$folder"
cp "$(dirname "$sheet")/wire.json" "$folder/"

# The least value of one field over all fronts of the sheet's list of machines.
least() {
  grep -E '^  \{ class = "front"' "$sheet" | grep -oE "$1 = [0-9.]+" | grep -oE '[0-9.]+$' | sort -g | head -1
}

edits=()
for field in cpu_share memory_mb fds link_mbps; do
  edits+=(-e "/^  \{ class = \"front\"/ s/$field = [0-9.]+/$field = $(least $field)/")
done
sed -E "${edits[@]}" "$sheet" > "$folder/$(basename "$sheet" .toml)-weak.toml"
