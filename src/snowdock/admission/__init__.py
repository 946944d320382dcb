"""Admission control: which jobs are refused before they are recorded, and when callers return.

The modules have no input or output and no clock; times are seconds on any steady clock.
"""
