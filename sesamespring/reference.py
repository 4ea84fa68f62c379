"""Generate the reference pages of settings and resources from their schemas."""

import sys
from pathlib import Path

from sesamespring.ini import REQUIRED
from sesamespring.resources.kinds import KINDS
from sesamespring.resources.parser import COUNTS_MAX, NAME_EXPECTED
from sesamespring.settings.schema import SECTIONS

__all__ = ["PAGES", "main"]

SETTINGS_HEAD = """# Settings

Generated from the schema by `bin/generate-docs`; do not edit.

The settings of an entry VM are one INI file, read once at start. `sesamespring
check-settings FILE` lists every mistake with section, key, what was found and what
was expected, and exits with 2 if there is one.
"""
RESOURCES_HEAD = f"""# Resources

Generated from the schema by `bin/generate-docs`; do not edit.

Operators declare resources in INI files with a section for each, `[KIND NAME]`. A
file is applied as a whole or not at all; resources that it does not name stay as
they are. `[remove KIND NAME]`, without keys, removes a resource that no other
resource refers to. A name is {NAME_EXPECTED.removeprefix("a name of ")}. Each
resource may appear in a file once.

`sesamespring check-resources FILE` checks a file on its own; `sesamespring apply
FILE --dry-run` also checks it against the declared resources and shows the
differences.
"""


def settings_page():
    """Return the text of docs/SETTINGS.md."""
    parts = [SETTINGS_HEAD]
    for title, fields in SECTIONS.items():
        parts.append(f"## [{title}]\n\n{_table(fields)}")
    return "\n".join(parts)


def resources_page():
    """Return the text of docs/RESOURCES.md."""
    parts = [RESOURCES_HEAD]
    for kind, (_, fields) in KINDS.items():
        count = f"At most {COUNTS_MAX[kind]} may be declared."
        parts.append(f"## [{kind} NAME]\n\n{count}\n\n{_table(fields)}")
    return "\n".join(parts)


PAGES = {"SETTINGS.md": settings_page, "RESOURCES.md": resources_page}


def _table(fields):
    lines = ["| key | unit | default | allowed | meaning |", "|---|---|---|---|---|"]
    lines.extend(_row(field) for field in fields)
    return "\n".join(lines) + "\n"


def _row(field):
    default = "must be given" if field.default is REQUIRED else f"`{field.default}`"
    if field.default == "":
        default = "empty"
    cells = [f"`{field.name}`", field.unit, default, field.bounds, field.description]
    return "| " + " | ".join(cells) + " |"


def main():
    """Write the pages into the folder given as the first argument."""
    folder = Path(sys.argv[1])
    for name, page in PAGES.items():
        (folder / name).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    main()
