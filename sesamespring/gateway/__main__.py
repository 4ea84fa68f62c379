"""Run the daemon of an entry VM as ``python -m sesamespring.gateway``.

The settings file is the one that the platform names. The command line of the product
has the same as a subcommand; this module does without the library for it, whose
memory every VM would pay for.
"""

import os
import signal
import sys

EXIT_USER_ERROR = 2


def ignore_reload():
    """Ignore SIGHUP, which would end a process that has no handler for it yet."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _metrics_port(arguments):
    """Return the port in ``--metrics-port PORT``, or None without arguments."""
    from sesamespring.errors import UserError

    match arguments:
        case []:
            return None
        case ["--metrics-port", port] if port.isdigit():
            return int(port)
    raise UserError("usage: python -m sesamespring.gateway [--metrics-port PORT]")


def _run():
    # Loading these takes longer than anything else at a start.
    from sesamespring.errors import UserError
    from sesamespring.gateway.daemon import run_gateway
    from sesamespring.platform.settings import SETTINGS_VARIABLE

    path = os.environ.get(SETTINGS_VARIABLE)
    try:
        if path is None:
            raise UserError(f"{SETTINGS_VARIABLE} does not name a settings file")
        run_gateway(path, _metrics_port(sys.argv[1:]))
    except UserError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)


def main():
    """Run the daemon."""
    ignore_reload()
    _run()


if __name__ == "__main__":
    main()
