"""Run the daemon of an entry VM."""

from sesamespring.cli.files import read_settings
from sesamespring.entry import run_entry

__all__ = ["entry"]


def entry(*, settings: str):
    """Run the daemon of an entry VM.

    Args:
        settings: Path of the settings file.
    """
    run_entry(read_settings(settings))
