#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run it after the build of the deploy file, whose libraries they use.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -Xlint:all,-processing -cp 'target/dist/lib/*' -d target/review-3 review/standins-3/*.java
