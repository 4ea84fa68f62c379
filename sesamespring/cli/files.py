"""Read the user's files, and report mistakes in them as UserErrors."""

from returns.result import Failure

from sesamespring.errors import UserError
from sesamespring.settings import load_settings

__all__ = ["read_settings", "read_text", "unwrap_or_raise"]


def unwrap_or_raise(result):
    """Return the value of a Success; raise a UserError with a Failure's problems."""
    if isinstance(result, Failure):
        raise UserError(*(str(problem) for problem in result.failure()))
    return result.unwrap()


def read_settings(path):
    """Return the Settings of a file; raise a UserError with all problems in it."""
    return unwrap_or_raise(load_settings(path))


def read_text(path):
    """Return the text of a UTF-8 file; raise a UserError if it cannot be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f"{path}: {error}") from error
