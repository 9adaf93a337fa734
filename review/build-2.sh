#!/usr/bin/env bash
# Put the project's stand-ins, which the scripts of review/6 to review/10 start, under
# target/review-2. Run it after deploy/build.sh; it needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2/berylcleat
cp -r standins/src/berylcleat/standins target/review-2/berylcleat/standins
find target/review-2 -name __pycache__ -prune -exec rm -rf {} +
