"""HTTP/1.1 client and server that forward messages unchanged.

Direct mode forwards headers and targets byte for byte, and needs control
over the framing. Higher-level HTTP libraries normalise these, so this
package uses h11 directly, the protocol implementation beneath them.
"""
