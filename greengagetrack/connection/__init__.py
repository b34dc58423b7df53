"""Connections to peers, callers, backend servers and the platform."""
