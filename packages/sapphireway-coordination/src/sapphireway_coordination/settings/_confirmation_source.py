"""Control host's part in proofs that a routing table is the newest one."""

import asyncio
from collections.abc import Awaitable, Callable

from sapphireway_coordination.quorum import Current, NotLeader, Unavailable
from sapphireway_coordination.settings._confirmation import Proof
from sapphireway_protocol import AskConfirmation, Peers, TableConfirmed
from sapphireway_transport import ReadInstant, compute_age, shift_back

SHARED_AGE_MAX_S = 0.4  # small against the bound, and 2.5 rounds of the quorum a second
ROUND_TIMEOUT_S = 0.5
RETRY_WAIT_S = 0.1
QUESTION_KEPT_S = 2.0  # the node asks again meanwhile


class ConfirmationSource:
    """Answers the questions of nodes for the newest routing table.

    All questions share one round of the quorum for a short time; each answer holds
    the age of that round. A host that does not lead asks the leader.

    Parameters
    ----------
    peers : Peers
    read_barrier : callable
        `Quorum.read_barrier`.
    get_version : callable
        Returns the journal index of the last publication in the local state machine.
    read_instant : ReadInstant
    """

    __slots__ = (
        "_asked",
        "_get_version",
        "_peers",
        "_proof",
        "_questions",
        "_read_barrier",
        "_read_instant",
    )

    def __init__(
        self,
        peers: Peers,
        read_barrier: Callable[[], Awaitable[Current | NotLeader | Unavailable]],
        get_version: Callable[[], int],
        read_instant: ReadInstant,
    ):
        self._asked = asyncio.Event()
        self._get_version = get_version
        self._peers = peers
        self._proof = None
        self._questions = {}
        self._read_barrier = read_barrier
        self._read_instant = read_instant
        peers.handle(AskConfirmation, self._receive)

    async def run(self) -> None:
        """Answer questions that need a new round, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._asked.wait()
            oldest_s = loop.time() - QUESTION_KEPT_S
            self._questions = {
                sender: (envelope, received_s)
                for sender, (envelope, received_s) in self._questions.items()
                if received_s > oldest_s
            }
            if not self._questions:
                self._asked.clear()
                continue
            proof = await self._prove()
            if proof is None:
                await asyncio.sleep(RETRY_WAIT_S)
                continue
            self._proof = proof
            questions, self._questions = self._questions, {}
            for sender, (envelope, _) in questions.items():
                self._answer(sender, envelope)

    def _receive(self, sender, envelope):
        if self._proof is not None and self._compute_age() < SHARED_AGE_MAX_S:
            self._answer(sender, envelope)
            return
        # A node that asks again no longer needs the answer to its question before.
        now_s = asyncio.get_running_loop().time()
        self._questions[sender] = envelope, now_s
        self._asked.set()

    def _answer(self, sender, envelope):
        answer = TableConfirmed(self._proof.version, self._compute_age())
        self._peers.reply(sender, envelope, answer)

    def _compute_age(self):
        return compute_age(self._proof.since, self._read_instant())

    async def _prove(self):
        since = self._read_instant()
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                outcome = await self._read_barrier()
        except TimeoutError:
            return None
        if isinstance(outcome, Current):
            return Proof(self._get_version(), since)
        if not isinstance(outcome, NotLeader) or outcome.leader is None:
            return None
        # A question that another host has passed on is not passed on again.
        if all(envelope.message.forwarded for envelope, _ in self._questions.values()):
            return None
        reply = await self._peers.request(
            outcome.leader, AskConfirmation(forwarded=True), ROUND_TIMEOUT_S
        )
        if reply is None or not isinstance(reply.message, TableConfirmed):
            return None
        answer = reply.message
        return Proof(answer.version, shift_back(since, max(0.0, answer.age_s)))
