"""Connections to what the platform publishes."""
