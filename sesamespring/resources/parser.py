"""Parse resource files and check the consistency of the resulting resources."""

import re

import attrs
from returns.result import Failure, Success

from sesamespring.ini import Problem, Section, read_sections, read_values
from sesamespring.resources.kinds import KINDS, resource_key

__all__ = [
    "COUNTS_MAX",
    "NAME_EXPECTED",
    "Removal",
    "check_consistency",
    "parse_resources",
]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_EXPECTED = "a name of 1 to 64 letters, digits, dots, dashes or underscores"
REMOVE = "remove"
COUNTS_MAX = {
    "service": 2_000,
    "data-centre": 64,
    "target": 20_000,
    "measuring-budget": 8,
}


@attrs.frozen
class Removal:
    """A section of a resource file that removes a resource.

    Attributes:
        key: Key of the resource; see resource_key.
    """

    key: str


def parse_resources(source, content):
    """Parse the text of a resource file.

    Args:
        source: Name of the file, used in Problems.
        content: Text of the file.

    Returns:
        Success of a tuple of resources and Removals, or Failure of a tuple of
        Problems.
    """
    sections, problems = read_sections(source, content)
    items = []
    titles = {}
    for section in sections:
        item, section_problems = _parse_section(source, section)
        problems.extend(section_problems)
        if item is None:
            continue
        items.append(item)
        key = item.key if isinstance(item, Removal) else resource_key(item)
        if key in titles:
            found = f"also in [{titles[key]}]"
            problems.append(
                Problem(source, section.title, "", found, "each resource once")
            )
        titles[key] = section.title
    if not sections and not problems:
        problems.append(Problem(source, "", "", "no section", "at least one"))
    if problems:
        return Failure(tuple(problems))
    return Success(tuple(items))


def _parse_section(source, section):
    if section.kind == REMOVE:
        return _parse_removal(source, section)
    problems = _title_problems(source, section, section)
    if problems:
        return None, problems
    cls, fields = KINDS[section.kind]
    values, problems = read_values(source, section, fields)
    if problems:
        return None, problems
    return cls(name=section.name, **values), []


def _parse_removal(source, section):
    removed = Section(section.name, {})
    problems = _title_problems(source, section, removed)
    for key in section.items:
        problems.append(Problem(source, section.title, key, "a key", "no keys"))
    if problems:
        return None, problems
    return Removal(f"{removed.kind}/{removed.name}"), []


def _title_problems(source, section, named):
    if named.kind not in KINDS:
        titles = [f"[{kind} NAME]" for kind in KINDS]
        allowed = "one of " + ", ".join([*titles, "[remove KIND NAME]"])
        return [Problem(source, section.title, "", "unknown kind", allowed)]
    if not NAME_PATTERN.fullmatch(named.name):
        return [Problem(source, section.title, "", repr(named.name), NAME_EXPECTED)]
    return []


def check_consistency(source, before, after, removed=()):
    """Return a Problem for each inconsistency that a change would cause.

    Checked are removals of undeclared resources, the number of resources, references of
    targets, and their cold slots.

    Args:
        source: Name of the file, used in Problems.
        before: The Resources before the change.
        after: The Resources after the change.
        removed: Keys of the resources that the change removes.
    """
    problems = [
        Problem(source, _removal_title(key), "", "nothing", "a declared resource")
        for key in removed
        if key not in before.by_key
    ]
    for kind, count_max in COUNTS_MAX.items():
        count = len(after.of_kind(kind))
        if count > count_max:
            expected = f"at most {count_max} in all"
            problems.append(Problem(source, kind, "", f"{count} of {kind}", expected))
    services = after.of_kind("service")
    data_centres = after.of_kind("data-centre")
    for target in after.of_kind("target").values():
        problems.extend(_target_problems(source, target, services, data_centres))
    return problems


def _removal_title(key):
    return f"{REMOVE} " + key.replace("/", " ", 1)


def _target_problems(source, target, services, data_centres):
    title = f"target {target.name}"
    if target.service not in services:
        expected = "a declared service"
        yield Problem(source, title, "service", target.service, expected)
    if target.data_centre not in data_centres:
        expected = "a declared data centre"
        yield Problem(source, title, "data_centre", target.data_centre, expected)
    if target.cold_slots > target.slots:
        expected = f"at most slots, {target.slots}"
        found = str(target.cold_slots)
        yield Problem(source, title, "cold_slots", found, expected)
