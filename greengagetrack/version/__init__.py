"""Versions of the table and the catalog: rows, checks and documents."""
