"""Requests in direct mode: the entry calls backend servers itself."""
