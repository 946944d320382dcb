"""Adapters to the outside systems: log, VM list, workers and minions.

Nothing outside this package knows their URLs or field names.
"""
