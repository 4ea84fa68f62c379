"""Connections and attempts to targets, and what targets state."""
