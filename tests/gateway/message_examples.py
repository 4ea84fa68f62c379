"""Make examples of all datagrams of a build.

``python -m tests.gateway.message_examples COMMIT`` writes those of a commit to
``tests/gateway/data``. A build that has landed may run beside the present one, which
has to understand its datagrams.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from thrift.Thrift import TType

from soak.builds import extract_build

__all__ = ["DATA", "example"]

DATA = Path(__file__).resolve().parent / "data"
_SIMPLE_VALUES = {
    TType.BOOL: True,
    TType.I32: 7,
    TType.I64: 1_700_000_000_000,
    TType.DOUBLE: 0.25,
}
TEXT = "text"
MODULE = "tests.gateway.message_examples"


def example(message_type):
    """Return a message of a thrift type in which each field has a value."""
    return message_type(
        **{
            spec[2]: _value(spec[1], spec[3])
            for spec in message_type.thrift_spec
            if spec
        }
    )


def _value(field_type, arguments):
    if field_type == TType.STRUCT:
        return example(arguments[0])
    if field_type == TType.LIST:
        return [_value(arguments[0], arguments[1])]
    if field_type == TType.STRING:
        return TEXT if arguments == "UTF8" else TEXT.encode()
    return _SIMPLE_VALUES[field_type]


def print_examples():
    """Print the examples of the build that Python finds, as JSON."""
    from sesamespring.gateway.generated.ttypes import Datagram
    from sesamespring.gateway.members.datagrams import _codec

    examples = {}
    for spec in filter(None, Datagram.thrift_spec):
        message = example(spec[3][0])
        examples[spec[0]] = {
            "name": spec[2],
            "bytes": _codec.encode(message).hex(),
        }
    print(json.dumps(examples, indent=1))


def write_examples(commit):
    """Write the examples of a commit to ``DATA``."""
    with tempfile.TemporaryDirectory() as folder:
        build = extract_build(commit, Path(folder))
        tests = build / "tests" / "gateway"
        tests.mkdir(parents=True)
        (tests / Path(__file__).name).write_bytes(Path(__file__).read_bytes())
        code = f"import {MODULE} as examples; examples.print_examples()"
        printed = subprocess.run(
            [sys.executable, "-c", code], cwd=build, check=True, capture_output=True
        ).stdout
    (DATA / f"datagrams-{commit}.json").write_bytes(printed)


if __name__ == "__main__":
    for name in sys.argv[1:]:
        write_examples(name)
