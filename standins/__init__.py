"""Fake callers, targets and store for demos, tests and benches."""
