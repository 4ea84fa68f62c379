"""Provide the command line; each subcommand is a function of the same name."""

from sesamespring.cli.main import main

__all__ = ["main"]
