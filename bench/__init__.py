"""Stand-ins, load, faults and reports for experiments on one machine."""
