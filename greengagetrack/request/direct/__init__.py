"""One request that an entry serves by calling backend servers itself."""
