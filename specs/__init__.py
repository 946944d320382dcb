"""Small specifications of the protocol for an explicit-state model checker."""
