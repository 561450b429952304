#!/bin/sh
# Builds the stand-ins of the scripts. The node is built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand ./review/stand
