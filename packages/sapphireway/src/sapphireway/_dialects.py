"""How one deployment's callers and servers speak to a node."""

from dataclasses import dataclass, field

from sapphireway._callers import CallerDialect, render_outcome
from sapphireway_coordination import OWN_SERVER_FORM, ServerForm


@dataclass(slots=True, frozen=True)
class Dialects:
    """What stands between the node and those who speak to it.

    Attributes
    ----------
    callers : CallerDialect
    server : ServerForm
    """

    callers: CallerDialect = field(
        default_factory=lambda: CallerDialect(render_outcome)
    )
    server: ServerForm = OWN_SERVER_FORM
