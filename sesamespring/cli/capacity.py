"""Compute the declared capacity over time from the audit trail."""

import attrs

__all__ = ["CapacityStep", "capacity_steps", "slots_in_service"]


@attrs.frozen
class CapacityStep:
    """Declared capacity from a point in time until the next step.

    Attributes:
        at_s: Wall clock time in seconds.
        slots: Slots of joining targets in data centres in service.
    """

    at_s: float
    slots: int


def slots_in_service(declared):
    """Return the slots of joining targets in data centres in service.

    Args:
        declared: JSON values of all resources by key.

    >>> slots_in_service({
    ...     "data-centre/a": {"state": "in"},
    ...     "target/t": {"state": "joining", "data_centre": "a", "slots": 2},
    ... })
    2
    """
    slots = 0
    for key, value in declared.items():
        if not key.startswith("target/") or value["state"] != "joining":
            continue
        data_centre = declared.get(f"data-centre/{value['data_centre']}")
        if data_centre is None or data_centre["state"] == "in":
            slots += value["slots"]
    return slots


def capacity_steps(declared, records, later_records, since_s, until_s):
    """Return the CapacitySteps of a span, computed backwards from the current state.

    Args:
        declared: JSON values of all resources by key, at present.
        records: JSON values of the span's audit records, in chronological order.
        later_records: JSON values of the audit records after the span.
        since_s: Start of the span, wall clock time in seconds.
        until_s: End of the span, likewise.
    """
    state = dict(declared)
    for record in reversed(_accepted(later_records)):
        _undo(state, record)
    steps = [CapacityStep(until_s, slots_in_service(state))]
    for record in reversed(_accepted(records)):
        steps.append(CapacityStep(record["at_s"], slots_in_service(state)))
        _undo(state, record)
    steps.append(CapacityStep(since_s, slots_in_service(state)))
    return steps[::-1]


def _accepted(records):
    return [record for record in records if record["outcome"] == "accepted"]


def _undo(state, record):
    for key, value in record["before"].items():
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value
