#!/bin/sh
# Builds the stand-ins of the scripts of the second review into target/review-2: the project's own
# and small_deployment.py. They need the packages in target/deps only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/chicorycrank_standin target/review-2/
cp review/small_deployment.py target/review-2/
python3 -m compileall -q target/review-2
PYTHONPATH=target/deps:target/review-2 python3 -c "import small_deployment"
