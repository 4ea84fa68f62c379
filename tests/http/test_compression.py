"""Test compressed bodies between VMs, and what malformed ones do."""

import zlib

import pytest

from sesamespring.http.compression import compress_response, decompress_body

ACCEPTS = [(b"accept-encoding", b"deflate")]
COMPRESSED = [(b"content-encoding", b"deflate")]
BODY = b'{"key":"value"},' * 1000


def test_body_is_compressed_for_those_that_accept_it_only():
    headers, content = compress_response(ACCEPTS, BODY)
    assert headers == [("Content-Encoding", "deflate")]
    assert len(content) < len(BODY) / 10
    assert decompress_body(COMPRESSED, content, len(BODY)) == BODY
    assert compress_response([], BODY) == ([], BODY)
    assert compress_response(ACCEPTS, b"{}") == ([], b"{}")
    assert decompress_body([], BODY, 1) == BODY


@pytest.mark.parametrize(
    "content", [b"", b"no zlib", zlib.compress(BODY)[:-9], zlib.compress(BODY + b"x")]
)
def test_malformed_cut_off_or_long_body_is_refused(content):
    with pytest.raises(ValueError, match="compressed body"):
        decompress_body(COMPRESSED, content, len(BODY))
