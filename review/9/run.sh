#!/bin/sh
# Runs case 9; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -f target/platform/gentiandale-platform.jar ] || exit 2
timeout -k 5 118 java -Xmx128m -cp target/review-2 review2.TakeUps "$PWD" "$PWD/review/9"
status=$?
[ $status -le 2 ] || status=2
exit $status
