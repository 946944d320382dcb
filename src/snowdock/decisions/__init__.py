"""Decisions: functions of what is known, without input or output."""
