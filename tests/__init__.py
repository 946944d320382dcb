"""Tests of snowdock."""
