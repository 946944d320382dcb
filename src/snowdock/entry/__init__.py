"""The daemon of an entry VM: accepts jobs, reports their status, and leads when elected."""
