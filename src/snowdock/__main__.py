"""Run the command-line tool as ``python -m snowdock``."""

from .cli import main

main()
