"""Test that SIGHUP does not end the daemon's process while it is starting.

The platform may send SIGHUP before the daemon's modules are imported and its handler is
installed; the default action would end the process.
"""

import subprocess
import sys

CHECK = """
import signal, sys
import sesamespring.gateway.__main__ as start
assert "sesamespring.gateway.daemon" not in sys.modules
start.ignore_reload()
assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
try:
    start.main()
except SystemExit as end:
    assert end.code == 2
assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
"""


def test_reload_is_ignored_before_the_daemon_is_loaded():
    done = subprocess.run([sys.executable, "-c", CHECK], capture_output=True, env={})
    assert done.returncode == 0, done.stderr.decode()
