#!/bin/sh
# Compiles the stand-ins that the scripts of the third review start, under target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cp review/stand_ins_3/review_harness.py target/review-3/
python3 -m compileall -q -f target/review-3
