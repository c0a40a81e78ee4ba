#!/bin/sh
# Builds heatherhaven without running its tests, and collects the files needed at run time in target/dist.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -DskipTests -Dspotless.check.skip=true -Dcheckstyle.skip=true package
rm -rf target/dist
mkdir -p target/dist
cp cli/target/heatherhaven-cli-*.jar target/dist/heatherhaven.jar
cp -r cli/target/lib target/dist/lib
# Creates a class data sharing archive, which halves the time until a restarted process listens. It contains the classes
# that a short run of the demo loads.
rehearse() {
  java -Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/dist/heatherhaven.jsa \
    -cp target/dist/heatherhaven.jar org.heatherhaven.cli.Main demo --seconds 2 > target/dist/rehearsal.log 2>&1
}
# A port that was free when the demo looked for one may be in use a moment later.
rehearse || rehearse
