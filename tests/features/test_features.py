"""Collects every feature file of this folder."""

import pytest_bdd

pytest_bdd.scenarios(".")
