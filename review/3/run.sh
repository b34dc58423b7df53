#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if
# it couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=.. exec python3 -B play.py
