#!/bin/sh
# Creates the files that `run` needs in addition to the jars.
# target/node.args: the JVM options, and a class path with only the libraries that a node needs, because the JVM keeps
# open each jar that it searches for a class.
# target/node.jsa: the class data sharing archive of the classes that a node needs, recorded by a training run with
# exactly the same options. A node also starts without the archive, but more slowly; therefore the build does not fail
# if the archive cannot be created.
set -eu
lib=target/lib
path=$(echo $lib/mina-core-*.jar $lib/slf4j-api-*.jar $lib/logback-c*.jar $lib/jackson-*.jar $lib/jctools-core-*.jar target/laurelkeel-node.jar | tr ' ' ':')
{ cat deploy/node.args; printf '%s\n' -cp "$path" laurelkeel.cli.Main; } >target/node.args
rm -f target/node.jsa
java -XX:ArchiveClassesAtExit=target/node.jsa @target/node.args rehearse >target/rehearsal.log 2>&1 \
  || echo "class archive not created: see target/rehearsal.log" >&2
