"""HTTP conventions between a node and a deployment's callers and servers."""

from dataclasses import dataclass, field

from sapphireway._callers import CallerDialect, render_outcome
from sapphireway_coordination import DEFAULT_SERVER_DIALECT, ServerDialect


@dataclass(slots=True, frozen=True)
class Dialects:
    """HTTP conventions of a deployment's callers and servers.

    Attributes
    ----------
    callers : CallerDialect
    server : ServerDialect
    """

    callers: CallerDialect = field(
        default_factory=lambda: CallerDialect(render_outcome)
    )
    server: ServerDialect = DEFAULT_SERVER_DIALECT
