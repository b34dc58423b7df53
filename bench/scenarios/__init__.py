"""Gherkin scenarios that run on a mock clock."""
