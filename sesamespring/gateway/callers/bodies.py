"""Buffer small request bodies so that they can be sent again; stream large ones."""

import asyncio

from sesamespring.http.incoming import CallerDisconnected
from sesamespring.routing.caller_memory import KEPT_BODY_BYTES_MAX

__all__ = ["BodyTooSlow", "BufferedBody", "StreamedBody", "read_body"]


class BodyTooSlow(Exception):
    """The caller did not send its request's body before the deadline."""


class BufferedBody:
    """A request body that was received whole.

    Args:
        start: The body, in bytes.
    """

    is_streamed = False
    may_send_again = True
    waited_s = 0.0

    def __init__(self, start):
        self.start = start

    def release(self):
        """Forget the body, as it is not sent again."""
        self.start = b""


class StreamedBody:
    """A request body of which only the start was received before it is sent on.

    Args:
        start: The bytes received so far.
        rest: Asynchronous iterator over the bytes that follow.
        bytes_max: Size limit of the whole body, in bytes.
    """

    is_streamed = True

    def __init__(self, start, rest, bytes_max):
        self.start = start
        self._rest = rest
        self._bytes_max = bytes_max
        self._is_rest_taken = False
        self._clock = asyncio.get_running_loop().time
        self._waited_s = 0.0
        self._waits_since_s = None

    @property
    def waited_s(self):
        """How long pieces of the body were waited for since it is sent, in seconds."""
        if self._waits_since_s is None:
            return self._waited_s
        return self._waited_s + self._clock() - self._waits_since_s

    @property
    def may_send_again(self):
        """Whether the whole body is still to be had: at most its start was sent."""
        return not self._is_rest_taken

    def release(self):
        """Forget the start of the body, as it is not sent again."""
        self.start = b""

    async def pieces(self):
        """Yield the whole body, its later bytes as they arrive.

        Raises:
            CallerDisconnected: The caller disconnected, or the body is larger than the
                size limit.
        """
        yield self.start
        self._is_rest_taken = True
        size = len(self.start)
        async for piece in self._timed_rest():
            size += len(piece)
            if size > self._bytes_max:
                raise CallerDisconnected
            yield piece

    async def _timed_rest(self):
        """Yield the rest of the body, and count the time until each piece is there."""
        self._waits_since_s = self._clock()
        try:
            async for piece in self._rest:
                self._end_wait()
                yield piece
                self._waits_since_s = self._clock()
        finally:
            self._end_wait()

    def _end_wait(self):
        if self._waits_since_s is not None:
            self._waited_s += self._clock() - self._waits_since_s
            self._waits_since_s = None


async def read_body(incoming, deadline_s, bytes_max):
    """Read a request body up to the buffering limit.

    Args:
        incoming: The IncomingRequest.
        deadline_s: Time on the loop's clock at which the caller stops waiting.
        bytes_max: Size limit of a streamed body, in bytes.

    Returns:
        The BufferedBody, or a StreamedBody if it is over ``KEPT_BODY_BYTES_MAX``.

    Raises:
        CallerDisconnected: The caller disconnected.
        BodyTooSlow: The caller did not send the body before the deadline.
    """
    pieces = incoming.iter_body()
    received = []
    size = 0
    try:
        async with asyncio.timeout_at(deadline_s):
            async for piece in pieces:
                received.append(piece)
                size += len(piece)
                if size > KEPT_BODY_BYTES_MAX:
                    return StreamedBody(b"".join(received), pieces, bytes_max)
    except TimeoutError:
        raise BodyTooSlow from None
    return BufferedBody(b"".join(received))
