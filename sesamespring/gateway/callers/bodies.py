"""Buffer small request bodies so that they can be sent again; stream large ones."""

import asyncio

from sesamespring.http.incoming import CallerDisconnected

__all__ = ["BodyTooSlow", "BufferedBody", "StreamedBody", "read_body"]

BUFFERED_BODY_BYTES_MAX = 512 * 1024


class BodyTooSlow(Exception):
    """The caller did not send its request's body before the deadline."""


class BufferedBody:
    """A request body that was received whole.

    Args:
        start: The body, in bytes.
    """

    is_streamed = False
    may_send_again = True

    def __init__(self, start):
        self.start = start


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

    @property
    def may_send_again(self):
        """Whether the whole body is still to be had: at most its start was sent."""
        return not self._is_rest_taken

    async def pieces(self):
        """Yield the whole body, its later bytes as they arrive.

        Raises:
            CallerDisconnected: The caller disconnected, or the body is larger than the
                size limit.
        """
        yield self.start
        self._is_rest_taken = True
        size = len(self.start)
        async for piece in self._rest:
            size += len(piece)
            if size > self._bytes_max:
                raise CallerDisconnected
            yield piece


async def read_body(incoming, deadline_s, bytes_max):
    """Read a request body up to the buffering limit.

    Args:
        incoming: The IncomingRequest.
        deadline_s: Time on the loop's clock at which the caller stops waiting.
        bytes_max: Size limit of a streamed body, in bytes.

    Returns:
        The BufferedBody, or a StreamedBody if it is over ``BUFFERED_BODY_BYTES_MAX``.

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
                if size > BUFFERED_BODY_BYTES_MAX:
                    return StreamedBody(b"".join(received), pieces, bytes_max)
    except TimeoutError:
        raise BodyTooSlow from None
    return BufferedBody(b"".join(received))
