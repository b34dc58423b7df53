#!/usr/bin/env bash
# Builds the stand-ins of the cases: checks that all of their code compiles.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
