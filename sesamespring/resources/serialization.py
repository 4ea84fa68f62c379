"""Serialize resources and changes as compressed JSON, with a size limit.

Entry VMs exchange them as changes and as snapshots, which are split into pieces.
"""

import json
import zlib

from sesamespring.resources.kinds import (
    KINDS,
    Resources,
    resource_from_json,
    resource_to_json,
)

__all__ = [
    "CONTENT_BYTES_MAX",
    "PIECE_BYTES",
    "after_from_json",
    "after_to_json",
    "pack",
    "pack_snapshot",
    "split_into_pieces",
    "unpack",
    "unpack_snapshot",
]

CONTENT_BYTES_MAX = 16 * 1024 * 1024
PIECE_BYTES = 128 * 1024
COMPRESSION_LEVEL = 1


def after_to_json(after):
    """Return resources by key, None for removed ones, as a JSON object."""
    return {
        key: None if resource is None else resource_to_json(resource)
        for key, resource in after.items()
    }


def after_from_json(value):
    """Return resources by key from a JSON object; see after_to_json.

    Resources of unknown kinds are skipped.
    """
    return {
        key: None if item is None else resource_from_json(key, item)
        for key, item in value.items()
        if key.partition("/")[0] in KINDS
    }


def pack(after):
    """Return resources by key, None for removed ones, as compressed JSON."""
    content = json.dumps(after_to_json(after), separators=(",", ":")).encode()
    return zlib.compress(content, COMPRESSION_LEVEL)


def unpack(packed):
    """Return resources by key, None for removed ones, from compressed JSON.

    Raises:
        ValueError: The bytes are not the result of ``pack``, or their content is larger
            than CONTENT_BYTES_MAX.

    >>> unpack(pack({}))
    {}
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, CONTENT_BYTES_MAX)
        if not decompressor.eof:
            raise ValueError("truncated or too large")
        return after_from_json(json.loads(content))
    except (zlib.error, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def pack_snapshot(resources):
    """Return Resources, without their version, as compressed JSON."""
    return pack(resources.by_key)


def unpack_snapshot(version, packed):
    """Return the Resources at a version from compressed JSON; see ``unpack``."""
    return Resources(version, unpack(packed))


def split_into_pieces(packed):
    """Return bytes as a list of one or more pieces of up to PIECE_BYTES each.

    Each piece fits into one frame between entry VMs.

    >>> len(split_into_pieces(bytes(300_000)))
    3
    """
    starts = range(0, max(1, len(packed)), PIECE_BYTES)
    return [packed[start : start + PIECE_BYTES] for start in starts]
