"""HTTP conventions between a node and a deployment's callers and servers."""

import msgspec

from sapphireway._callers import CallerDialect, render_outcome
from sapphireway_coordination import DEFAULT_SERVER_DIALECT, ServerDialect


class Dialects(msgspec.Struct, frozen=True):
    """HTTP conventions of a deployment's callers and servers.

    Attributes
    ----------
    callers : CallerDialect
    server : ServerDialect
    """

    callers: CallerDialect = msgspec.field(
        default_factory=lambda: CallerDialect(render_outcome)
    )
    server: ServerDialect = DEFAULT_SERVER_DIALECT
