"""Measure sesamespring; each bench is a command that exits with 1 if over a bound."""
