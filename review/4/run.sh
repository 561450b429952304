#!/bin/sh
# Plays the case in this folder. TROUBLE=0 leaves the disruption out.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review/stand ] && [ -x target/magnoliawharf ] || exit 2
exec target/review/stand leaving-after-restart "$folder/record.txt"
