#!/bin/sh
# Builds the stand-ins of the second review's scripts under target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/stand_ins_2/*.py target/review-2/
python3 -m compileall -q target/review-2
