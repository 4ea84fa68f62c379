"""Requests of callers: connections, checks, bodies, responses and forwarding."""
