#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption. Needs the builds of deploy/build.sh and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec java -cp "target/review-2:target/dist/lib/*" ManyKeys "$folder"
