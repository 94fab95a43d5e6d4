import asyncio

import msgspec
import pytest

from sapphireway._operator_backend import Unavailable
from sapphireway._publisher import CONFLICTS_MAX, EditRefused, Publisher
from sapphireway_coordination import Committed, ReadResult
from sapphireway_state import Accepted, Conflict, CurrentTree, Problem, Refused


class ScriptedClient:
    """Answers edits of the settings tree one after the other."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def read(self, query, timeout_s):
        return ReadResult(3, msgspec.msgpack.encode(CurrentTree(3, {})))

    async def propose(self, command, timeout_s):
        return Committed(4, msgspec.msgpack.encode(self.answers.pop(0)))


CONFLICT = Conflict(4, 3, [], 0)
REFUSED = Refused(3, [Problem("domains/x", "is no failure domain", "a known one")])


@pytest.mark.parametrize(
    ("answers", "result_type", "left"),
    [
        ([Accepted(4)], type(None), 0),
        ([CONFLICT, Accepted(5)], type(None), 0),
        ([CONFLICT] * CONFLICTS_MAX, Unavailable, 0),
        ([REFUSED, Accepted(4)], EditRefused, 1),
    ],
    ids=["accepted", "after-conflict", "conflicts", "refused"],
)
def test_change_of_a_domain_is_repeated_only_after_conflicts(
    answers, result_type, left
):
    client = ScriptedClient(*answers)
    publisher = Publisher(client, lambda: "edit-1")
    result = asyncio.run(publisher.set_out("bxl-a", True))
    assert isinstance(result, result_type)
    assert len(client.answers) == left
