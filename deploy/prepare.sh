#!/bin/sh
# Makes what `run` needs beside the jars. target/node.args: the runtime's options, and by name the libraries that a node needs, for
# each one found on the way to a class would be held open. target/node.jsa: the classes that a node needs, learnt by a rehearsal with
# the very same options (class data sharing). A node starts without the archive too, only slower, so a build does not fail for want of it.
set -eu
lib=target/lib
path=$(echo $lib/mina-core-*.jar $lib/slf4j-api-*.jar $lib/logback-c*.jar $lib/jackson-*.jar $lib/jctools-core-*.jar target/laurelkeel-node.jar | tr ' ' ':')
{ cat deploy/node.args; printf '%s\n' -cp "$path" laurelkeel.cli.Main; } >target/node.args
rm -f target/node.jsa
java -XX:ArchiveClassesAtExit=target/node.jsa @target/node.args rehearse >target/rehearsal.log 2>&1 \
  || echo "no class archive: see target/rehearsal.log" >&2
