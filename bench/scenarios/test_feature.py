"""Runs the one feature file that the environment names."""

import os

import pytest_bdd

pytest_bdd.scenarios(os.environ["GREENGAGEBENCH_FEATURE"])
