"""Bodies and links that a search draws, with sizes around each bound of the code."""

import hashlib

import attrs
from hypothesis import strategies as st

from search.link import LinkShape
from sesamespring.http.channel import READ_BUFFER_BYTES
from sesamespring.http.incoming import BODY_BUFFER_BYTES
from sesamespring.http.pipeline import READ_BYTES, WRITE_BUFFER_BYTES
from sesamespring.http.turns import EVENTS_PER_TURN, PAUSE_S

__all__ = [
    "Body",
    "around",
    "bodies",
    "body_sizes",
    "delays_s",
    "digest",
    "framed",
    "framing_field",
    "links",
]


@attrs.frozen
class Body:
    """The body of a message.

    Attributes:
        size: Bytes of its content.
        chunk_size: Bytes of each of its chunks, or 0 if its length is stated.
        content: The content.
    """

    size: int
    chunk_size: int

    @property
    def content(self):
        return b"0123456789abcdef" * (self.size // 16) + b"x" * (self.size % 16)

    @property
    def field(self):
        """The header field that says where it ends."""
        return framing_field(self.size, self.chunk_size)

    @property
    def framed(self):
        """The content as it is sent."""
        return framed(self.content, self.chunk_size)


def framing_field(size, chunk_size):
    """Return the header field that says where a body ends; without chunks by length."""
    if chunk_size:
        return b"Transfer-Encoding: chunked\r\n"
    return b"Content-Length: %d\r\n" % size


def framed(content, chunk_size):
    """Return a body as it is sent, in chunks unless ``chunk_size`` is 0."""
    if not chunk_size:
        return content
    starts = range(0, len(content), chunk_size)
    pieces = [content[start : start + chunk_size] for start in starts]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"


def around(*bounds):
    """Return a strategy for numbers at and beside bounds and twice the bounds."""
    numbers = [k * b + more for b in bounds for k in (1, 2) for more in (-2, -1, 0, 1)]
    return st.sampled_from(numbers)


def digest(body):
    """Return a short text that stands for a body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest().encode()


body_sizes = st.one_of(
    st.integers(0, 2000),
    st.integers(0, 2000),
    around(READ_BYTES, WRITE_BUFFER_BYTES, READ_BUFFER_BYTES, BODY_BUFFER_BYTES),
)
# In tiny chunks a turn of parsing ends by its events, else by what is read.
_tiny_chunks = st.builds(
    lambda count, size: Body(count * size, size),
    st.one_of(st.integers(0, 200), around(EVENTS_PER_TURN)),
    st.sampled_from([1, 5, 31]),
)
bodies = st.one_of(
    _tiny_chunks, st.builds(Body, body_sizes, st.sampled_from([0, 0, 5000, READ_BYTES]))
)
# A turn of parsing, a part and multiples of it, and what a person would call slow.
delays_s = st.sampled_from([0.0, 0.0, PAUSE_S / 2, PAUSE_S, 3 * PAUSE_S, 0.3])
links = st.builds(
    LinkShape,
    send_buffer=st.sampled_from([4096, READ_BYTES, 2 * READ_BUFFER_BYTES]),
    window=st.sampled_from([2048, READ_BYTES, 2 * READ_BUFFER_BYTES]),
    segments=st.lists(st.integers(1, 100_000), max_size=4),
)
