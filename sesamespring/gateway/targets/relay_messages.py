"""Headers with which VMs pass single attempts on to each other over HTTP."""

from urllib.parse import quote, unquote

import attrs

from sesamespring.fields import parse_digits
from sesamespring.gateway.targets.connection_pool import LinkState
from sesamespring.http.headers import header

__all__ = [
    "NOT_SENT",
    "STATUS_OF_LINK",
    "TARGET_DOWN",
    "RelayOrder",
    "link_of_status",
    "parse_reachability_path",
    "parse_relay_order",
    "reachability_path",
    "relay_outcome",
    "relay_outcome_header",
    "relay_request_headers",
]

_TARGET = b"relay-target"
_IDEMPOTENT = b"relay-idempotent"
_OUTCOME = b"relay-outcome"
_CALLER = b"relay-caller"
_ACCOUNT = b"relay-account"
_RELAY_HEADERS = frozenset({_TARGET, _IDEMPOTENT, _OUTCOME, _CALLER, _ACCOUNT})
# Outcomes of an attempt of which no byte was sent to the target. The second one says
# that the VM reaches other targets of the service.
NOT_SENT = b"not-sent"
TARGET_DOWN = b"target-down"
# Statuses with which a VM states its link to a target.
STATUS_OF_LINK = {
    LinkState.REACHED: 200,
    LinkState.REFUSED: 410,
    LinkState.SILENT: 504,
}
_LINK_OF_STATUS = {status: link for link, status in STATUS_OF_LINK.items()}
_REACHABILITY_PREFIX = "/reachability/"


@attrs.frozen
class RelayOrder:
    """A request to make one attempt for another VM.

    Attributes:
        key: Key of the target.
        idempotent: Whether the request may run more than once.
        headers: The caller's headers, without those of this module.
        caller: Address of the caller, text; empty if the other VM does not state it.
        account: Name of the caller's account; empty if it has none, or the other VM is
            of a build that does not state it.
    """

    key: tuple
    idempotent: bool
    headers: list = attrs.field(repr=False)
    caller: str
    account: str = ""


def relay_request_headers(headers, key, idempotent, caller="", account=""):
    """Return the headers of an attempt that another VM is to make.

    Args:
        headers: The headers for the target, as pairs of bytes.
        key: Key of the target.
        idempotent: Whether the request may run more than once.
        caller: Address of the caller, text.
        account: Name of the caller's account, or an empty string.

    >>> headers = relay_request_headers([(b"a", b"b")], ("t1", 7), True, "10.0.0.9")
    >>> order = parse_relay_order(headers)
    >>> order.key, order.idempotent, order.headers, order.caller
    (('t1', 7), True, [(b'a', b'b')], '10.0.0.9')
    """
    target_id, born_ms = key
    relayed = [
        *_without_relay_headers(headers),
        (_TARGET, b"%s %d" % (target_id.encode(), born_ms)),
        (_IDEMPOTENT, b"%d" % idempotent),
        (_CALLER, caller.encode()),
    ]
    if account:
        relayed.append((_ACCOUNT, account.encode()))
    return relayed


def parse_relay_order(headers):
    """Return the RelayOrder in the headers of a request, or None if there is none."""
    key = _parse_key(header(headers, _TARGET, ""), " ")
    if key is None:
        return None
    idempotent = header(headers, _IDEMPOTENT) == "1"
    caller = header(headers, _CALLER, "")
    others = _without_relay_headers(headers)
    return RelayOrder(key, idempotent, others, caller, _account(headers))


def relay_outcome_header(outcome):
    """Return the header that states NOT_SENT or TARGET_DOWN to the other VM."""
    return (_OUTCOME, outcome)


def relay_outcome(headers):
    """Return NOT_SENT or TARGET_DOWN, or None if the response is a target's."""
    return next((value for name, value in headers if name == _OUTCOME), None)


def reachability_path(key):
    """Return the path at which a VM says whether it reaches a target.

    >>> parse_reachability_path(reachability_path(("t1", 7)))
    ('t1', 7)
    """
    return f"{_REACHABILITY_PREFIX}{quote(key[0], safe='')}/{key[1]}"


def parse_reachability_path(path):
    """Return the key of the target in such a path, or None for any other path."""
    if not path.startswith(_REACHABILITY_PREFIX):
        return None
    return _parse_key(unquote(path.removeprefix(_REACHABILITY_PREFIX)), "/")


def link_of_status(status):
    """Return the LinkState that a status states, or None if it states none.

    >>> link_of_status(410)
    <LinkState.REFUSED: 'refused'>
    """
    return _LINK_OF_STATUS.get(status)


def _account(headers):
    return header(headers, _ACCOUNT, "").encode("latin-1").decode("utf-8", "replace")


def _parse_key(text, separator):
    target_id, _, digits = text.rpartition(separator)
    born_ms = parse_digits(digits)
    return None if born_ms is None or not target_id else (target_id, born_ms)


def _without_relay_headers(headers):
    return [pair for pair in headers if pair[0] not in _RELAY_HEADERS]
