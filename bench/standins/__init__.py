"""Stand-ins for the external systems that greengagetrack works with."""
