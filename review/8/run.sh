#!/bin/sh
# Runs case 8 after `sh deploy/build` and `sh review/build-2.sh`.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/app/start.py ] || [ ! -f target/review-2/review2_stand_ins.py ]; then
    echo "run deploy/build and review/build-2.sh first" >&2
    exit 2
fi
PYTHONPATH=target/review-2:target/deps exec python3 review/8/case.py
