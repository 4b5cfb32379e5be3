#!/bin/sh
# lay.sh KIT: lays beside these site files the three files that the bench wants there (wire.json, real.json, unlock.txt). They are the
# kit's and stay out of git. KIT is the kit's folder that has them, as .../more/mass/other.
kit=${1:?usage: sh deploy/sites/lay.sh KIT, a folder of the kit that has wire.json, real.json and unlock.txt}
here=$(dirname "$0")
for f in wire.json real.json unlock.txt; do
  [ -f "$kit/$f" ] || { echo "lay.sh: $kit has no $f; these sites are played with the users' kit only" >&2; exit 2; }
done
cp "$kit/wire.json" "$kit/real.json" "$kit/unlock.txt" "$here/"
