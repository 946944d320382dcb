"""Small stand-ins for the outside systems, one process each."""
