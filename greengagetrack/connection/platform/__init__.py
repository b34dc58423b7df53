"""Clients of the platform's configuration and VM list services."""
