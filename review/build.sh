#!/bin/sh
# Checks the stand-ins of the scripts; they are Python and need the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/standin.py review/*/case.py
rm -rf review/__pycache__ review/*/__pycache__
