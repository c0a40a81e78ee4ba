#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2, after deploy/build.sh has built the node.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp "target/dist/lib/*" review/standins-2/*.java
