"""The daemon of an entry VM.

It performs all network I/O. Routing and hold decisions are made in
``sesamespring.decisions``, which does no I/O.
"""

from sesamespring.entry.daemon import run_entry

__all__ = ["run_entry"]
