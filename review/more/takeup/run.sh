#!/usr/bin/env bash
# Plays the script; exits with 1 if the rule was broken.
cd "$(dirname "$0")" && PYTHONPATH=../.. exec python3 -B play.py
