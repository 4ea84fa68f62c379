"""Read the responses that a caller has received."""

import contextlib

import h11

__all__ = ["read_responses"]


def read_responses(received, methods, at_end):
    """Return the complete responses, as pairs of status and body.

    Args:
        received: The bytes that were received.
        methods: Methods of the requests, in bytes.
        at_end: Whether the connection has ended behind these bytes.

    >>> received = b"HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n\\r\\naHTTP/1.1 200 OK"
    >>> read_responses(received, [b"GET", b"GET"], at_end=False)
    [(200, b'a')]
    """
    complete = []
    for method in methods:
        state = h11.Connection(h11.CLIENT)
        state.send(h11.Request(method=method, target="/", headers=[("Host", "h")]))
        state.send(h11.EndOfMessage())
        state.receive_data(received)
        if at_end:
            with contextlib.suppress(RuntimeError):
                state.receive_data(b"")
        response = _read_response(state)
        if response is None:
            break
        complete.append(response)
        received = state.trailing_data[0]
    return complete


def _read_response(state):
    """Return the status and body of a response, or None if it is not complete."""
    status, content = None, bytearray()
    while True:
        try:
            event = state.next_event()
        except h11.RemoteProtocolError:
            # It was cut off.
            return None
        if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
            return None
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            content += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, bytes(content)
