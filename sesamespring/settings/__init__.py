"""Read the settings file of an entry VM's daemon."""

from sesamespring.settings.loader import load_settings
from sesamespring.settings.schema import SECTIONS, Settings

__all__ = ["SECTIONS", "Settings", "load_settings"]
