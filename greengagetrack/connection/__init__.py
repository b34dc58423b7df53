"""What lives for one connection: peers, callers, backend servers."""
