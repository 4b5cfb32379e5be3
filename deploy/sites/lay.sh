#!/bin/sh
# lay.sh KIT: copies the three files that the bench expects beside these site files (wire.json, real.json, unlock.txt)
# into this folder. They belong to the kit and are not committed to git. KIT is the folder of the kit that has them, for
# example .../more/mass/other.
kit=${1:?usage: sh deploy/sites/lay.sh KIT, the folder of the kit that has wire.json, real.json and unlock.txt}
here=$(dirname "$0")
for f in wire.json real.json unlock.txt; do
  [ -f "$kit/$f" ] || { echo "lay.sh: $kit has no $f; these sites can only be simulated with the users' kit" >&2; exit 2; }
done
cp "$kit/wire.json" "$kit/real.json" "$kit/unlock.txt" "$here/"
