"""Test the translation of headers, also of ones that nobody should send."""

from hypothesis import given
from hypothesis import strategies as st

from sesamespring.platform.headers import (
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


def test_target_gets_what_is_left_and_the_identity_that_is_expected():
    headers = [
        (b"host", b"a.example"),
        (b"sesamespring-request-id", b"r1"),
        (b"sesamespring-deadline-ms", b"800"),
        (b"sesamespring-expect-instance", b"forged"),
    ]
    passed = dict(target_request_headers(headers, "i-1", 0.25))
    assert passed[b"sesamespring-deadline-ms"] == b"250"
    assert passed[b"sesamespring-expect-instance"] == b"i-1"
    assert passed[b"sesamespring-request-id"] == b"r1"


def test_facts_of_a_good_answer():
    headers = [
        (b"sesamespring-request-id", b"r1"),
        (b"sesamespring-server-stamp", b"signature"),
        (b"sesamespring-server-load", b"1,2,3,400"),
        (b"sesamespring-warmup-ms", b"1500"),
        (b"keep-alive", b"timeout=10, max=5"),
    ]
    facts = parse_response_headers(200, headers)
    assert facts.signed
    assert not facts.not_run
    assert facts.load == LoadReport(1, 2, 3, 4.0)
    assert facts.cold_left_s == 1.5
    assert facts.idle_s == 10


def test_promises_of_targets():
    assert parse_response_headers(503, [(b"sesamespring-not-executed", b"1")]).not_run
    assert parse_response_headers(
        421, [(b"sesamespring-instance-id", b"i-2")]
    ).misdirected
    assert not parse_response_headers(503, []).not_run


def test_refusal_names_the_request_and_the_time_to_come_back():
    headers = local_response_headers(b"r1", 0.25)
    assert (b"retry-after", b"0.250") in headers
    assert read_request_id(headers) == b"r1"
    assert local_response_headers(None, None) == []


@given(st.lists(st.tuples(NAMES, st.binary(max_size=40)), max_size=8))
def test_any_bytes_are_read_without_an_error(headers):
    facts = parse_response_headers(200, headers)
    assert facts.load is None or facts.load.slowdown > 0
    timeout_s = read_timeout_s(headers)
    assert timeout_s is None or 0 <= timeout_s <= 3600
    passed = target_request_headers(headers, "i-1", 1.0)
    names = [name for name, _ in passed]
    assert names.count(b"sesamespring-deadline-ms") == 1
