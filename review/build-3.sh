#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. It runs from any folder, after the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand-3 ./review/stand-3
