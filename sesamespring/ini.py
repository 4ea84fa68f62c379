"""Parse INI sections into typed values and report all mistakes at once."""

import configparser
import enum
import ipaddress
import re

import attrs

__all__ = [
    "REQUIRED",
    "Field",
    "Problem",
    "Section",
    "choice",
    "comma_separated",
    "flag",
    "host_port",
    "integer",
    "read_sections",
    "read_values",
    "text",
]


class _Missing(enum.Enum):
    MISSING = "missing"


NUMBER_LENGTH_MAX = 32
REQUIRED = _Missing.MISSING
_OPTION_PATTERN = re.compile(r"(?P<option>[^\s#;\[=:][^=:]*?)\s*[=:]")


@attrs.frozen
class Problem:
    """One mistake in a file.

    Attributes:
        file: Path as the user gave it.
        section: Section name, or an empty string for the file as a whole.
        key: Key name, or an empty string for the section as a whole.
        found: What the file contains.
        expected: What it should contain.
    """

    file: str
    section: str
    key: str
    found: str
    expected: str

    def __str__(self):
        return (
            f"{self.file}: [{self.section}] {self.key or '-'}: "
            f"found {self.found}; expected {self.expected}"
        )


@attrs.frozen
class Field:
    """One key of a section.

    Attributes:
        name: Key as written in the file.
        parse: Function that converts text to a value; it raises ValueError with a
            description of the expected text.
        description: One sentence for the docs, with the unit.
        default: Text used if the key is absent, or REQUIRED if there is no default.
        unit: Unit of the value, for the docs.
        bounds: Allowed values in words, for the docs.
    """

    name: str
    parse: object
    description: str
    default: object = REQUIRED
    unit: str = ""
    bounds: str = ""


@attrs.frozen
class Section:
    """One section of a file: its title and its items as unparsed text by key."""

    title: str
    items: dict

    @property
    def kind(self):
        """The first word of the title, such as ``service``."""
        return self.title.split(" ", 1)[0]

    @property
    def name(self):
        """The title without its first word, or an empty string."""
        return self.title.partition(" ")[2].strip()


def text(expected="any text that is not empty"):
    """Return a parser of text that is not empty; it strips surrounding whitespace.

    >>> text()("roster")
    'roster'
    """

    def parse(raw):
        if not raw.strip():
            raise ValueError(expected)
        return raw.strip()

    return parse


def integer(low, high):
    """Return a parser of whole numbers from ``low`` to ``high``.

    >>> integer(1, 9)("7")
    7
    >>> integer(1, 9)("12")
    Traceback (most recent call last):
    ...
    ValueError: a whole number from 1 to 9
    """
    expected = f"a whole number from {low} to {high}"

    def parse(raw):
        try:
            value = int(raw) if len(raw) < NUMBER_LENGTH_MAX else None
        except ValueError:
            raise ValueError(expected) from None
        if value is None or not low <= value <= high:
            raise ValueError(expected)
        return value

    return parse


def choice(*allowed):
    """Return a parser of one of the allowed words."""

    def parse(raw):
        if raw.strip() not in allowed:
            raise ValueError("one of " + ", ".join(allowed))
        return raw.strip()

    return parse


def flag(raw):
    """Parse ``yes`` or ``no`` into a bool."""
    return choice("yes", "no")(raw) == "yes"


def host_port(raw):
    """Parse ``IP:PORT`` into a pair of IP address and port.

    >>> host_port("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = raw.strip().rpartition(":")
    try:
        ipaddress.ip_address(host)
        return host, integer(1, 65_535)(port)
    except ValueError:
        raise ValueError("IP:PORT") from None


def comma_separated(raw):
    """Parse words separated by commas into a tuple; empty words are left out."""
    return tuple(word.strip() for word in raw.split(",") if word.strip())


def read_sections(source, content):
    """Split the text of an INI file into sections.

    Args:
        source: Name of the file, for problems.
        content: The file's text.

    Returns:
        A pair of the list of Sections and the list of Problems.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0", strict=False
    )
    parser.optionxform = str
    try:
        parser.read_string(content, source)
    except configparser.MissingSectionHeaderError as error:
        found = f"line {error.lineno}: {error.line!r}"
        return [], [Problem(source, "", "", found, "a [SECTION] first")]
    except configparser.ParsingError as error:
        return [], [_line_problem(source, *found) for found in error.errors]
    except configparser.Error as error:
        found = " ".join(str(error).split())
        return [], [Problem(source, "", "", repr(found), "an INI file")]
    sections = [Section(title, dict(parser[title])) for title in parser.sections()]
    return sections, _duplicates(source, content)


def _line_problem(source, number, line):
    return Problem(source, "", "", f"line {number}: {line}", "KEY = VALUE")


def _duplicates(source, content):
    """Return a Problem for each section or key that is given more than once."""
    problems = []
    seen = set()
    title = ""
    for line in content.splitlines():
        header = configparser.ConfigParser.SECTCRE.match(line)
        option = _OPTION_PATTERN.match(line)
        if header:
            title = header["header"]
            item = (title, "")
        elif option:
            item = (title, option["option"])
        else:
            continue
        if item in seen:
            problems.append(Problem(source, *item, "given twice", "each once"))
        seen.add(item)
    return problems


def read_values(source, section, fields):
    """Parse a section's items as its fields define.

    Args:
        source: Name of the file, for problems.
        section: The Section.
        fields: The Field of each allowed key.

    Returns:
        A pair of the parsed values by key and the list of Problems.
    """
    values = {}
    problems = []
    known = {field.name for field in fields}
    for key in section.items:
        if key not in known:
            allowed = "one of " + ", ".join(sorted(known))
            problems.append(Problem(source, section.title, key, "unknown key", allowed))
    for field in fields:
        raw = section.items.get(field.name, field.default)
        if raw is REQUIRED:
            expected = field.bounds or field.description
            problems.append(
                Problem(source, section.title, field.name, "nothing", expected)
            )
            continue
        try:
            values[field.name] = field.parse(raw)
        except ValueError as error:
            problems.append(
                Problem(source, section.title, field.name, repr(raw), str(error))
            )
    return values, problems
