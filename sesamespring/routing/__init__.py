"""Decide where requests go and who decides it, without sockets, clock or randomness.

Times are seconds of one monotonic clock that the caller passes in.
"""
