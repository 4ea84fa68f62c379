"""Run the daemon of an entry VM as ``python -m sesamespring.gateway``.

The settings file is the one that the platform names. The command line of the product
has the same as a subcommand; this module does without the library for it, whose
memory every VM would pay for.
"""

import os
import sys

from sesamespring.errors import UserError
from sesamespring.gateway.daemon import run_gateway
from sesamespring.platform.settings import SETTINGS_VARIABLE

EXIT_USER_ERROR = 2


def _metrics_port(arguments):
    """Return the port in ``--metrics-port PORT``, or None without arguments."""
    match arguments:
        case []:
            return None
        case ["--metrics-port", port] if port.isdigit():
            return int(port)
    raise UserError("usage: python -m sesamespring.gateway [--metrics-port PORT]")


def main():
    """Run the daemon."""
    path = os.environ.get(SETTINGS_VARIABLE)
    try:
        if path is None:
            raise UserError(f"{SETTINGS_VARIABLE} does not name a settings file")
        run_gateway(path, _metrics_port(sys.argv[1:]))
    except UserError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)


if __name__ == "__main__":
    main()
