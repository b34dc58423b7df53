"""HTTP/1.1 to the letter: what passes through is not changed on the way.

The callers' own interface stands on larger libraries. Here bytes of
others are passed on, so each header, target and framing must be seen and
kept as it came: the protocol engine of those libraries, h11, is used
directly.
"""
