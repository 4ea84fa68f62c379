"""Test the decoding of client accounts, whose errors must show no key."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from sesamespring.platform.operator_table import decode_configuration
from sesamespring.routing.records import Account
from tests.gateway.cluster import configuration, route

SECRET = "k-secret"
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def decode(tenants, **route_fields):
    routes = {"read": route("read", **route_fields)}
    content = configuration(1, routes, tenants=tenants)
    return decode_configuration(json.dumps(content).encode())


def test_accounts_and_their_keys():
    tenants = {
        "anna": {"apiKeys": ["k1", "k2", "k1"], "priority": 0, "ratePerS": 4},
        "bert": {"apiKeys": ["k3", "k4"], "burst": 2.5, "other": "x"},
        "carl": {"apiKeys": ["k4"], "priority": None},
    }
    found = decode(tenants, public=True).unwrap()
    assert found.accounts == {
        "anna": Account("anna", 0, 4.0, 0.0),
        "bert": Account("bert", None, 0.0, 2.5),
        "carl": Account("carl", None),
    }
    assert found.account_names == {
        b"k1": "anna",
        b"k2": "anna",
        b"k3": "bert",
        b"k4": "",
    }
    assert found.routes[0].public
    assert decode({}).unwrap().accounts == {}
    assert decode(None).unwrap().accounts is None


MALFORMED = [
    {"apiKeys": SECRET},
    {"apiKeys": {SECRET: SECRET}},
    {"apiKeys": [SECRET, 7]},
    {"apiKeys": [SECRET + "\n"]},
    {"apiKeys": [SECRET + " x"]},
    {"apiKeys": [SECRET + "é"]},
    {"apiKeys": ["", SECRET]},
    {"apiKeys": [SECRET * 200]},
    {"apiKeys": [[SECRET]]},
    {"apiKeys": [SECRET], "priority": -1},
    {"apiKeys": [SECRET], "priority": 1.5},
    {"apiKeys": [SECRET], "ratePerS": "4"},
    {"apiKeys": [SECRET], "burst": -1},
    {"keys": [SECRET]},
    [SECRET],
    SECRET,
    None,
]


@pytest.mark.parametrize("account", MALFORMED)
@pytest.mark.parametrize("name", ["anna", "", "ann\n", " anna"])
def test_malformed_account_refuses_the_configuration_without_its_keys(account, name):
    decoded = decode({"bert": {"apiKeys": ["k"]}, name: account})
    assert isinstance(decoded, Failure)
    assert len(decoded.failure().splitlines()) == 1
    assert SECRET not in decoded.failure()
    with pytest.raises(Exception) as raised:
        decoded.unwrap()
    assert SECRET not in repr(raised.value) + str(raised.value)


@given(JSON, JSON, JSON)
def test_any_accounts_are_decoded_or_refused_without_keys(keys, priority, rate):
    account = {"apiKeys": [SECRET, keys], "priority": priority, "ratePerS": rate}
    for tenants in ({"anna": account}, {"anna": {**account, "apiKeys": keys}}, keys):
        decoded = decode({} if tenants is None else tenants)
        text = repr(decoded)
        assert SECRET not in text
        if isinstance(decoded, Success):
            assert decoded.unwrap().accounts is not None
