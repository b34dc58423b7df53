"""Runs all feature files of this folder as tests."""

import pytest_bdd

pytest_bdd.scenarios(".")
