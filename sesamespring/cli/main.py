"""Run a subcommand; print errors that the user can correct as plain lines."""

import sys

import defopt

from sesamespring.cli.apply import apply
from sesamespring.cli.audit import audit
from sesamespring.cli.check import check_resources, check_settings
from sesamespring.cli.check_configuration import check
from sesamespring.cli.entry import entry
from sesamespring.cli.gateway import gateway
from sesamespring.cli.in_force import in_force
from sesamespring.cli.record import record
from sesamespring.cli.replay import replay
from sesamespring.cli.resources import resources
from sesamespring.cli.watch import watch
from sesamespring.errors import UserError

__all__ = ["COMMANDS", "main"]

EXIT_USER_ERROR = 2

COMMANDS = (
    entry,
    gateway,
    check,
    check_settings,
    check_resources,
    apply,
    resources,
    in_force,
    watch,
    audit,
    replay,
    record,
)


def main(arguments=None):
    """Run the command line; exit with 2 on a UserError.

    Args:
        arguments: List of arguments; those of the process by default.
    """
    try:
        defopt.run(
            {command.__name__.replace("_", "-"): command for command in COMMANDS},
            argv=arguments,
        )
    except UserError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
