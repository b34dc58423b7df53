"""The command-line programs: the daemon and the operator tool."""
