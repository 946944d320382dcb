"""Adapters to the external systems: store, log, VM list, workers, minions and advice service.

Their URLs and field names are used in this package only.
"""
