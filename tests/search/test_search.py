"""Search for broken promises of connections, short and seeded, and play kept inputs.

``bin/search`` searches longer and with other seeds. What it finds is kept here.
"""

import attrs
import pytest

from search.callers import CallersInput, Request, check_callers
from search.link import LinkShape
from search.messages import Body
from search.runner import SEARCHES, run_search
from search.targets import Exchange, TargetsInput, check_targets
from sesamespring.http.channel import READ_BUFFER_BYTES
from sesamespring.http.incoming import BODY_BUFFER_BYTES
from sesamespring.http.pipeline import READ_BYTES
from sesamespring.http.turns import EVENTS_PER_TURN

SEED = 1
COUNT = 500
LINK = LinkShape(READ_BYTES, READ_BYTES, [])
REQUEST = Request(
    method=b"POST",
    fields=b"",
    head_padding=0,
    body=Body(0, 0),
    takes_after_s=0.0,
    takes_body=True,
    responds_after_s=0.0,
    response_size=0,
    parts=0,
)
EXCHANGE = Exchange(
    upload=0,
    upload_wait_s=0.0,
    is_early=False,
    interims=0,
    body=Body(0, 0),
    is_framed=True,
    cut=0,
    extra=0,
    ends=None,
    limit=0,
    take_after_s=0.0,
    idle_s=0.0,
)


# Each of these stands for what real callers or targets do; what is found by those that
# are listed in KNOWN-RED.txt is not mended yet.
@pytest.mark.parametrize("name", SEARCHES)
def test_no_drawn_input_breaks_a_promise(name):
    result = run_search(SEARCHES[name], SEED, COUNT)
    assert result.finding is None
    assert result.played >= COUNT


def play_requests(*requests, link=LINK):
    check_callers(
        CallersInput(
            requests=list(requests),
            pieces=[],
            reads_after_s=0.0,
            leaves=None,
            leaves_after=0,
            stop_s=None,
            link=link,
        )
    )


# The connection was never read again, as a turn of parsing had ended with the response
# (docs/incidents/deaf-kept-connections.md).
def test_connection_is_read_behind_a_response_of_one_turn():
    chunks = Body(EVENTS_PER_TURN - 2, 1)
    exchange = attrs.evolve(EXCHANGE, body=chunks)
    check_targets(TargetsInput([exchange, exchange], LINK))


# An upload had no end, as its last bytes filled the buffer (uploads-that-never-end.md).
def test_upload_that_fills_its_buffer_ends():
    upload = attrs.evolve(
        REQUEST, body=Body(BODY_BUFFER_BYTES, 0), takes_after_s=0.0025
    )
    play_requests(*[REQUEST] * 4, upload, link=attrs.evolve(LINK, window=2048))


# Each response to an earlier request let one more read into a full buffer.
def test_body_stays_within_its_buffer_behind_other_responses():
    upload = attrs.evolve(
        REQUEST, body=Body(2 * BODY_BUFFER_BYTES, 0), takes_after_s=0.0025
    )
    long = attrs.evolve(REQUEST, response_size=2 * BODY_BUFFER_BYTES)
    parts = attrs.evolve(REQUEST, parts=1)
    link = LinkShape(4096, 2 * READ_BUFFER_BYTES, [])
    play_requests(REQUEST, long, parts, parts, upload, link=link)


# A head longer than what is read ahead got 408 (docs/incidents/large-heads.md).
def test_head_longer_than_what_is_read_ahead_is_read():
    play_requests(attrs.evolve(REQUEST, head_padding=READ_BYTES + 1))
