"""Call the operators' interface of an entry VM."""

import asyncio
import os

from sesamespring.errors import ExternalError, UserError
from sesamespring.http import client_context, fetch, json_body
from sesamespring.ini import host_port

__all__ = ["call_entry", "describe_refusal", "query_entry"]

CALL_TIMEOUT_S = 15.0
KEY_VARIABLE = "SESAMESPRING_KEY"
AUTHORITIES_VARIABLE = "SESAMESPRING_AUTHORITIES"


def call_entry(address, method, path, body=None):
    """Call an entry VM and return the JSON answer.

    Args:
        address: ``IP:PORT`` of its callers' address.
        method: HTTP method.
        path: Path below the control prefix, with its query.
        body: JSON value, or None.

    Returns:
        A pair of HTTP status and JSON value.

    Raises:
        UserError: The VM cannot be reached or does not accept the key.
    """
    try:
        pair = host_port(address)
    except ValueError as error:
        raise UserError(f"--entry: found {address!r}; expected {error}") from error
    key = os.environ.get(KEY_VARIABLE)
    if not key:
        raise UserError(f"{KEY_VARIABLE}: not set; expected an operator's key")
    headers = [("Authorization", f"Bearer {key}")]
    content = b"" if body is None else json_body(body)
    try:
        tls = client_context(os.environ.get(AUTHORITIES_VARIABLE))
    except OSError as error:
        raise UserError(f"{AUTHORITIES_VARIABLE}: {error}") from error
    call = fetch(
        pair,
        method,
        f"/.sesamespring/{path}",
        timeout_s=CALL_TIMEOUT_S,
        headers=headers,
        body=content,
        tls=tls,
    )
    try:
        response = asyncio.run(call)
        answer = response.json()
    except (ExternalError, ValueError) as error:
        raise UserError(f"entry VM {address}: {error}") from error
    if not isinstance(answer, dict):
        raise UserError(f"entry VM {address}: status {response.status}")
    return response.status, answer


def query_entry(address, path):
    """Ask an entry VM and return the JSON answer.

    Raises:
        UserError: The VM does not answer as asked.
    """
    status, answer = call_entry(address, "GET", path)
    if status != 200:
        raise UserError(f"entry VM {address}: {describe_refusal(answer)}")
    return answer


def describe_refusal(answer):
    """Return an error answer as one line."""
    return f"{answer.get('error')}: {answer.get('detail', '')}".rstrip(": ")
