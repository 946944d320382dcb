"""The daemon: one process on an entry VM, made of actors around the shared state."""
