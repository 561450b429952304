#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It runs from any folder, after the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand-2 ./review/stand-2
