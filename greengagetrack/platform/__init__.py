"""Adapters to the users' platform: its names, formats and protocols.

Each module translates between the platform and an interface of this
project, and contains no policy. The package lies inside `greengagetrack`,
since a top-level `platform` would shadow the standard library's module.
"""
