#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-stand-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec ../../target/review-stand-2 cut
