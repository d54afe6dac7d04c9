#!/bin/sh
# Builds the stand-ins of the review's scripts under target/review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/stand_ins/*.py target/review/
python3 -m compileall -q target/review
