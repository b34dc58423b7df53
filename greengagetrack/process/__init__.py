"""Process-wide state: roles, membership, limits and policies."""
