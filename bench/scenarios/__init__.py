"""Scenarios in Gherkin on a mock clock."""
