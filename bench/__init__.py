"""Measurements: each prints its figures; ``docs/BENCH.md`` keeps them with their date."""
