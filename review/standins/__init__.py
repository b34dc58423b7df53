"""Stand-ins of the platform, its engines and its consumers, for the cases.

They need the standard library only and follow the users' pages.
"""
