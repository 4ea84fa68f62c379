"""Translate what the platform says and is told; nothing else knows its names."""

from sesamespring.platform.json_table import (
    ENTRIES_MAX,
    Condition,
    Conflict,
    JsonTable,
    Row,
    Write,
)
from sesamespring.platform.rows import ABSENT_VERSION
from sesamespring.platform.store import StoreClient

__all__ = [
    "ABSENT_VERSION",
    "ENTRIES_MAX",
    "Condition",
    "Conflict",
    "JsonTable",
    "Row",
    "StoreClient",
    "Write",
]
