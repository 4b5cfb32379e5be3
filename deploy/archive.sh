#!/bin/sh
# Learns by a rehearsal which classes a front node needs, and keeps them for its starts (class data sharing). A node starts without
# the archive too, only slower, so a build does not fail for want of it.
rm -f target/node.jsa
LAURELKEEL_ARCHIVE=-XX:ArchiveClassesAtExit=target/node.jsa sh deploy/node.sh rehearse >target/rehearsal.log 2>&1 \
  || echo "no class archive: see target/rehearsal.log" >&2
