#!/usr/bin/env bash
# Writes a copy of an installation's sheet in which every front VM has the smallest value of each resource that any
# front VM of the sheet has. The pool must also work without its strong VMs, whether they fail or were never bought.
#
# Usage: deploy/weak-fronts.sh SHEET FOLDER. The script writes the copy and the files that it refers to into FOLDER.
set -euo pipefail

sheet=$1
folder=$2
mkdir -p "$folder"
cp "$(dirname "$sheet")/wire.json" "$folder/"

# least FIELD: prints the smallest value of a field over all fronts in the sheet's list of machines.
least() {
  grep -E '^  \{ class = "front"' "$sheet" | grep -oE "$1 = [0-9.]+" | grep -oE '[0-9.]+$' | sort -g | head -1
}

edits=()
for field in cpu_share memory_mb fds link_mbps; do
  edits+=(-e "/^  \{ class = \"front\"/ s/$field = [0-9.]+/$field = $(least $field)/")
done
sed -E "${edits[@]}" "$sheet" > "$folder/$(basename "$sheet" .toml)-weak.toml"
