"""Test the parsing and building of headers, also with malformed values."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamespring.platform.headers import (
    MALFORMED_VALUE_MAX,
    MalformedHeader,
    local_response_headers,
    parse_response_headers,
    read_request_id,
    read_timeout_s,
    target_request_headers,
)
from sesamespring.routing.records import LoadReport

NAMES = st.sampled_from(
    [
        b"sesamespring-server-load",
        b"sesamespring-warmup-ms",
        b"sesamespring-deadline-ms",
        b"sesamespring-instance-id",
        b"keep-alive",
        b"content-encoding",
    ]
)


def test_request_to_a_target_has_the_time_left_and_the_expected_identity():
    headers = [
        (b"host", b"a.example"),
        (b"sesamespring-request-id", b"r1"),
        (b"sesamespring-deadline-ms", b"800"),
        (b"sesamespring-expect-instance", b"forged"),
    ]
    forwarded = dict(target_request_headers(headers, "i-1", 0.25))
    assert forwarded[b"sesamespring-deadline-ms"] == b"250"
    assert forwarded[b"sesamespring-expect-instance"] == b"i-1"
    assert forwarded[b"sesamespring-request-id"] == b"r1"


def test_metadata_of_a_normal_response():
    headers = [
        (b"sesamespring-request-id", b"r1"),
        (b"sesamespring-server-stamp", b"signature"),
        (b"sesamespring-server-load", b"1,2,3,400"),
        (b"sesamespring-warmup-ms", b"1500"),
        (b"keep-alive", b"timeout=10, max=5"),
    ]
    metadata = parse_response_headers(200, headers)
    assert metadata.signed
    assert not metadata.not_run
    assert metadata.load == LoadReport(1, 2, 3, 4.0)
    assert metadata.cold_left_s == 1.5
    assert metadata.idle_s == 10


def test_responses_that_guarantee_that_the_request_has_not_run():
    assert parse_response_headers(503, [(b"sesamespring-not-executed", b"1")]).not_run
    assert parse_response_headers(
        421, [(b"sesamespring-instance-id", b"i-2")]
    ).misdirected
    assert not parse_response_headers(503, []).not_run


def test_local_response_has_the_request_id_and_retry_after():
    headers = local_response_headers(b"r1", 0.25)
    assert (b"retry-after", b"0.250") in headers
    assert read_request_id(headers) == b"r1"
    assert local_response_headers(None, None) == []


@given(st.lists(st.tuples(NAMES, st.binary(max_size=40)), max_size=8))
def test_arbitrary_header_values_are_parsed_without_error(headers):
    metadata = parse_response_headers(200, headers)
    assert metadata.load is None or metadata.load.slowdown > 0
    timeout_s = read_timeout_s(headers)
    assert timeout_s is None or 0 <= timeout_s <= 3600
    forwarded = target_request_headers(headers, "i-1", 1.0)
    names = [name for name, _ in forwarded]
    assert names.count(b"sesamespring-deadline-ms") == 1


@pytest.mark.parametrize(
    ("raw", "backoff_s", "malformed"),
    [
        (b"2.5", 2.5, ()),
        (b"99999999999999999999", 1e20, ()),
        (b"-3", None, ("retry-after",)),
        (b"soon", None, ("retry-after",)),
        (b"Fri, 04 Dec 2026 10:00:00 GMT", None, ("retry-after",)),
        (b"9" * 400, None, ("retry-after",)),
    ],
)
def test_backoff_is_read_and_nonsense_is_named(raw, backoff_s, malformed):
    metadata = parse_response_headers(503, [(b"retry-after", raw)])
    assert metadata.backoff_s == backoff_s
    assert tuple(field.name for field in metadata.malformed) == malformed
    assert all(len(field.value) <= MALFORMED_VALUE_MAX for field in metadata.malformed)


def test_limit_that_cannot_be_read_is_named():
    metadata = parse_response_headers(200, [(b"server-limit", b"many")])
    assert metadata.limit_per_s is None
    assert metadata.malformed == (MalformedHeader("server-limit", "many"),)
