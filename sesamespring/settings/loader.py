"""Read and validate settings files."""

from returns.result import Failure, Success

from sesamespring.http import server_context
from sesamespring.ini import Problem, Section, read_sections, read_values
from sesamespring.settings.schema import SECTIONS, Settings

__all__ = ["load_settings"]


def load_settings(path):
    """Read and validate a settings file.

    Args:
        path: Path of the INI file.

    Returns:
        Success of the Settings, or Failure of a tuple of all Problems found.
    """
    try:
        with open(path, encoding="utf-8") as file:
            content = file.read()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(str(path), "", "", str(error), "a file that can be read")
        return Failure((problem,))
    return parse_settings(str(path), content)


def parse_settings(source, content):
    """Parse and validate the text of a settings file.

    Args:
        source: Name of the file, for problems.
        content: The file's text.

    Returns:
        Success of the Settings, or Failure of a tuple of all Problems found.
    """
    sections, problems = read_sections(source, content)
    by_title = {section.title: section for section in sections}
    values = {}
    for title in by_title.keys() - SECTIONS.keys():
        allowed = "one of " + ", ".join(SECTIONS)
        problems.append(Problem(source, title, "", "unknown section", allowed))
    for title, fields in SECTIONS.items():
        section = by_title.get(title, Section(title, {}))
        section_values, section_problems = read_values(source, section, fields)
        problems.extend(section_problems)
        prefix = "" if title == "entry" else f"{title}_"
        for key, value in section_values.items():
            values[prefix + key] = value
    problems.extend(_tls_problems(source, values))
    if problems:
        return Failure(tuple(problems))
    return Success(Settings(**values))


def _tls_problems(source, values):
    """Return a list with a Problem if the TLS certificate and key cannot be used."""
    certificate = values.get("tls_certificate", "")
    private_key = values.get("tls_private_key", "")
    if bool(certificate) != bool(private_key):
        expected = "certificate and private_key, both or neither"
        return [Problem(source, "tls", "", "one of two", expected)]
    try:
        server_context(certificate, private_key)
    except (OSError, ValueError) as error:
        expected = "a certificate and its private key in PEM"
        return [Problem(source, "tls", "certificate", str(error), expected)]
    return []
