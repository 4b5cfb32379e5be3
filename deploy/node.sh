#!/bin/sh
# One front node's process, within 192 MB and few descriptors: the libraries it needs by name, for each one found on the way to a
# class would be held open, and the classes archived by archive.sh, if there.
lib=target/lib
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto ${LAURELKEEL_ARCHIVE:--XX:SharedArchiveFile=target/node.jsa} -Xms24m -Xmx48m -Xss256k \
  -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=8m -XX:-UsePerfData \
  -cp "$(echo $lib/mina-core-*.jar $lib/slf4j-api-*.jar $lib/logback-c*.jar $lib/jackson-*.jar $lib/jctools-core-*.jar target/laurelkeel-node.jar | tr ' ' ':')" \
  laurelkeel.cli.Main "$@"
