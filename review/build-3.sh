#!/bin/sh
# Puts the stand-ins that the scripts of review/11 to review/15 start into target/review-3.
# Run it at the root of the repository after the build of the deploy file; it needs no network.
set -eu
rm -rf target/review-3
mkdir -p target/review-3
cp -r src/chicorycrank_standin target/review-3/
cp review/small_platform.py target/review-3/
python3 -m compileall -q target/review-3
PYTHONPATH=target/deps:target/review-3 python3 -c "import small_platform"
