#!/bin/sh
# Builds heatherhaven without its tests, and gathers all that runs under target/dist.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -DskipTests -Dspotless.check.skip=true -Dcheckstyle.skip=true package
rm -rf target/dist
mkdir -p target/dist
cp cli/target/heatherhaven-cli-*.jar target/dist/heatherhaven.jar
cp -r cli/target/lib target/dist/lib
