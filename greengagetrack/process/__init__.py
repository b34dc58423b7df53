"""What lives as long as a process: roles, membership, limits, policy."""
