#!/bin/sh
# Builds heatherhaven without its tests, and gathers all that runs under target/dist.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -DskipTests -Dspotless.check.skip=true -Dcheckstyle.skip=true package
rm -rf target/dist
mkdir -p target/dist
cp cli/target/heatherhaven-cli-*.jar target/dist/heatherhaven.jar
cp -r cli/target/lib target/dist/lib
# A class-data archive halves the time until a restarted process listens. It records the classes of a short rehearsal.
java -Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/dist/heatherhaven.jsa \
  -cp target/dist/heatherhaven.jar org.heatherhaven.cli.Main demo --seconds 2 > target/dist/rehearsal.log 2>&1
