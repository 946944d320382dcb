"""The console application with all commands."""

import sys

from cleo.application import Application

from .. import __version__
from .commands import COMMANDS
from .job_commands import JOB_COMMANDS

__all__ = ["main", "make_application"]


def make_application() -> Application:
    """Create the application and register all commands."""
    application = Application("snowdock", __version__)
    for command in (*COMMANDS, *JOB_COMMANDS):
        application.add(command())
    return application


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(make_application().run())
