#!/bin/sh
# Builds the stand-ins and the cases of the review into target/review. Needs target/dist, the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -Xlint:-options --release 17 -d target/review -cp "target/dist/lib/*" $(find review -name '*.java')
cp review/standins/wire.properties target/review/
