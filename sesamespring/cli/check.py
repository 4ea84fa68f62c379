"""Check files without applying them."""

from sesamespring.cli.files import (
    read_settings,
    read_text,
    unwrap_or_raise,
)
from sesamespring.resources import parse_resources

__all__ = ["check_resources", "check_settings"]


def check_settings(path: str):
    """Check a settings file and list its mistakes.

    Args:
        path: Path of the settings file.
    """
    read_settings(path)
    print(f"{path}: ok")


def check_resources(path: str):
    """Check a resource file on its own, without the declared resources.

    Args:
        path: Path of the resource file.
    """
    parsed = unwrap_or_raise(parse_resources(path, read_text(path)))
    print(f"{path}: ok, {len(parsed)} resources")
