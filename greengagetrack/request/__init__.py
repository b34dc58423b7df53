"""What lives for one request: its run, attempts, deadline and outcome."""
