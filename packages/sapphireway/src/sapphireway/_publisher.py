"""Publication of routing tables and failure-domain settings through the quorum."""

import itertools
import time
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec

from sapphireway._operator_backend import UNREADABLE_ANSWER, Unavailable
from sapphireway._short_tries import repeat_in_short_tries
from sapphireway_coordination import (
    ROUTE_PREFIX,
    TREE_PREFIX,
    Committed,
    ControlClient,
    ReadResult,
)
from sapphireway_protocol import decode_msgpack
from sapphireway_state import (
    Accepted,
    Conflict,
    CurrentTable,
    CurrentTree,
    Edit,
    Publish,
    PublishResult,
    ReadTree,
    Refused,
    SetValue,
    decode_answer,
    decode_current_table,
    decode_publish_result,
    encode_edit,
    encode_publish,
    encode_query,
    format_problem,
)

PROPOSE_TIMEOUT_S = 4.0
READ_TIMEOUT_S = 1.5
# Conflicts with other edits before a change of a domain fails; operators have up to
# eight orders in progress at once.
CONFLICTS_MAX = 8
PUBLISHER_OPERATOR = "platform"

FindStaleness = Callable[[int], Awaitable[str | None]]
"""Returns why an order must not be carried out on a version any more, or None."""


class EditRefused(msgspec.Struct, frozen=True):
    """Result: the edit is invalid and would be refused again.

    Attributes
    ----------
    detail : str
    """

    detail: str


class Publisher:
    """Publishes routing tables and takes failure domains out of service or back in.

    Parameters
    ----------
    control_client : ControlClient
    create_edit_id : callable
        Returns a new unique edit id.
    wall_clock : callable
        Seconds since the epoch.
    """

    __slots__ = ("_control_client", "_create_edit_id", "_wall_clock")

    def __init__(
        self,
        control_client: ControlClient,
        create_edit_id: Callable[[], str],
        wall_clock: Callable[[], float] = time.time,
    ):
        self._control_client = control_client
        self._create_edit_id = create_edit_id
        self._wall_clock = wall_clock

    async def publish(self, publish: Publish) -> PublishResult | Unavailable:
        """Publish a routing table; repeating a publication has the same result."""
        command = ROUTE_PREFIX + encode_publish(publish)
        result = await self._control_client.propose(command, PROPOSE_TIMEOUT_S)
        if not isinstance(result, Committed):
            return Unavailable(result.detail, result.maybe_applied)
        published = decode_publish_result(result.result)
        if published is None:
            return Unavailable(UNREADABLE_ANSWER, maybe_applied=True)
        return published

    async def read_table(self, digest: bytes = b"") -> CurrentTable | Unavailable:
        """Return the newest table and whether the one with `digest` was accepted."""
        answer = await self._read(ROUTE_PREFIX + digest)
        if isinstance(answer, Unavailable):
            return answer
        return decode_current_table(answer) or Unavailable(UNREADABLE_ANSWER)

    async def set_out(
        self, domain: str, out: bool, find_staleness: FindStaleness
    ) -> Unavailable | EditRefused | None:
        """Take a failure domain out of service or back in; return None if accepted.

        The edit is accepted only on the version for which `find_staleness` found the
        order valid. It is made even if the domain is as ordered, so that no earlier
        order that is still on its way can be accepted afterwards.

        Parameters
        ----------
        domain : str
        out : bool
        find_staleness : callable
            Called with each version of the tree before an edit is based on it; returns
            why the order must not be carried out any more, or None.
        """
        for _ in range(CONFLICTS_MAX):
            tree = await self._read_tree()
            if isinstance(tree, Unavailable):
                return tree
            version = tree.version
            staleness = await find_staleness(version)
            if staleness is not None:
                return Unavailable(staleness)
            answer = await self._edit(version, domain, out)
            if not isinstance(answer, Conflict):
                return answer
        return Unavailable(
            f"each of {CONFLICTS_MAX} edits of domain {domain!r} conflicted with "
            "another edit"
        )

    async def _edit(self, base, domain, out):
        """Return None if accepted, else why not; `Conflict` may be tried again."""
        operations = [SetValue(f"domains/{domain}/out", out)]
        edit = Edit(
            self._create_edit_id(),
            base,
            operations,
            PUBLISHER_OPERATOR,
            "taken out" if out else "taken back",
            self._wall_clock(),
            force=True,
        )
        command = TREE_PREFIX + encode_edit(edit)
        result = await repeat_in_short_tries(
            partial(self._control_client.propose, command), PROPOSE_TIMEOUT_S
        )
        if not isinstance(result, Committed):
            return Unavailable(result.detail, result.maybe_applied)
        answer = decode_answer(result.result)
        match answer:
            case Accepted():
                return None
            case Conflict():
                return answer
            case Refused(problems=[first, *_]):
                return EditRefused(format_problem(first))
            case None:
                return Unavailable(UNREADABLE_ANSWER, maybe_applied=True)
        return EditRefused(type(answer).__name__)

    async def _read_tree(self):
        query = TREE_PREFIX + encode_query(ReadTree())
        result = await repeat_in_short_tries(
            partial(self._control_client.read, query), READ_TIMEOUT_S
        )
        if not isinstance(result, ReadResult):
            return Unavailable(result.detail)
        tree = decode_msgpack(result.data, CurrentTree)
        return tree or Unavailable(UNREADABLE_ANSWER)

    async def _read(self, query):
        result = await self._control_client.read(query, READ_TIMEOUT_S)
        if isinstance(result, ReadResult):
            return result.data
        return Unavailable(result.detail)


def make_edit_id_generator(incarnation: str) -> Callable[[], str]:
    """Return a function that returns a new id at each call."""
    numbers = itertools.count(1)
    return lambda: f"{incarnation}-edit-{next(numbers)}"
