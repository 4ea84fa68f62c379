"""Report when requests of a service begin and end to leave a data centre."""

__all__ = ["report_departures"]


def report_departures(services, counters, log, now_s):
    """Log the changes since the last call, and set the gauge of what leaves now.

    Only the VM that decides for a service knows of them.

    Args:
        services: The Services.
        counters: The Counters.
        log: The EventLog.
        now_s: Current time of the schedulers.
    """
    leaving = 0
    for name, runner in services.runners():
        departures = runner.scheduler.departures
        for change in departures.changes(now_s):
            fields = _fields_of(change)
            if change.is_leaving:
                log.event("leaving-begins", service=name, **fields)
            else:
                log.event("leaving-ends", service=name, **fields)
        leaving += departures.leaving
    counters.set("services_leaving", leaving)


def _fields_of(change):
    """Return the fields of the log line of a DepartureChange."""
    return {
        "data_centre": change.data_centre,
        "to": change.to,
        "share": change.share,
        "left": change.left,
        "reason": change.reason.name.lower().replace("_", "-"),
        "lasted_s": change.lasted_s,
    }
