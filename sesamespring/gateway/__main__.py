"""Run the daemon of an entry VM as ``python -m sesamespring.gateway``.

The platform passes the path of the settings file in an environment variable. The
``gateway`` subcommand of the command line starts the same daemon; this module does not
import the command-line library, which would cost memory on every VM.
"""

import contextlib
import gc
import os
import signal
import sys

EXIT_USER_ERROR = 2


def ignore_reload():
    """Ignore SIGHUP, which ends a process that has not installed a handler yet."""
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


@contextlib.contextmanager
def garbage_collection_deferred():
    """Create the objects that last for the process's lifetime.

    The garbage collector does not run meanwhile, and later leaves these objects out: a
    collection of all objects would delay requests by several milliseconds.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def _run():
    # Importing these takes longer than any other step of the startup.
    with garbage_collection_deferred():
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
    """Run the daemon until it is stopped; a user error exits with code 2.

    SIGHUP is ignored first, as one that arrives during the slow imports would end the
    process.
    """
    ignore_reload()
    _run()


if __name__ == "__main__":
    main()
