"""What ordinary callers are promised beside a crowd that sends many requests ahead.

Work takes time here: each event that h11 parses takes what it takes on a usual machine.
"""

import asyncio
from unittest import mock

import attrs
import h11
from hypothesis import strategies as st

from search import clock
from search.link import Link, LinkShape
from search.messages import links
from sesamespring.gateway.callers.caller_connections import CallerConnections
from sesamespring.http.pipeline import CallerConnection

__all__ = ["CrowdInput", "check_crowds", "crowds"]

# Measured with h11 on x86-64: 4.9 ms for a head of 2,700 fields of 5 bytes, 0.13 ms for
# one of 16,000 bytes in one field, 0.03 ms for the shortest.
EVENT_S = 30e-6
FIELD_S = 1.75e-6
BYTE_S = 7e-9
# No crowd may keep the loop from others for longer (issue 56).
ROUND_S_MAX = 0.05
ANSWER_S_MAX = 0.5
CONNECTIONS_MAX = 64
HEAD_BYTES_MAX = 16 * 1024
# What a head takes beside its fields, at most.
LINE_BYTES = 64
CROWD_S = 1.0
ORDINARY_INTERVAL_S = 0.1


@attrs.frozen
class CrowdInput:
    """A crowd, and the heads that it sends.

    Attributes:
        connections: Number of its connections.
        ahead: Number of requests that each connection sends at once.
        fields: Number of fields in each head, within the limit of a head.
        value_size: Bytes of the value of each field.
        link: The LinkShape of all connections.
    """

    connections: int
    ahead: int
    fields: int
    value_size: int
    link: LinkShape

    @property
    def message(self):
        """All that a connection of the crowd sends."""
        field = b"a: " + b"v" * self.value_size + b"\r\n"
        fits = (HEAD_BYTES_MAX - LINE_BYTES) // len(field)
        head = b"GET / HTTP/1.1\r\nHost: h\r\n" + field * min(self.fields, fits)
        return (head + b"\r\n") * self.ahead


crowds = st.builds(
    CrowdInput,
    connections=st.integers(1, 12),
    ahead=st.integers(1, 40),
    fields=st.sampled_from([0, 10, 300, 3000]),
    value_size=st.sampled_from([1, 10, 1000]),
    link=links,
)


def check_crowds(drawn):
    """Play a CrowdInput, and raise AssertionError for each promise that is broken."""
    next_event = h11.Connection.next_event

    def next_event_in_time(state):
        event = next_event(state)
        asyncio.get_running_loop().spend(_work_s(event))
        return event

    with mock.patch.object(h11.Connection, "next_event", next_event_in_time):
        clock.run(_play(drawn))


async def _play(drawn):
    loop = asyncio.get_running_loop()

    async def handle(incoming):
        incoming.send_whole(200, [], b"")

    connections = CallerConnections(handle, CONNECTIONS_MAX)
    crowd = []
    for _ in range(drawn.connections):
        crowd.append(Link(CallerConnection(connections), drawn.link).peer)
        crowd[-1].send(drawn.message)
    while loop.time() < CROWD_S:
        peer = Link(CallerConnection(connections), drawn.link).peer
        started_s = loop.time()
        peer.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await peer.wait()
        taken_s = loop.time() - started_s
        assert taken_s <= ANSWER_S_MAX, f"an ordinary caller waited {taken_s:.3f} s"
        round_s = loop.longest_round_s
        assert round_s <= ROUND_S_MAX, f"the loop was kept for {round_s:.3f} s"
        peer.close()
        await asyncio.sleep(ORDINARY_INTERVAL_S)
    for peer in crowd:
        peer.close()


def _work_s(event):
    """Return how long h11 takes to parse an event, in seconds."""
    if isinstance(event, h11.Request):
        size = sum(len(name) + len(value) for name, value in event.headers)
        return EVENT_S + FIELD_S * len(event.headers) + BYTE_S * size
    if isinstance(event, h11.Data):
        return EVENT_S + BYTE_S * len(event.data)
    return 0.0 if event is h11.NEED_DATA else EVENT_S
