#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0: the same without the disruption, which must pass.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || sh review/build-2.sh || exit 2
PYTHONPATH=target/deps:target/review-2 timeout -k 10 105 python3 review/6/case.py
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
