"""How one deployment's callers and servers speak to a node."""

from dataclasses import dataclass, field

from sapphireway._callers import CallerForm, render_outcome
from sapphireway_coordination import DEFAULT_SERVER_DIALECT, ServerDialect


@dataclass(slots=True, frozen=True)
class Edges:
    """What stands between the node and those who speak to it.

    Attributes
    ----------
    callers : CallerForm
    server : ServerDialect
    """

    callers: CallerForm = field(default_factory=lambda: CallerForm(render_outcome))
    server: ServerDialect = DEFAULT_SERVER_DIALECT
