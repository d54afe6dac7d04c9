#!/bin/sh
# Runs case 4 after `sh deploy/build` and `sh review/build.sh`.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/app/start.py ] || [ ! -f target/review/review_stand_ins.py ]; then
    echo "run deploy/build and review/build.sh first" >&2
    exit 2
fi
PYTHONPATH=target/review:target/deps exec python3 review/4/case.py
