"""Check the head of a caller's request and find its route."""

import attrs
from returns.result import Failure, Success

from sesamespring.gateway.callers.attempt_history import LocalResponse
from sesamespring.gateway.callers.request_accounts import check_account
from sesamespring.http.headers import header
from sesamespring.platform.headers import read_request_id, read_timeout_s

__all__ = ["RoutedRequest", "check_request"]

# A VM that has just started receives its configuration soon.
RETRY_AFTER_STARTING_S = 0.2


@attrs.frozen
class RoutedRequest:
    """What the head of a valid request says.

    Attributes:
        route: The Route that it matches.
        timeout_s: How long the caller will wait, in seconds.
        account: The RequestAccount.
    """

    route: object
    timeout_s: float
    account: object


def check_request(incoming, context):
    """Check a request's head.

    Args:
        incoming: The IncomingRequest.
        context: The GatewayContext.

    Returns:
        Success of a RoutedRequest, or Failure of the LocalResponse that refuses it.
    """
    configuration = context.cluster_state.configuration
    if configuration is None or not context.cluster_state.ready:
        return Failure(LocalResponse(503, "no-configuration", RETRY_AFTER_STARTING_S))
    headers = incoming.headers
    host = header(headers, b"host", "").lower()
    route = context.routes.select(host, incoming.target)
    if route is None:
        return Failure(LocalResponse(404, "no-route"))
    checked = check_account(headers, route, context.cluster_state.account_keys)
    if isinstance(checked, Failure):
        return checked
    if read_request_id(headers) is None:
        return Failure(LocalResponse(400, "no request id"))
    length = header(headers, b"content-length", "0")
    if int(length) > configuration.limits.body_bytes_max:
        return Failure(LocalResponse(413, "body-too-large"))
    timeout_s = read_timeout_s(headers)
    timeout_s = route.timeout_s if timeout_s is None else timeout_s
    return Success(RoutedRequest(route, timeout_s, checked.unwrap()))
