#!/bin/sh
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption. Run it after the build line of deploy/balancer.toml and after review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
if [ ! -f "$here/../target/standin.jar" ] || [ ! -f "$here/../../target/node.args" ]; then
  echo "not built: run the build line of deploy/balancer.toml and review/build.sh" >&2
  exit 2
fi
exec java -cp "$here/../target/standin.jar" review.ShortLength "$here" "$here/../.."
