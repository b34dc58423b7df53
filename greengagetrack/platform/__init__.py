"""The users' platform: its names, formats and calls, and no decision.

Each module translates between the platform and a base class that the
product owns. The package lies inside `greengagetrack`, since a top-level
`platform` would hide the module of that name in the standard library.
"""
