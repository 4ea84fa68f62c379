"""Find what an operator would not want in a configuration, before it is sent.

Answers the case of a version that the store accepts and all VMs put in force, but in
which an entry has no effect, or limits contradict each other. No finding shows a key of
an account.
"""

import collections

import attrs

__all__ = ["Finding", "check_configuration", "configuration_changes"]

NO_LIMIT = 0


@attrs.frozen
class Finding:
    """Something in a configuration that the operator should look at.

    Attributes:
        entry: The entry, such as ``route read``.
        field: The field of the entry, or an empty string for the whole of it.
        found: What it holds, text.
        expected: What would be right, text.
    """

    entry: str
    field: str
    found: str
    expected: str

    def __str__(self):
        place = f"{self.entry}: {self.field}" if self.field else self.entry
        return f"{place}: found {self.found}, expected {self.expected}"


def check_configuration(configuration, in_force=None):
    """Return the Findings in a Configuration, in the order of its parts.

    Args:
        configuration: The Configuration.
        in_force: The Configuration that it is to replace, or None.
    """
    findings = []
    if in_force is not None and configuration.version <= in_force.version:
        newer = f"a version above {in_force.version:08x}"
        findings.append(Finding("version", "", f"{configuration.version:08x}", newer))
    findings += _check_routes(configuration)
    findings += _check_services(configuration)
    findings += _check_limits(configuration.limits)
    findings += _check_accounts(configuration)
    return findings


def configuration_changes(before, after):
    """Return one line for each difference between two Configurations.

    Of keys only their number is told.
    """
    lines = []
    lines += _changed_entries("route", _by_name(before.routes), _by_name(after.routes))
    lines += _changed_entries("service", before.services, after.services)
    lines += _changed_fields("limits", before.limits, after.limits)
    lines += _changed_entries("account", before.accounts or {}, after.accounts or {})
    lines += _changed_keys(before, after)
    return lines


def _check_routes(configuration):
    last_of = {}
    for route in configuration.routes:
        last_of[route.host, route.prefix] = route.name
    for route in configuration.routes:
        entry = f"route {route.name}"
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            expected = "a path that begins and ends with a slash; this matches nothing"
            yield Finding(entry, "prefix", repr(route.prefix), expected)
        other = last_of[route.host, route.prefix]
        if other != route.name:
            found = f"{route.host}{route.prefix} of route {other} as well"
            yield Finding(
                entry, "prefix", found, "a prefix of its own; this never matches"
            )
        if route.goal_s > route.timeout_s:
            expected = f"at most the timeout, {route.timeout_s:g} s"
            yield Finding(entry, "goal", f"{route.goal_s:g} s", expected)
        if route.public and configuration.accounts is None:
            yield Finding(
                entry, "public", "true", "accounts, without which it says nothing"
            )
        yield from _check_shares(entry, route.shares)


def _check_shares(entry, shares):
    if not any(share.weight > 0 for share in shares):
        yield Finding(
            entry, "weights", "0 for each part", "a part with a weight above 0"
        )
        return
    for share in shares:
        if share.weight <= 0:
            expected = "a weight above 0, or no such part; it gets nothing"
            yield Finding(entry, f"part {share.service}", "weight 0", expected)
    names = collections.Counter(share.service for share in shares)
    for name, count in names.items():
        if count > 1:
            yield Finding(entry, f"part {name}", f"{count} times", "one part a service")


def _check_services(configuration):
    used = {share.service for route in configuration.routes for share in route.shares}
    for name in configuration.services.keys() - used:
        yield Finding(
            f"service {name}", "", "no route to it", "a route, or no such service"
        )


def _check_limits(limits):
    if limits.head_timeout_s > limits.idle_timeout_s:
        found = f"{limits.head_timeout_s:g} s"
        expected = f"at most the idle timeout, {limits.idle_timeout_s:g} s"
        yield Finding("limits", "head timeout", found, expected)
    if not limits.body_bytes_max:
        yield Finding("limits", "body", "0 bytes", "room for the bodies of requests")


def _check_accounts(configuration):
    if configuration.accounts is None:
        return
    key_counts = collections.Counter(configuration.account_names.values())
    # The empty name stands for the keys that several accounts hold.
    ambiguous = key_counts.pop("", 0)
    if ambiguous:
        found = f"{ambiguous} held by several accounts"
        yield Finding(
            "accounts", "keys", found, "each key at one account; these open none"
        )
    for name, account in configuration.accounts.items():
        entry = f"account {name}"
        if not key_counts[name]:
            yield Finding(
                entry, "keys", "none of its own", "a key; it can send nothing"
            )
        yield from _check_quota(entry, account)


def _check_quota(entry, account):
    rate, burst = account.rate_per_s, account.burst
    if rate == NO_LIMIT and burst:
        yield Finding(
            entry, "burst", f"{burst:g}", "a rate; without one there is no limit"
        )
    elif burst < rate:
        expected = f"the requests of a second, {rate:g}, at least"
        yield Finding(entry, "burst", f"{burst:g}", expected)


def _by_name(routes):
    return {route.name: route for route in routes}


def _changed_entries(kind, before, after):
    for name in sorted(before.keys() | after.keys()):
        entry = f"{kind} {name}"
        if name not in after:
            yield f"{entry}: removed"
        elif name not in before:
            yield f"{entry}: added"
        else:
            yield from _changed_fields(entry, before[name], after[name])


def _changed_fields(entry, before, after):
    for field in attrs.fields(type(after)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f"{entry}: {field.name}: {_shown(old)} -> {_shown(new)}"


def _shown(value):
    """Return a value of a record as an operator reads it.

    >>> _shown(True), _shown(2.50)
    ('True', '2.5')
    """
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return " ".join(f"{share.service}={share.weight:g}" for share in value)
    return str(value)


def _changed_keys(before, after):
    """Yield how many keys of each account are new, and how many are taken away."""
    counts = {}
    for sign, found, other in (
        ("new", after.account_names, before.account_names),
        ("taken away", before.account_names, after.account_names),
    ):
        for key, name in found.items():
            if name and other.get(key) != name:
                counts.setdefault(name, collections.Counter())[sign] += 1
    for name in sorted(counts):
        told = ", ".join(f"{count} {sign}" for sign, count in counts[name].items())
        yield f"account {name}: keys: {told}"
