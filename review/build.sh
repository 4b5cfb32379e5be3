#!/bin/sh
# Builds the stand-ins of the cases: review/target/standin.jar. Needs the JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes standin/*.java
jar --create --file target/standin.jar -C target/classes .
