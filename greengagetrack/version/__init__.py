"""What lives for one version of the table: rows, checks, documents."""
