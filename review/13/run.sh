#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Needs target/dist (deploy/build.sh) and target/review-3 (review/build-3.sh).
cd "$(dirname "$0")/../.." || exit 2
test -f target/review-3/review3/Review.class || exit 2
exec java -cp 'target/review-3:target/dist/lib/*' review3.Review departed-backend review/13
