#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs a JDK and no network.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -Xlint:all,-try -d target/classes harness/src/review/*.java
