"""Exit codes of commands, and failures that carry them."""

import enum
from dataclasses import dataclass


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    """The command succeeded."""
    ERROR = 1
    """Internal error of this program, or an answer that it cannot decode."""
    USAGE = 2
    """The command line is invalid."""
    CONFLICT = 3
    """Another edit was accepted first; nothing was changed."""
    REFUSED = 4
    """The request is invalid or names something unknown; nothing was changed."""
    FORCE_NEEDED = 5
    """Needs `--force`: too few domains or voters would be left; nothing was changed."""
    UNREACHABLE = 6
    """No node or no quorum answered; nothing was changed."""
    UNAUTHORIZED = 7
    """The token is missing or invalid; nothing was changed."""
    UNKNOWN = 8
    """The answer was lost; the edit may have been accepted."""
    WAIT_TIMEOUT = 9
    """The edit was accepted, but `--wait` timed out."""


@dataclass(slots=True, frozen=True)
class Failure:
    """Outcome of a command that failed.

    Attributes
    ----------
    code : ExitCode
    detail : str
        Message for the operator, of one or more lines.
    """

    code: ExitCode
    detail: str
