"""Decisions as pure functions of the shared state, without I/O."""
