#!/bin/sh
# Puts the programs and what they need at run time into target/deps.
set -eu

fail() {
  echo "deploy/build.sh: $1" >&2
  exit 1
}

case "$PWD" in
  /tmp | /tmp/*)
    # Each process on the platform has a private /tmp.
    echo "deploy/build.sh: warning: programs below /tmp cannot be started by the platform" >&2
    ;;
esac
stamp=target/.requirements
mkdir -p target
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
    -r deploy/requirements.txt || fail "the packages of deploy/requirements.txt were not installed"
  cp deploy/requirements.txt "$stamp"
fi
if ! diff -rq -x __pycache__ src/chicorycrank target/deps/chicorycrank >/dev/null 2>&1; then
  rm -rf target/deps/chicorycrank
  cp -r src/chicorycrank target/deps/ || fail "the programs were not copied to target/deps"
  python3 -m compileall -q target/deps || fail "a module does not compile"
  for program in batch_entry batch_agent; do
    if ! PYTHONPATH=target/deps python3 -c "import chicorycrank.programs.$program"; then
      # The next build copies the programs again.
      rm -rf target/deps/chicorycrank
      fail "chicorycrank.programs.$program cannot be imported from target/deps"
    fi
  done
fi
