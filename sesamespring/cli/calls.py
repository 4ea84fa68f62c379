"""Call the operators' HTTP interface of entry VMs."""

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
    """Send a call to an entry VM and return the JSON response.

    Args:
        address: ``IP:PORT`` of its callers' address.
        method: HTTP method.
        path: Path below the control prefix, with its query.
        body: JSON value to send, or None.

    Returns:
        A pair of the HTTP status and the JSON object of the response.

    Raises:
        UserError: The address, the key or the file of certificate authorities is
            missing or unusable, or the VM did not respond with a
            JSON object.
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
        result = response.json()
    except (ExternalError, ValueError) as error:
        raise UserError(f"entry VM {address}: {error}") from error
    if not isinstance(result, dict):
        raise UserError(f"entry VM {address}: status {response.status}")
    return response.status, result


def query_entry(address, path):
    """Return the JSON object that an entry VM sends for a path; see call_entry.

    Raises:
        UserError: The call failed or the VM refused it.
    """
    status, result = call_entry(address, "GET", path)
    if status != 200:
        raise UserError(f"entry VM {address}: {describe_refusal(result)}")
    return result


def describe_refusal(result):
    """Return the JSON object of an error response as one line of text."""
    return f"{result.get('error')}: {result.get('detail', '')}".rstrip(": ")
