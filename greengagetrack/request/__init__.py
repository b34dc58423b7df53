"""Objects of one request: its run, attempts, deadline and outcome."""
