#!/bin/sh
# Puts the programs and what they need at run time into target/deps.
set -eu
stamp=target/.requirements
mkdir -p target
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
    -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
if ! diff -rq -x __pycache__ src/chicorycrank target/deps/chicorycrank >/dev/null 2>&1; then
  rm -rf target/deps/chicorycrank
  cp -r src/chicorycrank target/deps/
  python3 -m compileall -q target/deps
fi
