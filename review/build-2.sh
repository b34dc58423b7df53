#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are
# plain Python, so this only compiles them; those in standins-3 use the
# packages that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="$PWD/target/review-2"
python3 -m compileall -q review/standins-2 review/standins-3 \
    review/6 review/7 review/8 review/9 review/10 review/more-2
