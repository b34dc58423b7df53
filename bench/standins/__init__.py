"""Small stand-ins of the systems that greengagetrack serves and reads."""
