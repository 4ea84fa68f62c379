"""Test how VMs take the datagrams of earlier and later builds."""

import json

import pytest
from thrift.protocol.TBase import TBase
from thrift.Thrift import TType

from sesamespring.gateway.generated.ttypes import Datagram, SlotQueued
from sesamespring.gateway.members.datagrams import DatagramSocket, _codec
from sesamespring.thrift_codec import UnionCodec
from tests.gateway.message_examples import DATA, example

NAMES = {spec[0]: spec[2] for spec in Datagram.thrift_spec if spec}
TYPES = {spec[0]: spec[3][0] for spec in Datagram.thrift_spec if spec}
EXAMPLES = [
    (path.stem, int(number), kind)
    for path in sorted(DATA.glob("datagrams-*.json"))
    for number, kind in json.loads(path.read_text()).items()
]
ADDRESS = ("127.0.0.1", 1)
NEW_FIELD = 99


class _Counters:
    def __init__(self):
        self.added = []

    def add(self, name, **labels):
        self.added.append(name)


class _Log:
    def routine(self, event, **fields):
        pass


def received(data):
    """Return the messages that a DatagramSocket passes on, and what it counts."""
    messages, counters = [], _Counters()
    socket = DatagramSocket(
        lambda message, address: messages.append(message), counters, _Log()
    )
    socket.datagram_received(data, ADDRESS)
    return messages, counters.added


def is_understood(message, expected):
    """Return whether each field of a message is as expected, or unset.

    Args:
        message: A thrift struct, or the value of a field.
        expected: The same as the present build makes it.
    """
    if isinstance(message, list):
        pairs = zip(message, expected, strict=True)
        return all(is_understood(one, other) for one, other in pairs)
    if not hasattr(message, "thrift_spec"):
        return message == expected
    return all(
        getattr(message, name) == default
        or is_understood(getattr(message, name), getattr(expected, name))
        for _, _, name, _, default in filter(None, message.thrift_spec)
    )


@pytest.mark.parametrize(("build", "number", "kind"), EXAMPLES)
def test_datagram_of_an_earlier_build_is_understood(build, number, kind):
    (message,), counted = received(bytes.fromhex(kind["bytes"]))
    assert counted == []
    assert NAMES[number] == kind["name"]
    assert type(message) is TYPES[number]
    assert is_understood(message, example(TYPES[number]))


def test_there_are_examples_of_all_datagrams_of_the_newest_landed_build():
    assert {kind["name"] for _, _, kind in EXAMPLES} == set(NAMES.values())


class LaterSlotQueued(TBase):
    """A SlotQueued of a later build, with one field more."""

    thrift_spec = (
        *SlotQueued.thrift_spec,
        *[None] * (NEW_FIELD - len(SlotQueued.thrift_spec)),
        (NEW_FIELD, TType.STRING, "news", "UTF8", None),
    )

    def __init__(self, **fields):
        for spec in filter(None, self.thrift_spec):
            setattr(self, spec[2], fields.get(spec[2]))

    def validate(self):
        pass


class LaterDatagram(TBase):
    """A Datagram of a later build: a known kind with more fields, and a new kind."""

    thrift_spec = (
        *Datagram.thrift_spec[:4],
        (
            4,
            TType.STRUCT,
            "slot_queued",
            [LaterSlotQueued, LaterSlotQueued.thrift_spec],
            None,
        ),
        *[None] * (NEW_FIELD - 5),
        (NEW_FIELD, TType.STRUCT, "news", [SlotQueued, SlotQueued.thrift_spec], None),
    )

    def __init__(self, **fields):
        for spec in filter(None, self.thrift_spec):
            setattr(self, spec[2], fields.get(spec[2]))


def test_field_of_a_later_build_is_ignored():
    later = UnionCodec(LaterDatagram, 1024)
    data = later.encode(LaterSlotQueued(request=1, round=2, news="more"))
    (message,), counted = received(data)
    assert message == SlotQueued(request=1, round=2)
    assert counted == []


def test_kind_of_a_later_build_is_counted_and_dropped():
    later = UnionCodec(LaterDatagram, 1024)
    messages, counted = received(later.encode(SlotQueued(request=1, round=2)))
    assert messages == []
    assert counted == ["bad_datagrams"]


def test_codec_of_the_present_build_reads_its_own_examples():
    for number, message_type in TYPES.items():
        message = example(message_type)
        assert _codec.decode(_codec.encode(message)) == message, NAMES[number]
