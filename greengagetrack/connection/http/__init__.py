"""An HTTP/1.1 client and server that forward messages unchanged.

The callers' interface of agent mode is built on higher-level libraries.
Direct mode forwards targets and end-to-end headers byte for byte and has to
control the framing, so it uses their protocol implementation, h11, directly.
"""
