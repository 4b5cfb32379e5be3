#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
jar=target/review-2/peers.jar
[ -f "$jar" ] && [ -f target/node.args ] || { echo "build first: see review/REPORT-2.md" >&2; exit 2; }
exec java -XX:+UseSerialGC -Xmx512m -Djava.net.preferIPv4Stack=true -cp "$jar" reviewpeers.ShortLengthCase "review/8"
