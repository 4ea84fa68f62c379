"""Handle configuration changes that operators submit.

A change is parsed, validated and applied; a refused one is recorded in the audit
trail.
"""

import asyncio
import json
import time

import attrs
from returns.result import Failure, Success

from sesamespring.errors import ERROR_RESPONSES, ErrorKind
from sesamespring.logs import get_logger
from sesamespring.resources.changes import Change, Refused, apply_change, plan_change
from sesamespring.resources.parser import Removal, parse_resources
from sesamespring.resources.records import AuditRecord

__all__ = ["ChangeHandler"]

logger = get_logger(__name__)

CHANGE_BYTES_MAX = 4 * 1024 * 1024
TEXT_LENGTH_MAX = 500
IDENTITY_LENGTH_MAX = 64
REFUSED_LINES_MAX = 20
REFUSED_KEYS_MAX = 50


def _text_up_to(length_max):
    def check(instance, attribute, value):
        if not isinstance(value, str) or not 0 < len(value) <= length_max:
            raise ValueError(f"{attribute.name}: 1 to {length_max} characters")
        value.encode()

    return check


def _version_or_none(instance, attribute, value):
    if value is not None and (type(value) is not int or value < 0):
        raise ValueError(f"{attribute.name}: a version or nothing")


@attrs.frozen
class ChangeRequest:
    """JSON body of an operator's request to change the configuration.

    Attributes:
        file: Name of the resource file.
        content: Text of the resource file.
        operator: Name of the operator as given by the client. It is not verified.
        identity: Client-chosen identity, which makes repeats idempotent.
        reason: Reason for the change, for the audit trail.
        base_version: Configuration version that the change is based on, or None.
        dry_run: Whether to report what the change would do without applying it.
    """

    file: str = attrs.field(validator=_text_up_to(TEXT_LENGTH_MAX))
    content: str = attrs.field(validator=_text_up_to(CHANGE_BYTES_MAX))
    operator: str = attrs.field(validator=_text_up_to(IDENTITY_LENGTH_MAX))
    identity: str = attrs.field(validator=_text_up_to(IDENTITY_LENGTH_MAX))
    reason: str = attrs.field(validator=_text_up_to(TEXT_LENGTH_MAX))
    base_version: int | None = attrs.field(default=None, validator=_version_or_none)
    dry_run: bool = attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )


class ChangeHandler:
    """Handler of the operators' requests to change the configuration.

    Args:
        table: The JsonTable.
        configuration: The ConfigurationTask.
        audit: The AuditTask.
    """

    def __init__(self, table, configuration, audit):
        self._table = table
        self._configuration = configuration
        self._audit = audit

    async def apply(self, exchange, operator):
        """Apply a change, or report what it would do if it is a dry run.

        Args:
            exchange: The ServerExchange.
            operator: The OperatorKey that authenticated the request.
        """
        body = await exchange.whole_body(CHANGE_BYTES_MAX)
        if body is None:
            await exchange.refuse(ErrorKind.BODY_TOO_LARGE)
            return
        try:
            request = ChangeRequest(**json.loads(body))
        except (ValueError, TypeError, RecursionError) as error:
            await exchange.refuse(ErrorKind.MALFORMED, str(error))
            return
        operator_name = operator.name or f"{request.operator} (shared key)"
        request = attrs.evolve(
            request, operator=operator_name[: IDENTITY_LENGTH_MAX * 2]
        )
        # Parsed in a thread, as a file of the maximum size would block the event loop
        # long enough to delay other requests.
        parsed = await asyncio.to_thread(parse_resources, request.file, request.content)
        result = await self._result(request, parsed)
        if isinstance(result, Success):
            await self._send_success(exchange, result.unwrap())
            return
        refused = result.failure()
        if not request.dry_run:
            await self._audit.record(_refusal_record(request, parsed, refused))
        await _send_refusal(exchange, refused)

    async def _result(self, request, parsed):
        """Apply or plan a change.

        Returns:
            Success of Accepted, or of the planned AuditRecord for a dry run, or Failure
            of Refused.
        """
        if isinstance(parsed, Failure):
            lines = tuple(str(problem) for problem in parsed.failure())
            version = self._configuration.resources.version
            return Failure(Refused(ErrorKind.INVALID_RESOURCES, version, lines))
        change = _change(request, parsed.unwrap())
        if request.dry_run:
            return plan_change(
                change, await self._configuration.read_newest(), time.time()
            )
        result = await apply_change(
            self._table, change, self._configuration.read_newest, time.time
        )
        if isinstance(result, Success):
            accepted = result.unwrap()
            logger.info(
                "change-accepted",
                version=accepted.version,
                operator=change.operator,
                identity=change.identity,
            )
            self._configuration.apply_accepted(accepted.record)
        return result

    async def _send_success(self, exchange, value):
        fields = ("version", "digest", "repeated")
        if isinstance(value, AuditRecord):
            fields = ("version", "before", "after")
        await exchange.send_json({name: getattr(value, name) for name in fields})


def _change(request, items):
    return Change(
        identity=request.identity,
        operator=request.operator,
        reason=request.reason,
        file=request.file,
        base_version=request.base_version,
        resources=tuple(item for item in items if not isinstance(item, Removal)),
        removed=tuple(item.key for item in items if isinstance(item, Removal)),
    )


def _refusal_record(request, parsed, refused):
    after = {}
    if isinstance(parsed, Success):
        after = _change(request, parsed.unwrap()).after
    truncated = dict(list(after.items())[:REFUSED_KEYS_MAX])
    return AuditRecord(
        outcome=refused.kind.value,
        version=refused.version,
        digest="",
        identity=request.identity,
        operator=request.operator,
        reason=request.reason,
        file=request.file,
        at_s=time.time(),
        before={},
        after=truncated,
        lines=[line[:TEXT_LENGTH_MAX] for line in refused.lines[:REFUSED_LINES_MAX]],
    )


async def _send_refusal(exchange, refused):
    response = {
        "error": refused.kind.value,
        "lines": list(refused.lines),
        "changes": [attrs.asdict(record) for record in refused.records],
    }
    await exchange.send_json(response, ERROR_RESPONSES[refused.kind].status)
