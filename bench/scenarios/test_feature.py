"""Test module for the feature file named in GREENGAGEBENCH_FEATURE."""

import os

import pytest_bdd

pytest_bdd.scenarios(os.environ["GREENGAGEBENCH_FEATURE"])
