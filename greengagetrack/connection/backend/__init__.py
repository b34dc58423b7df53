"""Connections from an agent to its backend server."""
