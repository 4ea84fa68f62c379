"""Routing decisions: which target serves a request, and which VM decides it.

The code here is deterministic and does no I/O. All times are seconds of one monotonic
clock that the caller passes in.
"""
