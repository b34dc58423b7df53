"""The state that requests of an entry share in direct mode."""
