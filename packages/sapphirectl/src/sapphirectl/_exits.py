"""Exit codes of the operator's command."""

import enum
from dataclasses import dataclass


class ExitCode(enum.IntEnum):
    """What a command ends with."""

    OK = 0
    """Done."""
    ERROR = 1
    """A fault of this program."""
    USAGE = 2
    """The command line is wrong."""
    CONFLICT = 3
    """Another edit came first; nothing was changed."""
    REFUSED = 4
    """What was asked for is wrong or does not exist; nothing was changed."""
    FORCE_NEEDED = 5
    """Too little would be left unless it is forced; nothing was changed."""
    UNREACHABLE = 6
    """No node or no quorum answered; nothing was changed."""
    UNAUTHORIZED = 7
    """The token is missing or wrong; nothing was changed."""
    UNKNOWN = 8
    """The answer was lost; the edit may have been accepted."""
    WAIT_TIMEOUT = 9
    """The edit was accepted, but `--wait` ended too soon."""


@dataclass(slots=True, frozen=True)
class Failure:
    """A command that did not do what was asked for.

    Attributes
    ----------
    code : ExitCode
    detail : str
        Lines for people.
    """

    code: ExitCode
    detail: str
