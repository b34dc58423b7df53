"""Tests of the entry that calls backend servers itself."""
